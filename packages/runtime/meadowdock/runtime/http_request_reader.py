"""The server's parser of HTTP/1.1 requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httptools

from meadowdock.runtime.exceptions import InvalidHttpMessage
from meadowdock.runtime.http_messages import (
    VALID_TARGET,
    HeadParser,
    header_tokens,
    header_values,
    path_and_query,
)

Scope = dict[str, Any]  # of ASGI


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request.

    :ivar scope: the "http" scope of ASGI, without the client's address.
    :ivar keep_alive: the client wants to reuse the connection.
    :ivar expects_continue: the client sends the body only after "100 Continue".
    """

    scope: Scope
    keep_alive: bool
    expects_continue: bool


class RequestEnd:
    """The end of a request."""


REQUEST_END = RequestEnd()
RequestEvent = RequestHead | bytes | RequestEnd | InvalidHttpMessage


class RequestReader(HeadParser):
    """Parses the requests of one connection.

    Invariant: `events` is the queue of parsed events: the head of a request, parts of its body,
    REQUEST_END, or InvalidHttpMessage, which is always the last event.

    :ivar ended: nothing more is parsed, after an invalid message or the last request.
    """

    def __init__(self) -> None:
        super().__init__()
        self.events: deque[RequestEvent] = deque()
        self.ended = False
        self.keep_alive = True
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def feed(self, data: bytes) -> None:
        """Parse bytes into events."""
        while data and not self.ended:
            was_in_head, unparsed = self.in_head, b""
            try:
                self.parser.feed_data(data)
                self.count_read(len(data), was_in_head)
            except httptools.HttpParserUpgrade as upgrade:
                # Upgrades are ignored: the following bytes are the next request.
                unparsed = data[upgrade.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserCallbackError as error:
                cause = error.__context__ or error.__cause__
                if not isinstance(cause, InvalidHttpMessage):
                    cause = InvalidHttpMessage(HTTPStatus.BAD_REQUEST)
                self.reject(cause)
            except InvalidHttpMessage as error:
                self.reject(error)
            except httptools.HttpParserError:
                self.reject(InvalidHttpMessage(HTTPStatus.BAD_REQUEST))
            data = unparsed

    def reject(self, error: InvalidHttpMessage) -> None:
        """Queue an error as the last event."""
        if not self.ended:  # otherwise the invalid bytes follow the last request and are ignored
            self.events.append(error)
        self.ended = True

    def on_message_begin(self) -> None:
        """Start a request (callback of httptools)."""
        super().on_message_begin()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """Add a part of the target (callback of httptools)."""
        self.count(len(url))
        self.target += url

    def on_headers_complete(self) -> None:
        """Check the head and queue it (callback of httptools)."""
        if self.ended:
            return
        self.in_head = False
        version, method = self.parser.get_http_version(), self.parser.get_method()
        self.check_framing(version, method)
        path, _, query = path_and_query(self.target).partition(b"?")
        connection = header_tokens(self.headers, b"connection")
        expected = header_tokens(self.headers, b"expect")
        self.keep_alive = b"close" not in connection and (
            version == "1.1" or b"keep-alive" in connection
        )
        scope = {
            "type": "http",
            "http_version": version,
            "method": method.decode("ascii"),
            "scheme": "http",
            "path": path.decode("ascii"),
            "raw_path": path,
            "query_string": query,
            "headers": self.headers,
        }
        expects_continue = b"100-continue" in expected and version == "1.1"
        self.events.append(RequestHead(scope, self.keep_alive, expects_continue))

    def check_framing(self, version: str, method: bytes) -> None:
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
            or (self.parser.should_upgrade() and (has_body or method == b"CONNECT"))
        ):
            raise InvalidHttpMessage(HTTPStatus.BAD_REQUEST)

    def on_body(self, data: bytes) -> None:
        """Queue a part of the body (callback of httptools)."""
        if not self.ended:
            self.events.append(data)

    def on_message_complete(self) -> None:
        """Queue the end of the request (callback of httptools)."""
        if not self.ended:
            self.events.append(REQUEST_END)
            self.ended = not self.keep_alive
