"""The server's parser of HTTP/1.1 requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httptools

from meadowdock.runtime.address_space import has_headroom, is_out_of_memory
from meadowdock.runtime.client_memory import HEADER_LINE_MEMORY_BYTES
from meadowdock.runtime.exceptions import InvalidHttpMessage
from meadowdock.runtime.http_messages import (
    REQUEST_STEPS,
    VALID_TARGET,
    HeadParser,
    header_tokens,
    header_values,
    path_and_query,
)

MAX_REQUESTS_AT_ONCE = 64  # of one read; the answer to the last closes the connection
REQUEST_MEMORY_BYTES = 1_500  # of the objects of a request, beside its header lines

Scope = dict[str, Any]  # of ASGI


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request.

    :ivar scope: the "http" scope of ASGI, without the client's address.
    :ivar keep_alive: the client wants to reuse the connection.
    :ivar expects_continue: the client sends the body only after "100 Continue".
    :ivar held_bytes: what the head takes of the process's memory.
    """

    scope: Scope
    keep_alive: bool
    expects_continue: bool
    held_bytes: int


class RequestEnd:
    """The end of a request."""


REQUEST_END = RequestEnd()
RequestEvent = RequestHead | bytes | bytearray | RequestEnd | InvalidHttpMessage


def event_size(event: RequestEvent) -> int:
    """Return what a parsed event takes of the process's memory, in bytes."""
    if isinstance(event, RequestHead):
        return event.held_bytes
    if isinstance(event, bytes | bytearray):
        return len(event)
    return 0


def callback_status(error: httptools.HttpParserCallbackError) -> int:
    """Return the status for an error that a callback has raised."""
    if is_out_of_memory(error):
        return HTTPStatus.SERVICE_UNAVAILABLE
    cause = error.__context__ or error.__cause__
    return cause.status if isinstance(cause, InvalidHttpMessage) else HTTPStatus.BAD_REQUEST


