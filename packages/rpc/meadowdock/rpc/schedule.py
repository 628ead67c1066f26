"""A common schedule of the periodic tasks of one process.

The tasks wake together: their frames leave in the same turn of the event loop, and one wake-up of
the process serves them all (timer coalescing). Each process has a phase of its own, so that the
processes of a fleet don't all wake at the same moment.

>>> schedule = PeriodicSchedule("10.0.0.1:7411")
>>> first = schedule.next_wakeup(500_000, 0)
>>> 500_000 - GRID < first <= 500_000, schedule.next_wakeup(500_000, first + 20_000) - first
(True, 500000)
"""

from __future__ import annotations

from meadowdock.runtime import MILLISECOND, fingerprint, monotonic_us, sleep_us

GRID = 100 * MILLISECOND  # the distance between possible wake-ups
PHASE_DIGITS = 8  # hexadecimal digits of the address' hash from which the phase is made


class PeriodicSchedule:
    """The wake-ups of one process: a grid of moments, shifted by the process' phase.

    Invariant: the phase, in 0..GRID, depends on the address alone.
    """

    def __init__(self, address: str) -> None:
        self.phase = int(fingerprint(address.encode())[:PHASE_DIGITS], 16) % GRID

    def next_wakeup(self, interval_us: int, from_us: int | None = None) -> int:
        """The last wake-up that is at most an interval after a moment, by the monotonic clock.

        :param interval_us: at least GRID, so that the wake-up is after the moment.
        :param from_us: the moment; now, if left out.
        """
        start_us = monotonic_us() if from_us is None else from_us
        latest = start_us + interval_us - self.phase
        return latest // GRID * GRID + self.phase

    async def sleep(self, interval_us: int) -> None:
        """Sleep until the next wake-up for this interval."""
        await sleep_us(self.next_wakeup(interval_us) - monotonic_us())
