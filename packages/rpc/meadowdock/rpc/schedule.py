"""The loops of one process wake together: their frames leave in the same turn, and one waking of
the process serves them all. Processes have rhythms of their own, so that a fleet has no common one.

>>> schedule = PeriodicSchedule("10.0.0.1:7411")
>>> first = schedule.next_wakeup(500_000, 0)
>>> 500_000 - GRID < first <= 500_000, schedule.next_wakeup(500_000, first + 20_000) - first
(True, 500000)
"""

from __future__ import annotations

from meadowdock.runtime import MILLISECOND, fingerprint, monotonic_us, sleep_us

GRID = 100 * MILLISECOND


class PeriodicSchedule:
    # Invariant: phase is fixed by the address alone, in 0..GRID
    def __init__(self, address):
        self.phase = int(fingerprint(address.encode())[:8], 16) % GRID

    def next_wakeup(self, span, at=None):
        """The last moment of the rhythm that is at most `span` us from now, and after now: span is
        at least GRID."""
        wanted = (monotonic_us() if at is None else at) + span - self.phase
        return wanted // GRID * GRID + self.phase

    async def sleep(self, span):
        await sleep_us(self.next_wakeup(span) - monotonic_us())
