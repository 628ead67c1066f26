"""The client's parser of HTTP/1.1 responses."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from meadowdock.runtime.address_space import require_headroom
from meadowdock.runtime.exceptions import InvalidHttpMessage
from meadowdock.runtime.http_messages import (
    HeadParser,
    HttpResponse,
    header_tokens,
    header_values,
)


class ResponseReader(HeadParser):
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
        super().__init__()
        self.method, self.max_size = method, max_size
        self.status, self.body_size = 0, 0
        self.chunks: list[bytes] = []
        self.has_head = self.complete = self.has_surplus = self.reusable = False
        self.parser = httptools.HttpResponseParser(self)

    def response(self) -> HttpResponse:
        """Return the response as far as it was read."""
        return HttpResponse(self.status, self.headers, b"".join(self.chunks))

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises InvalidHttpMessage, httptools.HttpParserError, httptools.HttpParserUpgrade: the
            response is invalid.
        :raises MemoryError: the address space is used up.
        """
        require_headroom()
        was_in_head = self.in_head
        try:
            self.parser.feed_data(data)
            self.count_read(len(data), was_in_head)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                raise
            self.has_surplus = True

    def end(self) -> bool:
        """Process the end of the connection, and return whether the response is complete.

        A response without a length that isn't chunked extends to the end of the connection.
        """
        framed = {b"content-length", b"transfer-encoding"} & {name for name, _ in self.headers}
        self.complete = self.complete or (self.has_head and not framed)
        return self.complete

    def on_message_begin(self) -> None:
        """Start a response (callback of httptools); a second one is surplus."""
        if self.complete:
            self.has_surplus = True
        else:
            super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (callback of httptools)."""
        if not self.complete:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Process the head (callback of httptools); interim responses (1xx) are ignored."""
        self.in_head = False
        status = self.parser.get_status_code()
        if self.complete or 100 <= status < 200:
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
        if not self.complete:
            self.body_size += len(data)
            if self.body_size > self.max_size:
                raise InvalidHttpMessage(HTTPStatus.BAD_GATEWAY)
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Process the end of the response (callback of httptools)."""
        self.complete = self.complete or self.has_head
