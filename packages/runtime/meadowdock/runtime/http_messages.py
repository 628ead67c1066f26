"""What HTTP/1.1 requests and responses have in common. httptools reads; framing that two readers
could take in two ways is refused."""

from __future__ import annotations

import re
from http import HTTPStatus

import httptools
import trio

HEAD_MAX = 64 << 10  # bytes of a head, trailers too
READ = 16 << 10  # bytes taken from a socket at once: what a server holds beyond its request

TARGET = re.compile(rb"[!-~]+").fullmatch
NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+").fullmatch
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*").fullmatch
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
Headers = list[tuple[bytes, bytes]]
PHRASES = {int(status): status.phrase.encode() for status in HTTPStatus}


class Refused(Exception):
    """What came is no request to be served: (status,)."""


def tokens(headers: Headers, name: bytes) -> list[bytes]:
    """The comma-separated words of all headers of a name, lower case."""
    words = b",".join(value for found, value in headers if found == name).lower().split(b",")
    return [word for raw in words if (word := raw.strip())]


def named(headers: Headers, name: bytes) -> list[bytes]:
    """The values of all headers of a name."""
    return [value for found, value in headers if found == name]


class Head:
    """Collects a message's head from httptools' calls. Invariant: size counts the bytes of names,
    values and target, trailers too; raw the bytes of whole reads that ended no head."""

    def __init__(self) -> None:
        self.headers: Headers = []
        self.size, self.raw, self.open = 0, 0, False

    def on_message_begin(self) -> None:
        """A head begins."""
        self.headers, self.size, self.raw, self.open = [], 0, 0, True

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, was read."""
        self.count(len(name) + len(value) + 4)
        if self.open:  # else a trailer: nobody asked for one
            self.headers.append((name.lower(), value))

    def count(self, size: int) -> None:
        """Bytes of the head; raises Refused for too many."""
        self.size += size
        if self.size > HEAD_MAX:
            raise Refused(431)

    def read(self, size: int, within: bool) -> None:
        """Bytes that were fed to a head that had begun before them and has not ended yet."""
        self.raw += size if within and self.open else 0
        if self.raw > HEAD_MAX:
            raise Refused(431)


def path_of(target: bytes) -> bytes:
    """A target's path and query; a proxy's form names the host before them."""
    if target.startswith((b"/", b"*")):
        return target
    try:
        url = httptools.parse_url(target)
    except httptools.HttpParserInvalidURLError:
        raise Refused(400) from None
    if not url.schema:
        raise Refused(400)
    return (url.path or b"/") + (b"?" + url.query if url.query else b"")


def head_of(status: int, headers: Headers) -> bytes:
    """The bytes of a response's head."""
    lines = [b"%b: %b\r\n" % line for line in headers]
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, PHRASES.get(status, b""), b"".join(lines))
