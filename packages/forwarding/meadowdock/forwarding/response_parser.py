"""Parses HTTP/1.1 responses of endpoints with httptools. No I/O.

A response is refused as soon as it can't become one any more: its head is ambiguous or has no framing, a
bound is exceeded (`meadowdock.runtime.response_bounds`), or its body is longer than the maximum.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

import httptools

from meadowdock.forwarding.exceptions import MalformedResponse, ResponseTooLarge
from meadowdock.forwarding.http import (
    PARSER_ERRORS,
    STATUSES_WITHOUT_BODY,
    HeaderLine,
    encoded_lines,
    end_to_end,
    status_line,
)
from meadowdock.runtime.address_space import has_headroom
from meadowdock.runtime.body_buffer import BodyBuffer
from meadowdock.runtime.client_memory import HEADER_LINE_MEMORY_BYTES
from meadowdock.runtime.response_bounds import ResponseBounds

NOT_HTTP = "no HTTP response"
NO_ADDRESS_SPACE = "no memory to parse it"


@dataclass(slots=True)
class Response:
    """One response: complete, or its head with the body as far as it has arrived."""

    status: int
    lines: list[HeaderLine]  # end-to-end headers without Content-Length
    mesh_headers: dict[bytes, bytes]  # the dialect's headers in it, by lower-case name
    body: bytes | bytearray
    keep_alive: bool
    keep_alive_s: int | None  # the idle time-out that the endpoint announced, or None
    length: int | None = None  # bytes of its body as declared, None if it comes in chunks


def callback_cause(error: httptools.HttpParserCallbackError) -> str:
    """Return why a callback refused the response.

    The caller must not keep the exception: its frames refer to the parser, and to the caller's.
    """
    cause = error.__context__ or error.__cause__
    return str(cause) if isinstance(cause, ValueError) else repr(cause)


class ResponseParser:
    """Parses the bytes from one endpoint into responses.

    Invariants: complete holds complete responses, in order; refusal is set for good once the bytes
    are not an acceptable response, and nothing is held then; in_progress is set while a response is
    incomplete; head is the head of the response whose body is arriving, if it is not an interim one.

    :param body_max_bytes: of one response.
    """

    def __init__(self, mesh_header_names: Collection[bytes], body_max_bytes: int) -> None:
        self.mesh_header_names, self.body_max_bytes = mesh_header_names, body_max_bytes
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.bounds = ResponseBounds()
        self.complete: list[Response] = []
        self.in_progress = self.in_head = False
        self.refusal = ""
        self.for_head_request = False  # a response to HEAD has no body, whatever its headers say
        self.head: Response | None = None
        self.lines: list[HeaderLine] = []
        self.body = BodyBuffer()
        self.body_size = 0  # of the response in all, also of what was taken

    @property
    def malformed(self) -> bool:
        """Whether the bytes are not an acceptable response."""
        return bool(self.refusal)

    @property
    def held_bytes(self) -> int:
        """What the response that is being read takes of the process's memory."""
        line_count = len(self.lines) + (len(self.head.lines) if self.head is not None else 0)
        lines = self.bounds.head_size + line_count * HEADER_LINE_MEMORY_BYTES
        return (lines if self.in_progress else 0) + self.bounds.stalled_bytes + self.body.size

    def expect(self, for_head_request: bool) -> None:
        """Prepare for the response to the next request.

        :param for_head_request: the request's method is HEAD.
        """
        self.for_head_request = for_head_request
        self.bounds.reset()

    def feed(self, data: bytes) -> None:
        """Parse more bytes; `complete` and `refusal` have the result."""
        if self.parser is None:
            return
        if not has_headroom():
            self.refuse(NO_ADDRESS_SPACE)
            return
        bounds = self.bounds
        was_in_body = self.head is not None
        bounds.begin_feed()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self.refuse(callback_cause(error))
            return
        except PARSER_ERRORS:
            self.refuse(NOT_HTTP)
            return
        bounds.end_feed(len(data), was_in_body and self.head is not None)
        if bounds.exceeded:
            self.refuse(f"{bounds.exceeded} too long")

    def refuse(self, cause: str) -> None:
        """Refuse the response, and release what was parsed; nothing more is."""
        self.refusal = self.refusal or cause
        self.discard()

    def discard(self) -> None:
        """Release what was parsed of an incomplete response.

        The parser refers to this object, so that both would wait for the garbage collector.
        """
        self.parser = None
        self.in_progress = self.in_head = False
        self.head = None
        self.lines, self.body = [], BodyBuffer()
        self.bounds.reset()

    def take_part(self) -> bytes | bytearray:
        """Return what has arrived of the body since the last call, and release it."""
        body, self.body = self.body.take(), BodyBuffer()
        return body

    def on_message_begin(self) -> None:
        """Start a new response."""
        self.bounds.begin_head()
        self.in_progress = self.in_head = True
        self.lines = []
        self.head = None
        self.body = BodyBuffer()
        self.body_size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header line; trailers are counted, but ignored."""
        self.bounds.add_line(name, value, self.in_head)
        if self.in_head:
            self.lines.append((name, value))

    def on_headers_complete(self) -> None:
        """End the head; without a body this also completes the response."""
        assert self.parser is not None
        self.in_head = False
        status = self.parser.get_status_code()
        self.bounds.end_head(is_interim=status < 200)
        if status >= 200:
            self.head = self.parsed_head(status)
        self.lines = []
        if self.for_head_request:
            self.response_complete(False)

    def parsed_head(self, status: int) -> Response:
        """Return the head of a final response.

        :raises MalformedResponse: it is ambiguous.
        :raises ResponseTooLarge: the declared body is larger than the maximum.
        """
        mesh_headers: dict[bytes, bytes] = {}
        keep_alive_s = length = None
        framed = status in STATUSES_WITHOUT_BODY or self.for_head_request
        for name, value in self.lines:
            lower_name = name.lower()
            if lower_name in self.mesh_header_names:
                if mesh_headers.setdefault(lower_name, value) != value:
                    raise MalformedResponse("different values of a repeated header")
            elif lower_name == b"content-length":
                framed = True
                length = int(value) if value.isdigit() else None
            elif lower_name == b"transfer-encoding":
                framed = True
            elif lower_name == b"keep-alive":
                keep_alive_s = keep_alive_timeout(value)
        if not framed:
            raise MalformedResponse("without a length it may be truncated")
        if length is not None and length > self.body_max_bytes and not self.for_head_request:
            raise ResponseTooLarge(self.body_max_bytes)
        lines = end_to_end(self.lines)
        return Response(status, lines, mesh_headers, b"", False, keep_alive_s, length)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.bounds.add_part(len(body))
        self.body.append(body)
        self.body_size += len(body)
        if self.body_size > self.body_max_bytes:
            raise ResponseTooLarge(self.body_max_bytes)

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self.in_progress and not self.for_head_request:
            assert self.parser is not None
            self.response_complete(self.parser.should_keep_alive())

    def response_complete(self, keep_alive: bool) -> None:
        """Add the response to `complete`, unless it is an interim one."""
        self.in_progress = False
        response, self.head = self.head, None
        if response is None:
            return
        response.keep_alive = keep_alive
        response.body = self.take_part()
        self.complete.append(response)


def keep_alive_timeout(value: bytes) -> int | None:
    """Return the time-out in seconds of a Keep-Alive header, or None if it has none.

    >>> keep_alive_timeout(b"timeout=10, max=5"), keep_alive_timeout(b"max=5")
    (10, None)
    """
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None


def response_head(response: Response) -> bytes:
    """Return the status line and the end-to-end header lines, without framing and the blank line."""
    return status_line(response.status) + encoded_lines(response.lines)


def length_line(response: Response, for_head_request: bool = False) -> bytes:
    """Return the header line with the length of a complete response's body, if it has one."""
    if for_head_request or response.status in STATUSES_WITHOUT_BODY:
        return b""
    return b"Content-Length: %d\r\n" % len(response.body)
