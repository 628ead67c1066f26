"""HTTP/1.1, parsed by httptools: requests of callers, responses of endpoints. No I/O.

Bytes are fed to a parser; complete messages gather in it. What two readers could take for different
messages (RFC 9112, section 6.3 and 11.2, request smuggling) is rejected.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from meadowdock.forwarding.exceptions import RequestRejected, ResponseTooLarge

if TYPE_CHECKING:
    from meadowdock.configuration.items import Limits

HeaderLine = tuple[bytes, bytes]

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
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
FEED_MAX = 262_144  # bytes that are fed at once, at most
HEADER_OVERHEAD = 4  # ": " and the line's end
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
WITHOUT_BODY = (204, 304)  # statuses


@dataclass(slots=True)
class Request:
    """One complete request."""

    method: bytes
    target: bytes
    host: bytes
    lines: list[HeaderLine]  # to pass on: end-to-end ones without a length
    facts: dict[bytes, bytes]  # the dialect's headers that it carries, by lower-case name
    body: bytes
    keep_alive: bool


def end_to_end(lines: Collection[HeaderLine]) -> list[HeaderLine]:
    """Header lines without the hop-by-hop ones (RFC 9110, section 7.6.1).

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
        if (low := name.lower()) not in HOP_BY_HOP and low not in named
    ]