class RequestReader(HeadParser):
    """Parses the requests of one connection.

    Invariant: `events` is the queue of parsed events: the head of a request, parts of its body,
    REQUEST_END, or InvalidHttpMessage, which is always the last event.

    :ivar ended: nothing more is parsed, after an invalid message or the last request.
    :ivar step_count: how many lines, parts and requests the last feed held, a request counting for
        REQUEST_STEPS.
    """

    def __init__(self) -> None:
        super().__init__()
        self.events: deque[RequestEvent] = deque()
        self.ended = False
        self.keep_alive = True
        self.step_count = self.head_count = 0  # of the last feed
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""

    @property
    def held_bytes(self) -> int:
        """What the head that is being read and the queued events take of the process's memory."""
        lines = len(self.headers) * HEADER_LINE_MEMORY_BYTES
        unfinished = self.size + lines if self.in_head else 0
        return unfinished + sum(event_size(event) for event in self.events)

    def is_cut_off(self) -> bool:
        """Return whether requests behind the last one may have been dropped."""
        return self.head_count >= MAX_REQUESTS_AT_ONCE

    def discard(self) -> None:
        """Drop all that was parsed; nothing more is.

        The parser refers to this reader, so that both would wait for the garbage collector.
        """
        self.ended = True
        self.in_head = False
        self.events.clear()
        self.headers, self.target = [], b""
        self.parser = None

    def feed(self, data: bytes) -> None:
        """Parse bytes into events; they are refused with 503 if the address space is used up."""
        self.step_count = self.head_count = 0
        if not has_headroom():
            self.reject(HTTPStatus.SERVICE_UNAVAILABLE)
        while data and not self.ended and self.parser is not None:
            was_in_head, unparsed = self.in_head, b""
            try:
                self.parser.feed_data(data)
                self.count_read(len(data), was_in_head)
            except httptools.HttpParserUpgrade as upgrade:
                # Upgrades are ignored: the following bytes are the next request.
                unparsed = data[upgrade.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserCallbackError as error:
                self.reject(callback_status(error))
            except InvalidHttpMessage as error:
                self.reject(error.status)
            except httptools.HttpParserError:
                self.reject(HTTPStatus.BAD_REQUEST)
            data = unparsed

    def reject(self, status: int) -> None:
        """Queue an error as the last event.

        It is a new one, as the traceback of one that was raised holds what was being parsed.
        """
        if not self.ended:  # otherwise the invalid bytes follow the last request and are ignored
            self.events.append(InvalidHttpMessage(status))
        self.ended = True

    def on_message_begin(self) -> None:
        """Start a request (callback of httptools)."""
        super().on_message_begin()
        self.target = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (callback of httptools); trailers are counted, but dropped."""
        self.step_count += 1
        super().on_header(name, value)

    def on_url(self, url: bytes) -> None:
        """Add a part of the target (callback of httptools)."""
        self.count(len(url))
        self.target += url

    def on_headers_complete(self) -> None:
        """Check the head and queue it (callback of httptools)."""
        if self.ended or self.parser is None:
            return
        self.in_head = False
        version, method = self.parser.get_http_version(), self.parser.get_method()
        self.check_framing(version, method, self.parser.should_upgrade())
        path, _, query = path_and_query(self.target).partition(b"?")
        connection = header_tokens(self.headers, b"connection")
        expected = header_tokens(self.headers, b"expect")
        self.head_count += 1
        self.keep_alive = (
            b"close" not in connection
            and (version == "1.1" or b"keep-alive" in connection)
            and self.head_count < MAX_REQUESTS_AT_ONCE
        )
        headers, self.headers = self.headers, []
        held_bytes = REQUEST_MEMORY_BYTES + self.size + len(headers) * HEADER_LINE_MEMORY_BYTES
        scope = {
            "type": "http",
            "http_version": version,
            "method": method.decode("ascii"),
            "scheme": "http",
            "path": path.decode("ascii"),
            "raw_path": path,
            "query_string": query,
            "headers": headers,
        }
        expects_continue = b"100-continue" in expected and version == "1.1"
        self.events.append(RequestHead(scope, self.keep_alive, expects_continue, held_bytes))

    def check_framing(self, version: str, method: bytes, is_upgrade: bool) -> None:
        """Reject a head whose framing two parsers could understand differently.

        :raises InvalidHttpMessage: the framing is ambiguous, or the version is not supported.
        """
        lengths = header_values(self.headers, b"content-length")
        codings = header_values(self.headers, b"transfer-encoding")
        hosts = header_values(self.headers, b"host")
        has_body = bool(codings) or (bool(lengths) and lengths[0].strip(b"0") != b"")
        if version not in ("1.0", "1.1"):
            raise InvalidHttpMessage(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
        if (
            len(lengths) + len(codings) > 1
            or (codings and (codings[0].lower() != b"chunked" or version == "1.0"))
            or len(hosts) > 1
            or (version == "1.1" and not hosts)
            or not VALID_TARGET(self.target)
            # httptools would parse the body of an upgrade request as the next request
            or (is_upgrade and (has_body or method == b"CONNECT"))
        ):
            raise InvalidHttpMessage(HTTPStatus.BAD_REQUEST)

    def on_body(self, data: bytes) -> None:
        """Queue a part of the body, joined to the one before it (callback of httptools)."""
        if self.ended:
            return
        self.step_count += 1
        last = self.events[-1] if self.events else None
        if isinstance(last, bytearray):
            last += data
        elif isinstance(last, bytes):
            self.events[-1] = bytearray(last) + data
        else:
            self.events.append(data)

    def on_message_complete(self) -> None:
        """Queue the end of the request (callback of httptools)."""
        if not self.ended:
            self.step_count += REQUEST_STEPS
            self.events.append(REQUEST_END)
            self.ended = not self.keep_alive
