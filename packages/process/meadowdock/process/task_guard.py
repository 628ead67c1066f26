"""The nursery of a process, in which the error of one task ends that task alone."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from meadowdock.logs import Log
from meadowdock.logs import events as log_events
from meadowdock.process.failure import ProcessFailure

AsyncFunction = Callable[..., Awaitable[Any]]


class GuardedNursery:
    """A nursery that logs the unexpected error of a task in place of cancelling all others.

    What waits for such a task has a deadline of its own.
    """

    def __init__(self, nursery: trio.Nursery, log: Log) -> None:
        self.nursery, self.log = nursery, log

    @property
    def cancel_scope(self) -> trio.CancelScope:
        """The scope of all tasks."""
        return self.nursery.cancel_scope

    def start_soon(self, function: AsyncFunction, *args: Any, name: object = None) -> None:
        """Start a task."""
        self.nursery.start_soon(run_guarded, self.log, function, *args, name=name or function)

    async def start(self, function: AsyncFunction, *args: Any, name: object = None) -> Any:
        """Start a task and wait until it reports that it has started; return what it reports.

        Such a task serves until the process ends, so its errors are not caught here.
        """
        return await self.nursery.start(function, *args, name=name)


async def run_guarded(log: Log, function: AsyncFunction, *args: Any) -> None:
    """Run a task, and log its unexpected error."""
    try:
        await function(*args)
    except Exception as error:
        log_task_failure(log, task_name(function), error)


def log_task_failure(log: Log, name: str, error: Exception) -> None:
    """Log the error of a task, with its causes and the line that raised the first of them."""
    failure = ProcessFailure.from_exception(error)
    log(log_events.TASK_FAILED, task=name, cause="; ".join(failure.causes), where=failure.where)


def task_name(function: AsyncFunction) -> str:
    """Return the name of a task's function."""
    function = getattr(function, "func", function)
    return getattr(function, "__qualname__", repr(function))
