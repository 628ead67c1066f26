"""The clocks of a process. All times and spans in meadowdock are whole microseconds.

The monotonic clock is trio's own, so a virtual trio clock (of a test or the simulator) moves
everything that is built on this module. The conversion from and to trio's seconds is here alone.
"""

from __future__ import annotations

import time

import trio

SECOND = 1_000_000  # microseconds
MILLISECOND = 1_000  # microseconds


def monotonic_us() -> int:
    """The monotonic clock in microseconds; only differences have a meaning."""
    # rounded, so that a scope that ended at a deadline never sees a time before it
    return round(trio.current_time() * SECOND)


def wall_clock_us() -> int:
    """Microseconds since 1970. The clock may jump: only to order incarnations and for records."""
    return time.time_ns() // 1_000


async def sleep_us(duration_us: int) -> None:
    """Sleep; not at all if the duration is negative."""
    await trio.sleep(max(0, duration_us) / SECOND)


def deadline_scope(deadline_us: int) -> trio.CancelScope:
    """A cancel scope that is cancelled at a deadline by the monotonic clock."""
    return trio.CancelScope(deadline=deadline_us / SECOND)
