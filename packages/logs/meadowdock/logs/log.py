"""The log of a process, written as lines of JSON.

>>> Log("mdreg@x", file=sys.stdout, timed=False)(101, role="mdreg")
{"of": "mdreg@x", "number": 101, "role": "mdreg", "event": "started"}
"""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

from meadowdock.logs.catalogue import CATALOGUE


class Log:
    """The log of one process, with one JSON object per line.

    Values that JSON can't represent are written as text.

    :ivar process_name: the name of the process, "role@host".
    :ivar file: the output, standard error by default.
    :ivar timed: whether each line has a timestamp.
    """

    def __init__(self, process_name: str, file: TextIO | None = None, timed: bool = True) -> None:
        self.process_name, self.file, self.timed = process_name, file or sys.stderr, timed

    def __call__(self, number: int, **fields: Any) -> None:
        """Write an event with its fields.

        :param number: the number of the event, from `meadowdock.logs.events`.
        :raises KeyError: the number is not in the catalogue.
        """
        line = {
            "of": self.process_name,
            "number": number,
            **fields,
            "event": CATALOGUE[number].name,
        }
        if self.timed:
            line["timestamp"] = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        # one write, so that a kill doesn't leave a whole event without its newline
        self.file.write(json.dumps(line, default=str) + "\n")
        self.file.flush()
