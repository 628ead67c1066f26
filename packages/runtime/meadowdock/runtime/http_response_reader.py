"""The client's parser of HTTP/1.1 responses."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from meadowdock.runtime.address_space import require_headroom
from meadowdock.runtime.body_buffer import BodyBuffer
from meadowdock.runtime.client_memory import HEADER_LINE_MEMORY_BYTES
from meadowdock.runtime.exceptions import InvalidHttpMessage
from meadowdock.runtime.http_messages import (
    Headers,
    HttpResponse,
    header_tokens,
    header_values,
)
from meadowdock.runtime.response_bounds import ResponseBounds


class ResponseReader:
    """Parses the response to one request.

    :ivar has_head: the head of the final response was read.
    :ivar complete: the response was read to its end.
    :ivar has_surplus: bytes were received after the end of the response.
    :ivar reusable: both sides allow another request on the connection.
    """

    def __init__(self, method: str, max_size: int) -> None:
        """Create a parser for the response to one request.

        :param method: the method of the request.
        :param max_size: maximum size of the body in bytes.
        """
        self.method, self.max_size = method, max_size
        self.status = 0
        self.headers: Headers = []
        self.body = BodyBuffer()
        self.bounds = ResponseBounds()
        self.in_head = False
        self.has_head = self.complete = self.has_surplus = self.reusable = False
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    @property
    def held_bytes(self) -> int:
        """What the response takes of the process's memory."""
        lines = self.bounds.head_size + len(self.headers) * HEADER_LINE_MEMORY_BYTES
        return lines + self.bounds.stalled_bytes + self.body.size

    def response(self) -> HttpResponse:
        """Return the response as far as it was read."""
        return HttpResponse(self.status, self.headers, bytes(self.body.take()))

    def discard(self) -> None:
        """Release what was parsed; nothing more is.

        The parser refers to this reader, so that both would wait for the garbage collector.
        """
        self.parser = None
        self.headers, self.body = [], BodyBuffer()

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises InvalidHttpMessage, httptools.HttpParserError, httptools.HttpParserUpgrade: the
            response is invalid, or exceeds a bound.
        :raises MemoryError: the address space is used up.
        """
        require_headroom()
        assert self.parser is not None
        was_in_body = self.has_head
        self.bounds.begin_feed()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                raise
            self.has_surplus = True
        self.bounds.end_feed(len(data), was_in_body)
        if self.bounds.exceeded and not self.complete:
            raise InvalidHttpMessage(HTTPStatus.BAD_GATEWAY)

    def end(self) -> bool:
        """Process the end of the connection, and return whether the response is complete.

        A response without a length that isn't chunked extends to the end of the connection.
        """
        framed = {b"content-length", b"transfer-encoding"} & {name for name, _ in self.headers}
        self.complete = self.complete or (self.has_head and not framed)
        return self.complete

    def on_message_begin(self) -> None:
        """Start a response (callback of httptools); a second one is surplus."""
        self.bounds.begin_head()
        if self.complete:
            self.has_surplus = True
        else:
            self.headers, self.in_head = [], True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (callback of httptools); trailers are counted, but dropped."""
        if self.complete:
            return
        self.bounds.add_line(name, value, self.in_head)
        if self.in_head:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Process the head (callback of httptools); interim responses (1xx) are ignored."""
        self.in_head = False
        assert self.parser is not None
        status = self.parser.get_status_code()
        is_interim = 100 <= status < 200
        self.bounds.end_head(is_interim)
        if self.complete or is_interim:
            return
        self.status, self.has_head = status, True
        codings = header_values(self.headers, b"transfer-encoding")
        if codings and (len(codings) > 1 or codings[0].lower() != b"chunked"):
            raise InvalidHttpMessage(HTTPStatus.BAD_GATEWAY)
        if self.method == "HEAD":
            self.complete = True
        else:
            self.reusable = self.parser.should_keep_alive() and b"close" not in header_tokens(
                self.headers, b"connection"
            )

    def on_body(self, data: bytes) -> None:
        """Add a part of the body (callback of httptools)."""
        self.bounds.add_part(len(data))
        if not self.complete:
            self.body.append(data)
            if self.body.size > self.max_size:
                raise InvalidHttpMessage(HTTPStatus.BAD_GATEWAY)

    def on_message_complete(self) -> None:
        """Process the end of the response (callback of httptools)."""
        self.complete = self.complete or self.has_head
