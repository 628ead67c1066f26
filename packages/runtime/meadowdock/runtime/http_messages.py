"""Common parts of HTTP/1.1 requests and responses.

httptools parses them. A message with ambiguous framing, which two parsers could understand
differently, is rejected (request smuggling: RFC 9112, sections 6 and 11).
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import NamedTuple

import httptools
import trio

from meadowdock.runtime.exceptions import InvalidHttpMessage

MAX_HEAD_SIZE = 64 << 10  # bytes of a head, including trailers
RECEIVE_SIZE = 16 << 10  # bytes of one read from a socket; a server buffers at most one read

# A read of more steps (lines, parts of a body) than this is costly to parse for its size.
COSTLY_STEPS = 200
REQUEST_STEPS = 10  # as many as a whole request counts for

VALID_TARGET = re.compile(rb"[!-~]+").fullmatch
VALID_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+").fullmatch
VALID_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*").fullmatch
FIELD_OVERHEAD = 4  # bytes of a header in addition to its name and value: colon, space, CR, LF
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
PHRASES = {int(status): status.phrase.encode() for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]


class HttpResponse(NamedTuple):
    """A complete response; the header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of all headers with a name, which is given in lower case."""
    return [value for header_name, value in headers if header_name == name]


def header_tokens(headers: Headers, name: bytes) -> list[bytes]:
    """Return the comma-separated tokens of all headers with a name, in lower case."""
    tokens = b",".join(header_values(headers, name)).lower().split(b",")
    return [token for raw in tokens if (token := raw.strip())]


class HeadParser:
    """Collects a message's head from the callbacks of httptools.

    Invariants: `size` counts the bytes of names, values and target, including trailers;
    `unfinished_size` counts the bytes of complete reads within a head that hasn't ended yet.

    :ivar in_head: a head has begun and not ended yet.
    """

    def __init__(self) -> None:
        self.headers: Headers = []
        self.size, self.unfinished_size, self.in_head = 0, 0, False

    def on_message_begin(self) -> None:
        """Start a head (callback of httptools)."""
        self.headers, self.size, self.unfinished_size, self.in_head = [], 0, 0, True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (callback of httptools); trailers are counted, but dropped."""
        self.count(len(name) + len(value) + FIELD_OVERHEAD)
        if self.in_head:
            self.headers.append((name.lower(), value))

    def count(self, size: int) -> None:
        """Count parsed bytes of the head.

        :raises InvalidHttpMessage: the head is longer than MAX_HEAD_SIZE.
        """
        self.size += size
        if self.size > MAX_HEAD_SIZE:
            raise InvalidHttpMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def count_read(self, size: int, was_in_head: bool) -> None:
        """Count the bytes of a read that both began and ended within a head.

        :raises InvalidHttpMessage: the unfinished head is longer than MAX_HEAD_SIZE.
        """
        self.unfinished_size += size if was_in_head and self.in_head else 0
        if self.unfinished_size > MAX_HEAD_SIZE:
            raise InvalidHttpMessage(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)


def path_and_query(target: bytes) -> bytes:
    """Return path and query of a request target, which may be in absolute form (as for a proxy).

    :raises InvalidHttpMessage: the target is invalid.
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
    """Encode the head of a response."""
    lines = b"".join(b"%b: %b\r\n" % header for header in headers)
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, PHRASES.get(status, b""), lines)
