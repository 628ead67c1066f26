"""Parses HTTP/1.1 requests of callers with httptools, and encodes heads. No I/O.

Bytes are fed to a parser, which collects complete messages. Messages that two recipients could
interpret differently (request smuggling; RFC 9112, sections 6.3 and 11.2) are rejected.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from meadowdock.forwarding.exceptions import RequestRejected
from meadowdock.runtime.address_space import has_headroom, is_out_of_memory
from meadowdock.runtime.body_buffer import BodyBuffer
from meadowdock.runtime.client_memory import HEADER_LINE_MEMORY_BYTES
from meadowdock.runtime.held_body import HeldBody
from meadowdock.runtime.http_messages import REQUEST_STEPS

if TYPE_CHECKING:
    from meadowdock.configuration.items import Limits
    from meadowdock.runtime.client_memory import MemoryEntry

HeaderLine = tuple[bytes, bytes]

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
HEADER_LINE_OVERHEAD_BYTES = 4  # ": " and the line break
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
OVER_LIMIT_STATUSES = (413, 431)
STATUSES_WITHOUT_BODY = (204, 304)


@dataclass(slots=True)
class Request:
    """One complete request."""

    method: bytes
    target: bytes
    host: bytes
    lines: list[HeaderLine]  # to forward: end-to-end headers without Content-Length
    mesh_headers: dict[bytes, bytes]  # the dialect's headers in it, by lower-case name
    body: bytes | bytearray
    keep_alive: bool
    head_size: int = 0  # bytes
    reads_chunks: bool = True  # an answer may come in chunks: the caller speaks HTTP/1.1


def end_to_end(lines: Collection[HeaderLine]) -> list[HeaderLine]:
    """Return the header lines without the hop-by-hop ones (RFC 9110, section 7.6.1).

    >>> end_to_end([(b"Connection", b"x-a"), (b"X-A", b"1"), (b"X-b", b"2"), (b"TE", b"x")])
    [(b'X-b', b'2')]
    """
    named = {
        word.strip().lower()
        for name, value in lines
        if name.lower() == b"connection"
        for word in value.split(b",")
    }
    return [
        (name, value)
        for name, value in lines
        if (lower_name := name.lower()) not in HOP_BY_HOP and lower_name not in named
    ]


class RequestParser:
    """Parses the bytes from one caller into requests.

    Invariants: complete holds complete requests, in order; error_status is 0, or the status with
    which the connection ends, and then nothing more is fed; stalled_bytes were fed since the last
    feed that completed anything (a line, a part of a body or of a target); unparsed_bytes is an
    upper bound of what the parser keeps of an incomplete line; are_limits_known is False as long as the
    limits are not those of a configuration, so that nothing is refused for good because of them; step_count is how many lines, parts
    and requests the last feed held, a request counting for REQUEST_STEPS.

    :param mesh_header_names: the dialect's headers in lower case, which go to `mesh_headers` of a request
    :param memory: admits bodies, by default all
    """

    def __init__(
        self,
        limits: Limits,
        mesh_header_names: Collection[bytes],
        memory: MemoryEntry | None = None,
    ) -> None:
        self.limits, self.mesh_header_names, self.memory = limits, mesh_header_names, memory
        self.parser = httptools.HttpRequestParser(self)
        self.complete: list[Request] = []
        self.error_status = 0
        self.are_limits_known = True
        self.in_progress = False  # a request has begun to arrive and is not complete
        self.in_head = False
        self.head_size = self.trailer_size = self.stalled_bytes = self.unparsed_bytes = 0
        self.step_count = 0
        self.has_advanced = False  # the bytes that are being fed complete something
        self.wants_continue = False
        self.lines: list[HeaderLine] = []
        self.body = BodyBuffer(HeldBody)

    @property
    def held_bytes(self) -> int:
        """What the request that is being read takes of the process's memory."""
        lines = self.head_size + len(self.lines) * HEADER_LINE_MEMORY_BYTES
        return (lines if self.in_progress else 0) + self.unparsed_bytes + self.body.size

    def feed(self, data: bytes) -> None:
        """Parse more bytes; `complete` and `error_status` have the result.

        They are refused with 503 if the address space is used up.
        """
        self.has_advanced = False
        self.step_count = 0
        if not has_headroom():
            self.error_status = self.error_status or 503
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.in_progress or not self.complete:
                self.error_status = self.error_status or 400
            else:
                # an upgrade request is answered like any other, but the connection is closed after it
                self.complete[-1].keep_alive = False
        except (*PARSER_ERRORS, MemoryError) as error:
            self.error_status = self.error_status or (503 if is_out_of_memory(error) else 400)
        # the parser does not report an incomplete line, or empty ones, however long they are
        if self.has_advanced:
            self.stalled_bytes = 0
            self.unparsed_bytes = len(data) if self.in_progress and self.in_head else 0
        else:
            self.stalled_bytes += len(data)
            self.unparsed_bytes += len(data)
        if self.stalled_bytes > self.limits.header_bytes:
            self.error_status = self.error_status or self.over_limit(431)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.in_progress = self.in_head = self.has_advanced = True
        self.url = b""
        self.lines = []
        self.body = BodyBuffer(HeldBody)
        self.head_size = self.trailer_size = 0
        self.wants_continue = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self.has_advanced = True
        self.url += url
        if len(self.url) > self.limits.header_bytes:
            raise self.reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header line; trailers are counted, but ignored."""
        self.has_advanced = True
        self.step_count += 1
        size = len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        if not self.in_head:
            self.trailer_size += size
            if self.trailer_size > self.limits.header_bytes:
                raise self.reject(431)
            return
        self.head_size += size
        if self.head_size > self.limits.header_bytes:
            raise self.reject(431)
        self.lines.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the headers that frame and address the request, and take out the mesh's headers."""
        self.in_head = False
        self.has_advanced = True
        hosts: list[bytes] = []
        encodings: list[bytes] = []
        self.mesh_headers: dict[bytes, bytes] = {}
        mesh_header_names = self.mesh_header_names
        for name, value in self.lines:
            lower_name = name.lower()
            if lower_name == b"host":
                hosts.append(value)
            elif lower_name == b"transfer-encoding":
                encodings.append(value.lower())
            elif lower_name == b"content-length" and value.isdigit():
                self.admit(int(value))
            elif lower_name == b"expect":
                self.wants_continue = True
            elif lower_name in mesh_header_names:
                if lower_name in self.mesh_headers:
                    raise self.reject(400)  # a repeated header is ambiguous
                self.mesh_headers[lower_name] = value
        # recipients could disagree about the target or the end of the request
        if len(hosts) != 1 or (encodings and encodings != [b"chunked"]):
            raise self.reject(400)
        self.host = hosts[0]

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.has_advanced = True
        self.step_count += 1
        self.body.append(body)
        if self.body.size > self.limits.body_bytes:
            raise self.reject(413)

    def admit(self, size: int) -> None:
        """Check the declared length of a body.

        :raises RequestRejected: it is larger than the limit, or there is not enough memory now.
        """
        if size > self.limits.body_bytes:
            raise self.reject(413)
        if self.memory is not None and not self.memory.admits(size):
            raise self.reject(503)

    def discard(self) -> None:
        """Drop the request that is being read; nothing more is fed."""
        self.in_progress = self.in_head = False
        self.lines, self.body = [], BodyBuffer(HeldBody)
        self.stalled_bytes = self.unparsed_bytes = 0

    def on_message_complete(self) -> None:
        """Add the complete request to `complete`."""
        self.in_progress = False
        self.has_advanced = True
        self.step_count += REQUEST_STEPS
        body, self.body = self.body.take(), BodyBuffer(HeldBody)
        parser = self.parser
        method = parser.get_method()
        if method == b"CONNECT":
            raise self.reject(400)
        mesh_header_names = self.mesh_header_names
        self.complete.append(
            Request(
                method,
                self.url,
                self.host,
                [
                    line
                    for line in end_to_end(self.lines)
                    if line[0].lower() not in mesh_header_names
                ],
                self.mesh_headers,
                body,
                parser.should_keep_alive(),
                len(self.url) + self.head_size,
                parser.get_http_version() != "1.0",
            )
        )

    def over_limit(self, status: int) -> int:
        """Return the status of what is over a limit."""
        return status if self.are_limits_known else 503

    def reject(self, status: int) -> RequestRejected:
        """Set the status that ends the connection and return the exception to raise."""
        self.error_status = self.over_limit(status) if status in OVER_LIMIT_STATUSES else status
        return RequestRejected(status)


def request_head(method: bytes, target: bytes, lines: Iterable[HeaderLine]) -> bytes:
    """Return the request line and the header lines, without the blank line."""
    return b"%s %s HTTP/1.1\r\n%s" % (method, target, encoded_lines(lines))


def encoded_lines(lines: Iterable[HeaderLine]) -> bytes:
    """Return header lines as they are sent."""
    return b"".join([b"%s: %s\r\n" % line for line in lines])


def status_line(status: int) -> bytes:
    """Return the first line of a response."""
    return b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))
