"""The output of a process's log, which neither ends the process nor holds it up.

A line that can't be written is dropped and counted: the reader may have gone, the file system may be
full, or a pipe may be full because nobody reads it.
"""

from __future__ import annotations

import os
import select
import stat
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

STDERR = 2
# A pipe that is ready for writing takes this many bytes without blocking (PIPE_BUF of Linux).
PIPE_CHUNK = 4096  # bytes
CHUNK_TIMEOUT_MS = 20  # for the reader of a pipe, between two chunks of one line


class LogOutput:
    """Writes lines to a file descriptor, without a buffer.

    Invariant: dropped counts the lines dropped since the last one that was written.

    :ivar on_recovery: returns the line that says how many lines were dropped before; it is written
        as soon as lines can be written again.
    """

    def __init__(self, descriptor: int = STDERR) -> None:
        self.descriptor = descriptor
        ensure_open(descriptor)
        self.dropped = 0
        self.torn = False  # the last line that was written has no end
        self.on_recovery: Callable[[int], str] | None = None
        self.may_block = may_block(descriptor)

    def write(self, text: str) -> int:
        """Write a text that ends with a newline, or drop it; return its length."""
        if self.dropped and self.on_recovery and text.strip():
            text = self.on_recovery(self.dropped) + text
        if not text:
            return 0
        data = text.encode("utf-8", "backslashreplace")
        if self.write_bytes(b"\n" + data if self.torn else data):
            self.dropped, self.torn = 0, False
        else:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: each write goes to the kernel."""

    def isatty(self) -> bool:
        """Return False: the log has no colours."""
        return False

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self.descriptor

    def write_bytes(self, data: bytes) -> bool:
        """Write data, and return whether all of it was written."""
        written = 0
        try:
            while written < len(data):
                if self.may_block and not self.is_ready(CHUNK_TIMEOUT_MS if written else 0):
                    break
                end = written + PIPE_CHUNK if self.may_block else len(data)
                written += os.write(self.descriptor, data[written:end])
        except OSError:
            pass
        if 0 < written < len(data):
            self.torn = True
        return written == len(data)

    def is_ready(self, timeout_ms: int) -> bool:
        """Return whether the next chunk can be written without blocking."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(timeout_ms))


def ensure_open(descriptor: int) -> None:
    """Let a closed descriptor discard its output.

    The next socket would get its number otherwise, and the log would be sent to whoever is connected.
    """
    try:
        os.fstat(descriptor)
    except OSError:
        discarding = os.open(os.devnull, os.O_WRONLY)
        if discarding != descriptor:
            os.dup2(discarding, descriptor)
            os.close(discarding)


def may_block(descriptor: int) -> bool:
    """Return whether a write waits for a reader."""
    try:
        mode = os.fstat(descriptor).st_mode
    except OSError:
        return False
    return stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
