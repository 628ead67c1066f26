"""A record in the data folder of how a process ended, for the log of the next one.

A process without a data folder keeps none.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import trio

from meadowdock.logs import Log
from meadowdock.logs import events as log_events
from meadowdock.runtime import Disk

FILE_NAME = "run"
RUNNING, STOPPING, FAILED = "running", "stopping", "failed"
ENDINGS = {  # state in the record -> how the process ended
    RUNNING: "without a stop: killed, out of memory, or loss of power",
    STOPPING: "after it was told to stop",
    FAILED: "by an error",
}


class RunRecord:
    """The record of one process.

    The record is only informative: a disk that can't be read or written changes nothing else.
    """

    def __init__(self, disk: Disk, log: Log) -> None:
        self.disk, self.log = disk, log

    async def begin(self) -> None:
        """Log how the previous process ended, and record that this one runs."""
        try:
            content = await abandonable(self.disk.read_in_thread, FILE_NAME)
            if content is not None:
                self.log_previous_end(content)
            await abandonable(self.disk.write_in_thread, FILE_NAME, encode(RUNNING))
        except OSError:
            pass

    def log_previous_end(self, content: bytes) -> None:
        """Log what the record of the previous process says."""
        try:
            record = json.loads(content)
            ending, cause = ENDINGS[record["state"]], record["cause"]
        except (ValueError, KeyError, TypeError):
            ending, cause = "unknown: its record is damaged", ""
        self.log(log_events.PREVIOUS_END, ending=ending, cause=cause)

    async def stopping(self) -> None:
        """Record that this process was told to stop."""
        try:
            await abandonable(self.disk.write_in_thread, FILE_NAME, encode(STOPPING))
        except OSError:
            pass

    def failed(self, cause: str) -> None:
        """Record that this process ends by an error (blocking)."""
        try:
            self.disk.write_in_thread(FILE_NAME, encode(FAILED, cause))
        except OSError:
            pass


async def abandonable(work: Callable[..., Any], *args: Any) -> Any:
    """Run disk access in a thread that a stop doesn't wait for, as the disk may never answer."""
    return await trio.to_thread.run_sync(work, *args, abandon_on_cancel=True)


def encode(state: str, cause: str = "") -> bytes:
    """Return the content of the record."""
    return json.dumps({"state": state, "cause": cause}).encode()
