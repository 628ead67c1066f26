"""A retry budget for tests, and the wait until its reserve is available."""

from __future__ import annotations

from meadowdock.runtime import SECOND, sleep_us

RETRY_BUDGET = {"ratio": 1.0, "window_us": SECOND, "reserve": 100}


def hosts(world):
    return list(world.application)


async def wait_for_retry_reserve(world):
    """Wait longer than a window: until then a proxy has no reserve of retries."""
    await sleep_us(2 * RETRY_BUDGET["window_us"])
