"""Parses HTTP/1.1 requests at the server."""

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
    """A request's head.

    :ivar scope: as ASGI's "http" scope, without the client's address.
    :ivar keep_alive: the client wants to use the connection again.
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
    """Requests out of bytes.

    Invariant: `events` contains, in order, what was parsed and not yet taken: a head, bytes of a
    body, REQUEST_END, or the InvalidHttpMessage that is the last of all.

    :ivar ended: nothing more is parsed: after an invalid message, or the last request.
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
                # nothing is upgraded: what follows is the next request
                unparsed = data[upgrade.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserCallbackError as error:
                cause = error.__context__ or error.__cause__
                if not isinstance(cause, InvalidHttpMessage):
                    cause = InvalidHttpMessage(HTTPStatus.BAD_REQUEST)
                self.refuse(cause)
            except InvalidHttpMessage as error:
                self.refuse(error)
            except httptools.HttpParserError:
                self.refuse(InvalidHttpMessage(HTTPStatus.BAD_REQUEST))
            data = unparsed

    def refuse(self, error: InvalidHttpMessage) -> None:
        """Parse nothing more."""
        if not self.ended:  # else these are bytes behind the last request
            self.events.append(error)
        self.ended = True

    def on_message_begin(self) -> None:
        """A request begins."""
        super().on_message_begin()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """A part of the target was read."""
        self.count(len(url))
        self.target += url

    def on_headers_complete(self) -> None:
        """The head was read: it is checked and becomes an event."""
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
        """Refuse a head that two parsers could understand in two ways.

        :raises InvalidHttpMessage: it is one, or its version is unknown.
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
            # httptools takes the body of an upgrade for the next request
            or (self.parser.should_upgrade() and (has_body or method == b"CONNECT"))
        ):
            raise InvalidHttpMessage(HTTPStatus.BAD_REQUEST)

    def on_body(self, data: bytes) -> None:
        """A part of the body was read."""
        if not self.ended:
            self.events.append(data)

    def on_message_complete(self) -> None:
        """The request was read to its end."""
        if not self.ended:
            self.events.append(REQUEST_END)
            self.ended = not self.keep_alive
