"""How a process writes the lines of its log."""

from __future__ import annotations

import io

from meadowdock.logs import Log
from meadowdock.logs import events as log_events


class RecordingFile(io.RawIOBase):
    """A file that keeps each write by itself, as the kernel gets them."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []

    def writable(self) -> bool:
        return True

    def write(self, data) -> int:
        self.writes.append(bytes(data))
        return len(data)


def test_an_event_and_its_newline_are_one_write_also_if_the_output_is_unbuffered():
    for text in ("short", "x" * 20_000):
        file = RecordingFile()
        output = io.TextIOWrapper(file, encoding="utf-8", write_through=True)
        Log("mdreg@x", output)(log_events.STARTED, role=text)
        assert len(file.writes) == 1 and file.writes[0].endswith(b'Z"}\n')
