"""A common schedule for the periodic tasks of one process.

The tasks wake up together (timer coalescing): one wake-up of the process serves all of them, and
their frames are sent in the same turn of the event loop. Each process has its own phase, so that
the processes of a fleet don't all wake up at the same moment.

>>> schedule = PeriodicSchedule("10.0.0.1:7411")
>>> first = schedule.next_wakeup(500_000, 0)
>>> 500_000 - GRID_INTERVAL < first <= 500_000
True
>>> schedule.next_wakeup(500_000, first + 20_000) - first
500000
"""

from __future__ import annotations

from meadowdock.runtime import MILLISECOND, fingerprint, monotonic_us, sleep_us

GRID_INTERVAL = 100 * MILLISECOND  # us between possible wake-ups
PHASE_DIGITS = 8  # hexadecimal digits of the address' hash that the phase is computed from


class PeriodicSchedule:
    """The possible wake-ups of one process: a regular grid, shifted by the process' phase.

    Invariant: 0 <= phase < GRID_INTERVAL, and it depends on the address only.
    """

    def __init__(self, address: str) -> None:
        self.phase = int(fingerprint(address.encode())[:PHASE_DIGITS], 16) % GRID_INTERVAL

    def next_wakeup(self, interval_us: int, from_us: int | None = None) -> int:
        """Return the last possible wake-up within an interval, on the monotonic clock.

        :param interval_us: the length of the interval; at least GRID_INTERVAL, so that the wake-up
            is after its start.
        :param from_us: the start of the interval; by default now.
        """
        start_us = monotonic_us() if from_us is None else from_us
        latest = start_us + interval_us - self.phase
        return latest // GRID_INTERVAL * GRID_INTERVAL + self.phase

    async def sleep(self, interval_us: int) -> None:
        """Sleep until the next wake-up for this interval."""
        await sleep_us(self.next_wakeup(interval_us) - monotonic_us())
