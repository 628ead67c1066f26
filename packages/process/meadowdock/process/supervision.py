"""Supervision of background tasks, which are restarted after errors."""

from __future__ import annotations

from meadowdock.logs import Log
from meadowdock.logs import events as log_events
from meadowdock.process.daemon import BackgroundTask
from meadowdock.process.exceptions import RECOVERABLE_ERRORS
from meadowdock.runtime import MILLISECOND, sleep_us

RESTART_DELAY_US = 200 * MILLISECOND
MAX_LOGGED_CAUSES = 3


async def supervise(name: str, task: BackgroundTask, log: Log) -> None:
    """Run a task until it returns; after a recoverable error, log the error and restart the task."""
    while True:
        try:
            await task()
            return
        except* RECOVERABLE_ERRORS as group:
            log(log_events.TASK_FAILED, task=name, cause=repr(group.exceptions[:MAX_LOGGED_CAUSES]))
        await sleep_us(RESTART_DELAY_US)
