"""Supervision of background tasks, which are restarted after errors."""

from __future__ import annotations

from meadowdock.logs import Log
from meadowdock.process.daemon import BackgroundTask
from meadowdock.process.task_guard import log_task_failure
from meadowdock.runtime import MILLISECOND, sleep_us

RESTART_DELAY_US = 200 * MILLISECOND


async def supervise(name: str, task: BackgroundTask, log: Log) -> None:
    """Run a task until it returns; after an error, log the error and restart the task."""
    while True:
        try:
            await task()
            return
        except Exception as error:
            log_task_failure(log, name, error)
        await sleep_us(RESTART_DELAY_US)
