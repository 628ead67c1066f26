"""Reads the logs of a soak run, whose processes may have been killed in the middle of a line."""

from __future__ import annotations

import json
import os
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

EVENT_NUMBER = re.compile(r'"number": (\d+)[,}]')
# Each event begins with the name of its process; inside a text the quotes would be escaped.
EVENT_START = '{"of": '


@dataclass
class LogLine:
    """The content of one line of a log.

    :ivar events: the events, in order; of one that a kill has cut short, "number" (None if it is
        not in what was written) and the text as "torn"
    :ivar other_text: what is neither an event nor the beginning of one, such as a traceback
    """

    events: list[dict[str, Any]] = field(default_factory=list)
    other_text: str = ""


def torn_event(text: str) -> dict[str, Any]:
    """Return what is known of an event of which only the beginning was written."""
    number = EVENT_NUMBER.search(text)
    return {"number": int(number[1]) if number else None, "torn": text}


def parse_line(text: str) -> LogLine:
    """Return the content of a line.

    After a kill the next run of the process goes on in the same line, behind a whole event or the
    beginning of one.

    >>> parse_line('{"of": "a", "number": 101}{"of": "a", "num').events
    [{'of': 'a', 'number': 101}, {'number': None, 'torn': '{"of": "a", "num'}]
    """
    line = LogLine()
    rest = text.strip()
    while rest:
        part = text_before_next_event(rest)
        if not (part.startswith(EVENT_START) or EVENT_START.startswith(part)):
            break
        try:
            event, end = json.JSONDecoder().raw_decode(part)
        except json.JSONDecodeError:
            event, end = torn_event(part), len(part)
        line.events.append(event)
        rest = rest[end:]
    line.other_text = rest
    return line


def text_before_next_event(text: str) -> str:
    """Return the part of a text that comes before the second event in it."""
    next_event = text.find(EVENT_START, 1)
    return text if next_event < 0 else text[:next_event]


def read_log(path: str) -> Iterator[LogLine]:
    """Yield each line of a log."""
    with open(path, encoding="utf-8") as file:
        for text in file:
            yield parse_line(text)


def read_logs(folder: str) -> Iterator[tuple[str, LogLine]]:
    """Yield each line of all logs in a folder, with the name of its file."""
    for name in sorted(os.listdir(folder)):
        for line in read_log(os.path.join(folder, name)):
            yield name, line