class RequestParser:
    """Feeds one caller's bytes to the parser.

    Invariants: complete holds complete requests, in order; error_status is 0, or the status that ends
    the connection, and then nothing more is fed; head_fed is not below the bytes of a head that is
    being read, as it counts all that came with its beginning.

    :param names: the dialect's own headers in lower case, kept apart in a request's facts
    """

    def __init__(self, limits: Limits, names: Collection[bytes]) -> None:
        self.limits, self.names = limits, names
        self.parser = httptools.HttpRequestParser(self)
        self.complete: list[Request] = []
        self.error_status = 0
        self.in_progress = False  # a request has begun and is not complete
        self.in_head = False
        self.head_size = self.head_fed = 0
        self.wants_continue = False

    def feed(self, data: bytes) -> None:
        """Bytes came; look at `complete` and `error_status` afterwards."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.in_progress or not self.complete:
                self.error_status = self.error_status or 400
            else:
                # answered as any other, and nothing is read behind it
                self.complete[-1].keep_alive = False
        except PARSER_ERRORS:
            self.error_status = self.error_status or 400
        # the parser doesn't report a line that never ends
        self.head_fed = self.head_fed + len(data) if self.in_head else 0
        if self.head_fed > self.limits.header_bytes + FEED_MAX:
            self.error_status = self.error_status or 431

    # ------------------------------------------------------------ callbacks of httptools

    def on_message_begin(self) -> None:
        """A request begins."""
        self.in_progress = self.in_head = True
        self.url = b""
        self.lines: list[HeaderLine] = []
        self.chunks: list[bytes] = []
        self.size = self.head_size = self.head_fed = 0
        self.wants_continue = False

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        self.url += url
        if len(self.url) > self.limits.header_bytes:
            raise self.reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header line."""
        if not self.in_head:
            return  # a trailer
        self.head_size += len(name) + len(value) + HEADER_OVERHEAD
        if self.head_size > self.limits.header_bytes:
            raise self.reject(431)
        self.lines.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is complete: look at what frames and addresses the request."""
        self.in_head = False
        hosts: list[bytes] = []
        encodings: list[bytes] = []
        self.facts: dict[bytes, bytes] = {}
        names = self.names
        for name, value in self.lines:
            low = name.lower()
            if low == b"host":
                hosts.append(value)
            elif low == b"transfer-encoding":
                encodings.append(value.lower())
            elif low == b"content-length" and value.isdigit():
                if int(value) > self.limits.body_bytes:
                    raise self.reject(413)
            elif low == b"expect":
                self.wants_continue = True
            elif low in names:
                if low in self.facts:
                    raise self.reject(400)  # which of two is meant?
                self.facts[low] = value
        # two readers could see its end at different places
        if len(hosts) != 1 or (encodings and encodings != [b"chunked"]):
            raise self.reject(400)
        self.host = hosts[0]

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self.size += len(body)
        if self.size > self.limits.body_bytes:
            raise self.reject(413)
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """The request is complete."""
        self.in_progress = False
        parser = self.parser
        method = parser.get_method()
        if method == b"CONNECT":
            raise self.reject(400)
        names = self.names
        self.complete.append(
            Request(
                method,
                self.url,
                self.host,
                [line for line in end_to_end(self.lines) if line[0].lower() not in names],
                self.facts,
                b"".join(self.chunks),
                parser.should_keep_alive(),
            )
        )

    def reject(self, status: int) -> RequestRejected:
        """Remember the status that ends the connection; gives what is to be raised."""
        self.error_status = status
        return RequestRejected(status)


@dataclass(slots=True)
class Response:
    """One complete response."""

    status: int
    lines: list[HeaderLine]  # end-to-end ones without a length
    facts: dict[bytes, bytes]  # the dialect's headers that it carries, by lower-case name
    body: bytes
    keep_alive: bool
    keep_alive_s: int | None  # for how long the endpoint keeps an idle connection, if it says so


class ResponseParser:
    """Feeds an endpoint's bytes to the parser.

    Invariants: complete holds complete responses, in order; malformed is set once for good when
    bytes are no response; in_progress says that a response has begun and is not complete.
    """

    def __init__(self, names: Collection[bytes], body_bytes_max: int) -> None:
        self.names, self.body_bytes_max = names, body_bytes_max
        self.parser = httptools.HttpResponseParser(self)
        self.complete: list[Response] = []
        self.in_progress = self.malformed = self.in_head = False
        self.to_head = False  # the response to a HEAD has no body whatever it says

    def feed(self, data: bytes) -> None:
        """Bytes came; look at `complete` and `malformed` afterwards."""
        try:
            self.parser.feed_data(data)
        except PARSER_ERRORS:
            self.malformed = True

    # ------------------------------------------------------------ callbacks of httptools

    def on_message_begin(self) -> None:
        """A response begins."""
        self.in_progress = self.in_head = True
        self.lines: list[HeaderLine] = []
        self.chunks: list[bytes] = []
        self.size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header line."""
        if self.in_head:  # else a trailer
            self.lines.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.in_head = False
        if self.to_head:
            self.response_complete(False)

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self.size += len(body)
        if self.size > self.body_bytes_max:
            raise ResponseTooLarge(self.body_bytes_max)
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """The response is complete."""
        if self.in_progress and not self.to_head:
            self.response_complete(self.parser.should_keep_alive())

    def response_complete(self, keep_alive: bool) -> None:
        """Take the response up, unless it is an interim one or its end is uncertain."""
        self.in_progress = False
        status = self.parser.get_status_code()
        if status < 200:
            return
        facts: dict[bytes, bytes] = {}
        keep_alive_s = None
        framed = status in WITHOUT_BODY or self.to_head
        for name, value in self.lines:
            low = name.lower()
            if low in self.names:
                if facts.setdefault(low, value) != value:
                    self.malformed = True  # which of two is meant?
                    return
            elif low in (b"content-length", b"transfer-encoding"):
                framed = True
            elif low == b"keep-alive":
                keep_alive_s = keep_alive_timeout(value)
        if not framed:
            self.malformed = True  # nobody knows if it is complete
            return
        body = b"".join(self.chunks)
        lines = end_to_end(self.lines)
        self.complete.append(Response(status, lines, facts, body, keep_alive, keep_alive_s))


def keep_alive_timeout(value: bytes) -> int | None:
    """The seconds that a Keep-Alive header names, if any.

    >>> keep_alive_timeout(b"timeout=10, max=5"), keep_alive_timeout(b"max=5")
    (10, None)
    """
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None


def head_of(method: bytes, target: bytes, lines: Iterable[HeaderLine]) -> bytes:
    """Request line and header lines, without the blank line."""
    return b"%s %s HTTP/1.1\r\n%s" % (method, target, joined(lines))


def joined(lines: Iterable[HeaderLine]) -> bytes:
    """Header lines as they are sent."""
    return b"".join([b"%s: %s\r\n" % line for line in lines])


def status_line(status: int) -> bytes:
    """The first line of a response."""
    return b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown"))


def response_head(response: Response, to_head: bool = False) -> bytes:
    """Status line and header lines with the length of the body, without the blank line."""
    has_length = not to_head and response.status not in WITHOUT_BODY
    length = b"Content-Length: %d\r\n" % len(response.body) if has_length else b""
    return status_line(response.status) + joined(response.lines) + length
