"""What HTTP/1.1 requests and responses have in common.

httptools parses them. Messages whose framing two parsers could understand in two ways are refused
(RFC 9112, sections 6 and 11: request smuggling).
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import NamedTuple

import httptools
import trio

from meadowdock.runtime.exceptions import InvalidHttpMessage

MAX_HEAD_SIZE = 64 << 10  # bytes of a head, with trailers
RECEIVE_SIZE = 16 << 10  # bytes taken from a socket at once: what a server buffers at most

VALID_TARGET = re.compile(rb"[!-~]+").fullmatch
VALID_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+").fullmatch
VALID_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*").fullmatch
FIELD_OVERHEAD = 4  # bytes of a header beside its name and value: colon, space, CR, LF
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
PHRASES = {int(status): status.phrase.encode() for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]


class HttpResponse(NamedTuple):
    """A complete response; the headers' names are in lower case."""

    status: int
    headers: Headers
    body: bytes


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """The values of all headers of a name (lower case)."""
    return [value for found, value in headers if found == name]


def header_tokens(headers: Headers, name: bytes) -> list[bytes]:
    """The comma-separated tokens of all headers of a name, in lower case."""
    words = b",".join(header_values(headers, name)).lower().split(b",")
    return [word for raw in words if (word := raw.strip())]


class HeadParser:
    """Collects a message's head from the callbacks of httptools.

    Invariants: `size` counts the bytes of names, values and target, with trailers; `unfinished_size`
    counts the bytes of complete reads that ended no head.

    :ivar in_head: a head has begun and didn't end yet.
    """

    def __init__(self) -> None:
        self.headers: Headers = []
        self.size, self.unfinished_size, self.in_head = 0, 0, False

    def on_message_begin(self) -> None:
        """A head begins."""
        self.headers, self.size, self.unfinished_size, self.in_head = [], 0, 0, True

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, was read; trailers are dropped."""
        self.count(len(name) + len(value) + FIELD_OVERHEAD)
        if self.in_head:
            self.headers.append((name.lower(), value))

    def count(self, size: int) -> None:
        """Count bytes of the head.

        :raises InvalidHttpMessage: it is longer than MAX_HEAD_SIZE.
        """
        self.size += size
        if self.size > MAX_HEAD_SIZE:
            raise InvalidHttpMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def count_read(self, size: int, was_in_head: bool) -> None:
        """Count bytes that were fed to a head that had begun before and has not ended yet.

        :raises InvalidHttpMessage: they are more than MAX_HEAD_SIZE.
        """
        self.unfinished_size += size if was_in_head and self.in_head else 0
        if self.unfinished_size > MAX_HEAD_SIZE:
            raise InvalidHttpMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)


def path_and_query(target: bytes) -> bytes:
    """Path and query of a target, also of one in absolute form (as sent to a proxy).

    :raises InvalidHttpMessage: it is no target.
    """
    if target.startswith((b"/", b"*")):
        return target
    try:
        url = httptools.parse_url(target)
    except httptools.HttpParserInvalidURLError:
        raise InvalidHttpMessage(HTTPStatus.BAD_REQUEST) from None
    if not url.schema:
        raise InvalidHttpMessage(HTTPStatus.BAD_REQUEST)
    path: bytes = url.path or b"/"
    return path + (b"?" + url.query if url.query else b"")


def response_head(status: int, headers: Headers) -> bytes:
    """The bytes of a response's head."""
    lines = b"".join(b"%b: %b\r\n" % header for header in headers)
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, PHRASES.get(status, b""), lines)
