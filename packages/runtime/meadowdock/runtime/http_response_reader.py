"""Parses the HTTP/1.1 response to one request at the client."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from meadowdock.runtime.exceptions import InvalidHttpMessage
from meadowdock.runtime.http_messages import (
    HeadParser,
    HttpResponse,
    header_tokens,
    header_values,
)


class ResponseReader(HeadParser):
    """One response out of bytes.

    :ivar has_head: the head of the final response was read.
    :ivar complete: the response was read to its end.
    :ivar has_surplus: further bytes came behind the response's end.
    :ivar reusable: both sides allow a further request on the connection.
    """

    def __init__(self, method: str, max_size: int) -> None:
        """:param max_size: bytes of the body at most."""
        super().__init__()
        self.method, self.max_size = method, max_size
        self.status, self.body_size = 0, 0
        self.chunks: list[bytes] = []
        self.has_head = self.complete = self.has_surplus = self.reusable = False
        self.parser = httptools.HttpResponseParser(self)

    def response(self) -> HttpResponse:
        """What was read."""
        return HttpResponse(self.status, self.headers, b"".join(self.chunks))

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        :raises InvalidHttpMessage, httptools.HttpParserError, httptools.HttpParserUpgrade: they
            are no valid response.
        """
        was_in_head = self.in_head
        try:
            self.parser.feed_data(data)
            self.count_read(len(data), was_in_head)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                raise
            self.has_surplus = True

    def end(self) -> bool:
        """The server closed the connection. Whether the response is complete: one that neither has
        a length nor is chunked ends with the connection."""
        framed = {b"content-length", b"transfer-encoding"} & {name for name, _ in self.headers}
        self.complete = self.complete or (self.has_head and not framed)
        return self.complete

    def on_message_begin(self) -> None:
        """A response begins."""
        if self.complete:
            self.has_surplus = True
        else:
            super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, was read."""
        if not self.complete:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """The head was read; those of interim responses (1xx) are ignored."""
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
        """A part of the body was read."""
        if not self.complete:
            self.body_size += len(data)
            if self.body_size > self.max_size:
                raise InvalidHttpMessage(HTTPStatus.BAD_GATEWAY)
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        """The response was read to its end."""
        self.complete = self.complete or self.has_head
