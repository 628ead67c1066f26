"""The end of a process by an unexpected error, logged as one event in place of a trace."""

from __future__ import annotations

import os
import traceback
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from meadowdock.logs import Log
from meadowdock.logs import events as log_events

EXIT_FAILED = 1
MAX_CAUSES = 3  # of an exception group
MAX_FRAMES = 12  # the innermost ones of the first cause


@dataclass(frozen=True)
class ProcessFailure:
    """Why a process ends by itself.

    :ivar causes: the exceptions as text, without the groups around them; at most MAX_CAUSES.
    :ivar where: the function and line that raised the first one.
    :ivar frames: the innermost calls that led there, outermost first.
    """

    causes: tuple[str, ...]
    where: str
    frames: tuple[str, ...]

    @classmethod
    def from_exception(cls, error: BaseException) -> ProcessFailure:
        """Describe an exception, which may be a group of exceptions."""
        leaves = list(leaf_exceptions(error))
        frames = tuple(
            f"{os.path.basename(frame.filename)}:{frame.lineno} {frame.name}"
            for frame in traceback.extract_tb(leaves[0].__traceback__, -MAX_FRAMES)
        )
        causes = tuple(repr(leaf) for leaf in leaves[:MAX_CAUSES])
        return cls(causes, frames[-1] if frames else "", frames)

    def log(self, log: Log) -> None:
        """Write the event."""
        log(log_events.PROCESS_FAILED, **self.fields())

    def encoded(self, log: Log) -> bytes:
        """Return the event as a line of a log."""
        return log.encode(log_events.PROCESS_FAILED, **self.fields()).encode()

    def fields(self) -> dict[str, Any]:
        """Return the fields of the event."""
        return {
            "status": EXIT_FAILED,
            "cause": "; ".join(self.causes),
            "where": self.where,
            "frames": self.frames,
        }


def leaf_exceptions(error: BaseException) -> Iterator[BaseException]:
    """Return the exceptions in a group, and in the groups within it, in order."""
    if isinstance(error, BaseExceptionGroup):
        for part in error.exceptions:
            yield from leaf_exceptions(part)
    else:
        yield error
