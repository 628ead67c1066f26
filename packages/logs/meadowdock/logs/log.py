"""The log of a process, written as lines of JSON.

>>> import sys
>>> Log("mdreg@x", file=sys.stdout, timed=False)(101, role="mdreg")
{"of": "mdreg@x", "number": 101, "role": "mdreg", "event": "started"}
"""

from __future__ import annotations

import json
from datetime import UTC, datetime
from functools import cache
from typing import Any, TextIO

from meadowdock.logs import events as log_events
from meadowdock.logs.catalogue import CATALOGUE
from meadowdock.logs.output import LogOutput


@cache
def standard_error() -> LogOutput:
    """Return the output of all logs of this process that have no file of their own."""
    return LogOutput()


class Log:
    """The log of one process, with one JSON object per line.

    Values that JSON can't represent are written as text.

    :ivar process_name: the name of the process, "role@host".
    :ivar file: the output; by default standard error, where lines that can't be written are dropped
        and counted.
    :ivar timed: whether each line has a timestamp.
    """

    def __init__(self, process_name: str, file: TextIO | None = None, timed: bool = True) -> None:
        self.process_name, self.timed = process_name, timed
        self.file: TextIO | LogOutput = file or standard_error()
        if isinstance(self.file, LogOutput):
            self.file.on_recovery = self.dropped_lines

    def __call__(self, number: int, **fields: Any) -> None:
        """Write an event with its fields.

        :param number: the number of the event, from `meadowdock.logs.events`.
        :raises KeyError: the number is not in the catalogue.
        """
        # one write, so that a kill doesn't leave a whole event without its newline
        self.file.write(self.encode(number, **fields))
        self.file.flush()

    def dropped_lines(self, count: int) -> str:
        """Return the event that lines were dropped."""
        return self.encode(log_events.LOG_LINES_DROPPED, count=count)

    def encode(self, number: int, **fields: Any) -> str:
        """Return an event as a line."""
        line = {
            "of": self.process_name,
            "number": number,
            **fields,
            "event": CATALOGUE[number].name,
        }
        if self.timed:
            line["timestamp"] = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        return json.dumps(line, default=str) + "\n"
