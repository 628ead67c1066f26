"""Background tasks that outlive their own errors."""

from __future__ import annotations

from meadowdock.logs import Log
from meadowdock.process.daemon import BackgroundTask
from meadowdock.process.exceptions import RECOVERABLE_ERRORS
from meadowdock.runtime import MILLISECOND, sleep_us

RESTART_DELAY_US = 200 * MILLISECOND
CAUSES_LOGGED = 3


async def supervise(name: str, task: BackgroundTask, log: Log) -> None:
    """Run a task until it returns. After a recoverable error it is logged and run again."""
    while True:
        try:
            await task()
            return
        except* RECOVERABLE_ERRORS as group:
            log(105, task=name, cause=repr(group.exceptions[:CAUSES_LOGGED]))
        await sleep_us(RESTART_DELAY_US)
