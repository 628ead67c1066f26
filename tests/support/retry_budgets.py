"""How often calls ran, and where, against the retry budget."""

from __future__ import annotations

from meadowdock.runtime import SECOND, sleep_us

RETRY_BUDGET = {"ratio": 1.0, "window_us": SECOND, "reserve": 100}


def hosts(world):
    return list(world.application)


async def wait_for_retry_reserve(world):
    """Older than a window, so that the reserve of second tries is there."""
    await sleep_us(2 * RETRY_BUDGET["window_us"])
