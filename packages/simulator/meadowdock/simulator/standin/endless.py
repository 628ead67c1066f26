"""Answers without end, by the kind of bytes that they repeat."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

PIECE_BYTES = 65_536
SOUND_BYTES = 60_000_000  # a body within the limits
OK_LINE = b"HTTP/1.1 200 OK\r\n"


@dataclass(frozen=True)
class EndlessAnswer:
    """Bytes that an endpoint sends to a request: first `opening`, then `piece` without end."""

    opening: bytes
    piece: bytes


def repeat(line: bytes) -> bytes:
    """Return about PIECE_BYTES of a repeated line."""
    return line * (PIECE_BYTES // len(line))


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


FILLER = b"x" * PIECE_BYTES
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

# by name: takes the header lines that identify the answer
ENDLESS: dict[str, Callable[[bytes], EndlessAnswer]] = {
    "header-value": lambda lines: EndlessAnswer(OK_LINE + lines + b"X-Long: ", FILLER),
    "header-name": lambda lines: EndlessAnswer(OK_LINE + lines, FILLER),
    "short-header-lines": lambda lines: EndlessAnswer(OK_LINE + lines, repeat(b"a: b\r\n")),
    "long-header-lines": lambda lines: EndlessAnswer(
        OK_LINE + lines, repeat(b"X-Long: " + b"x" * 4_000 + b"\r\n")
    ),
    "reason-phrase": lambda lines: EndlessAnswer(b"HTTP/1.1 200 ", FILLER),
    "empty-lines": lambda lines: EndlessAnswer(b"", repeat(b"\r\n")),
    "interim-100": lambda lines: EndlessAnswer(b"", repeat(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "interim-103": lambda lines: EndlessAnswer(
        b"", repeat(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
    ),
    "trailers": lambda lines: EndlessAnswer(
        OK_LINE + lines + CHUNKED + chunk(b"hello") + b"0\r\n", repeat(b"a: b\r\n")
    ),
    "trailer-value": lambda lines: EndlessAnswer(
        OK_LINE + lines + CHUNKED + chunk(b"hello") + b"0\r\nX-Long: ", FILLER
    ),
    "chunk-extension": lambda lines: EndlessAnswer(OK_LINE + lines + CHUNKED + b"5;x=", FILLER),
    "chunk-length": lambda lines: EndlessAnswer(
        OK_LINE + lines + CHUNKED + chunk(b"hello"), b"0" * PIECE_BYTES
    ),
    "chunks-of-one-byte": lambda lines: EndlessAnswer(
        OK_LINE + lines + CHUNKED, repeat(chunk(b"x"))
    ),
    "large-chunks": lambda lines: EndlessAnswer(OK_LINE + lines + CHUNKED, chunk(FILLER)),
    "body-without-length": lambda lines: EndlessAnswer(OK_LINE + lines + b"\r\n", FILLER),
    "body-of-a-terabyte": lambda lines: EndlessAnswer(
        OK_LINE + lines + b"Content-Length: 1000000000000\r\n\r\n", FILLER
    ),
    "longer-than-said": lambda lines: EndlessAnswer(
        OK_LINE + lines + b"Content-Length: %d\r\n\r\n" % SOUND_BYTES, FILLER
    ),
}
