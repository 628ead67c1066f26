"""The clocks of a process. All times and durations in meadowdock are integers in microseconds.

The monotonic clock is trio's clock, so a virtual trio clock (in a test or the simulator) controls
everything that is built on this module. Only this module converts to and from trio's seconds.
"""

from __future__ import annotations

import time

import trio

SECOND = 1_000_000  # microseconds
MILLISECOND = 1_000  # microseconds


def monotonic_us() -> int:
    """Return the monotonic time in microseconds; only differences are meaningful."""
    # Rounded, so that after a scope expired at its deadline the time is never before that deadline.
    return round(trio.current_time() * SECOND)


def wall_clock_us() -> int:
    """Return the microseconds since 1970.

    This clock may jump: use it only to order incarnations and for records.
    """
    return time.time_ns() // 1_000


async def sleep_us(duration_us: int) -> None:
    """Sleep for a duration; a negative one counts as zero."""
    await trio.sleep(max(0, duration_us) / SECOND)


def deadline_scope(deadline_us: int) -> trio.CancelScope:
    """Return a cancel scope that expires at a time of the monotonic clock."""
    return trio.CancelScope(deadline=deadline_us / SECOND)
