"""The server's end of an HTTP/1.1 connection: its bytes, and the exchanges on it as ASGI's receive
and send."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from meadowdock.runtime.exceptions import ConnectionEnded, InvalidHttpMessage
from meadowdock.runtime.http_messages import (
    CONNECTION_ERRORS,
    RECEIVE_SIZE,
    Headers,
    header_tokens,
    response_head,
)
from meadowdock.runtime.http_request_reader import (
    REQUEST_END,
    RequestEnd,
    RequestHead,
    RequestReader,
)

LINGER_S = 1.0  # seconds for which bytes are taken behind a last response

Message = dict[str, Any]  # of ASGI

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class RequestStream:
    """The requests that come over an accepted connection, and the bytes that go back.

    :ivar is_closing: whether the server ends its connections, so that none is kept alive.
    """

    def __init__(self, stream: trio.SocketStream, is_closing: Callable[[], bool]) -> None:
        self.stream, self.reader, self.is_closing = stream, RequestReader(), is_closing
        self.events = self.reader.events

    async def receive_more(self) -> None:
        """Receive bytes and parse them.

        :raises ConnectionEnded: the client closed the connection.
        """
        data = await self.stream.receive_some(RECEIVE_SIZE)
        if not data:
            raise ConnectionEnded
        self.reader.feed(data)

    def next_event(self) -> RequestHead | bytes | RequestEnd:
        """What was parsed and not yet taken.

        :raises InvalidHttpMessage: an invalid message came next.
        """
        event = self.events.popleft()
        if isinstance(event, InvalidHttpMessage):
            raise event
        return event

    async def close_after_response(self) -> None:
        """Close for sending, and drop for a while what still comes: a connection that is closed
        with unread bytes is reset, which may destroy the response on its way."""
        with trio.move_on_after(LINGER_S):
            await self.stream.send_eof()
            while await self.stream.receive_some(RECEIVE_SIZE):
                pass


class Exchange:
    """One request and its response, as ASGI's receive and send.

    Invariants: `complete` is set when the request's end was taken; `head` is the response's head
    until its first bytes leave, with which it leaves.

    :ivar lost: the client is gone.
    :ivar answered: the response was sent to its end.
    :ivar refused: why the rest of the request is invalid.
    """

    def __init__(self, connection: RequestStream, request: RequestHead) -> None:
        self.connection, self.scope = connection, request.scope
        self.keep_alive, self.expects_continue = request.keep_alive, request.expects_continue
        self.complete = self.lost = self.answered = self.chunked = False
        self.head = b""
        self.refused: InvalidHttpMessage | None = None

    async def receive(self) -> Message:
        """A part of the request's body; then, once the client hangs up, "http.disconnect"."""
        try:
            if self.complete or self.lost or self.refused:
                await self.wait_for_disconnect()
            body = await self.next_body()
            return {"type": "http.request", "body": body, "more_body": not self.complete}
        except InvalidHttpMessage as error:
            self.refused = error
        except (ConnectionEnded, *CONNECTION_ERRORS):
            self.lost = True
        return {"type": "http.disconnect"}

    async def next_body(self) -> bytes:
        """The next part of the body; empty at its end.

        :raises InvalidHttpMessage, ConnectionEnded: the request is cut short.
        """
        events = self.connection.events
        if self.expects_continue and not events:
            self.expects_continue = False
            await self.connection.stream.send_all(CONTINUE)
        while not events:
            await self.connection.receive_more()
        event = self.connection.next_event()
        if not isinstance(event, bytes):
            self.complete = True
            return b""
        if events and events[0] is REQUEST_END:
            events.popleft()
            self.complete = True
        return event

    async def wait_for_disconnect(self) -> None:
        """Wait until the client hangs up. Of what it sends ahead, at most one read is buffered.

        :raises ConnectionEnded: it hung up, or the exchange had ended already.
        """
        while not (self.lost or self.refused or self.connection.events):
            await self.connection.receive_more()
        if not (self.lost or self.refused):
            await trio.sleep_forever()
        raise ConnectionEnded

    async def send(self, message: Message) -> None:
        """Take "http.response.start", then "http.response.body"; that the client is gone is no
        error."""
        if message["type"] == "http.response.start":
            self.start(message["status"], list(message["headers"]))
            return
        more = message.get("more_body", False)
        data = self.head + self.encode_body(message.get("body", b""), more)
        self.head = b""
        try:
            if not self.lost and data:
                await self.connection.stream.send_all(data)
        except CONNECTION_ERRORS:
            self.lost = True
        self.answered = not more

    def encode_body(self, data: bytes, more: bool) -> bytes:
        """A part of the body, chunked if the response is."""
        if self.scope["method"] == "HEAD":
            return b""
        if not self.chunked:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk if more else chunk + LAST_CHUNK

    def start(self, status: int, headers: Headers) -> None:
        """Make the response's head, framed so that the connection stays open if it can."""
        self.drop_unread_body()
        names = {name.lower() for name, _ in headers}
        lowered = [(name.lower(), value) for name, value in headers]
        if b"close" in header_tokens(lowered, b"connection"):
            self.keep_alive = False
        without_body = status < 200 or status in (204, 304) or self.scope["method"] == "HEAD"
        framed = b"content-length" in names or b"transfer-encoding" in names
        if not without_body and not framed:
            self.chunked = self.scope["http_version"] == "1.1"
            self.keep_alive = self.keep_alive and self.chunked
            if self.chunked:
                headers.append((b"transfer-encoding", b"chunked"))
        if not self.complete or self.connection.is_closing():
            self.keep_alive = False
        if not self.keep_alive and b"connection" not in names:
            headers.append((b"connection", b"close"))
        elif self.keep_alive and self.scope["http_version"] == "1.0":
            headers.append((b"connection", b"keep-alive"))
        self.head = response_head(status, headers)

    def drop_unread_body(self) -> None:
        """Drop a body that the app didn't read, if it came completely: the next request can then be
        served."""
        events = self.connection.events
        if not self.complete and REQUEST_END in events:
            while events.popleft() is not REQUEST_END:
                pass
            self.complete = True

    async def finish(self) -> bool:
        """After the app: whether a further request may come on the connection.

        :raises InvalidHttpMessage: the request was invalid and got no response yet.
        """
        if self.refused and not self.answered:
            raise self.refused
        if self.lost or not self.answered:
            return False
        if not self.keep_alive and (not self.complete or self.connection.events):
            await self.connection.close_after_response()
        return self.keep_alive
