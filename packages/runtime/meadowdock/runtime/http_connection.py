"""The server's side of an HTTP/1.1 connection: the byte stream, and each exchange as ASGI calls."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import trio

from meadowdock.runtime.clock import SECOND, monotonic_us
from meadowdock.runtime.exceptions import ConnectionEnded, InvalidHttpMessage
from meadowdock.runtime.http_messages import (
    CONNECTION_ERRORS,
    COSTLY_STEPS,
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

BODY_TIMEOUT_S = 60.0  # without a byte of a body that is read
SEND_TIMEOUT_S = 60.0  # in which the client takes SEND_SIZE of a response
SEND_SIZE = 64 << 10  # bytes
BLOCKED_US = SECOND  # a response that the client doesn't take for this long may be given up
SHORT_RECEIVE_SIZE = 4 << 10  # bytes of what is costly to parse
LINGER_S = 1.0  # how long to receive and drop bytes after the last response

Message = dict[str, Any]  # of ASGI

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class RequestStream:
    """An accepted connection as a stream of parsed requests.

    :ivar is_closing: returns whether the server is closing, so that no connection is kept alive.
    :ivar on_received: called with the number of bytes after they were parsed.
    :ivar is_receiving: bytes are waited for.
    :ivar is_parsing: bytes that were received are being entered into the account.
    :ivar is_lingering: the last response was sent, and what is still received is dropped.
    :ivar sending_since: when the client began to take the bytes that are being sent, 0 if none are.
    :ivar unsent_size: bytes of the response that is being sent.
    :ivar completed_at: when the last request was answered, 0 if none was.
    :ivar is_costly: what was received last was costly to parse.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        is_closing: Callable[[], bool],
        on_received: Callable[[int], None] = lambda size: None,
        costly_reads: trio.StrictFIFOLock | None = None,
    ) -> None:
        """Create the stream.

        :param costly_reads: held while bytes that are costly to parse are read, by one connection in
            a round of the event loop.
        """
        self.costly_reads = costly_reads or trio.StrictFIFOLock()
        self.is_costly = False
        self.sending_since = self.unsent_size = 0
        self.on_received = on_received
        self.stream, self.reader, self.is_closing = stream, RequestReader(), is_closing
        self.events = self.reader.events
        self.is_receiving = self.is_parsing = self.is_lingering = False
        self.completed_at = 0

    def discard(self) -> None:
        """Drop what was parsed; nothing more is."""
        self.reader.discard()

    async def receive_more(self) -> None:
        """Receive bytes and parse them.

        :raises ConnectionEnded: the client closed the connection.
        """
        self.is_receiving = True
        try:
            if not self.is_costly:
                self.parse(await self.stream.receive_some(RECEIVE_SIZE))
                return
            await trio.lowlevel.wait_readable(self.stream.socket)
            async with self.costly_reads:
                self.parse(await self.stream.receive_some(SHORT_RECEIVE_SIZE))
        finally:
            self.is_receiving = False

    def parse(self, data: bytes) -> None:
        """Parse received bytes, and enter them into the account.

        :raises ConnectionEnded: there are none, as the client closed the connection.
        """
        self.is_receiving = False
        if not data:
            raise ConnectionEnded
        self.reader.feed(data)
        self.is_costly = self.reader.step_count > COSTLY_STEPS
        self.is_parsing = True
        self.on_received(len(data))
        self.is_parsing = False

    def is_blocked(self) -> bool:
        """Return whether the client doesn't take a response."""
        return self.sending_since > 0 and monotonic_us() - self.sending_since > BLOCKED_US

    async def send(self, data: bytes) -> None:
        """Send a response, or a part of one.

        :raises OSError, trio.BrokenResourceError, trio.ClosedResourceError: the connection broke, or
            the client takes nothing.
        """
        view = memoryview(data)
        self.unsent_size = len(data)
        self.on_received(0)
        try:
            while len(view):
                self.sending_since = monotonic_us()
                with trio.move_on_after(SEND_TIMEOUT_S) as waiting:
                    await self.stream.send_all(view[:SEND_SIZE])
                if waiting.cancelled_caught:
                    raise TimeoutError("the client doesn't take the response")
                view = view[SEND_SIZE:]
        finally:
            self.sending_since = self.unsent_size = 0

    def next_event(self) -> RequestHead | bytes | RequestEnd:
        """Remove the next parsed event from the queue and return it.

        :raises InvalidHttpMessage: the next event is an invalid message.
        """
        event = self.events.popleft()
        if isinstance(event, InvalidHttpMessage):
            raise event
        return bytes(event) if isinstance(event, bytearray) else event

    async def close_after_response(self) -> None:
        """Close for sending, and drop for a while what is still received.

        Closing a connection with unread bytes would reset it, and the client could lose a response
        that is still on its way.
        """
        self.is_lingering = True
        with trio.move_on_after(LINGER_S):
            await self.stream.send_eof()
            while await self.stream.receive_some(RECEIVE_SIZE):
                pass


class Exchange:
    """One request and its response, with ASGI's receive and send.

    Invariants: `complete` is set once the end of the request was taken from the queue; `head` is
    the encoded head of the response until it is sent together with the first part of the body.

    :ivar disconnected: the client closed the connection.
    :ivar answered: the response was sent to its end.
    :ivar error: why the rest of the request is invalid, if it is.
    """

    def __init__(self, connection: RequestStream, request: RequestHead) -> None:
        self.connection = connection
        self.is_head = request.scope["method"] == "HEAD"
        self.http_version = request.scope["http_version"]
        self.keep_alive, self.expects_continue = request.keep_alive, request.expects_continue
        self.complete = self.disconnected = self.answered = self.chunked = False
        self.head = b""
        self.error: InvalidHttpMessage | None = None

    async def receive(self) -> Message:
        """Return the next part of the body, or "http.disconnect" once the client disconnects."""
        try:
            if self.complete or self.disconnected or self.error:
                await self.wait_for_disconnect()
            body = await self.next_body()
            return {"type": "http.request", "body": body, "more_body": not self.complete}
        except InvalidHttpMessage as error:
            self.error = error
        except (ConnectionEnded, *CONNECTION_ERRORS):
            self.disconnected = True
        return {"type": "http.disconnect"}

    async def next_body(self) -> bytes:
        """Return the next part of the body; it is empty at the end.

        :raises InvalidHttpMessage, ConnectionEnded: the request is invalid or truncated.
        """
        events = self.connection.events
        if self.expects_continue and not events:
            self.expects_continue = False
            await self.connection.stream.send_all(CONTINUE)
        while not events:
            with trio.move_on_after(BODY_TIMEOUT_S) as waiting:
                await self.connection.receive_more()
            if waiting.cancelled_caught:
                raise InvalidHttpMessage(HTTPStatus.REQUEST_TIMEOUT)
        event = self.connection.next_event()
        if not isinstance(event, bytes):
            self.complete = True
            return b""
        if events and events[0] is REQUEST_END:
            events.popleft()
            self.complete = True
        return event

    async def wait_for_disconnect(self) -> None:
        """Wait until the client disconnects.

        If the client sends another request meanwhile (pipelining), at most one read of it is
        buffered. The disconnection is then not noticed, and this waits until it is cancelled.

        :raises ConnectionEnded: the client disconnected, or the request is invalid.
        """
        while not (self.disconnected or self.error or self.connection.events):
            await self.connection.receive_more()
        if not (self.disconnected or self.error):
            await trio.sleep_forever()
        raise ConnectionEnded

    async def send(self, message: Message) -> None:
        """Send "http.response.start", then "http.response.body".

        It is no error if the client has disconnected.
        """
        if message["type"] == "http.response.start":
            self.start(message["status"], list(message["headers"]))
            return
        more = message.get("more_body", False)
        data = self.head + self.encode_body(message.get("body", b""), more)
        self.head = b""
        try:
            if not self.disconnected and data:
                await self.connection.send(data)
        except CONNECTION_ERRORS:
            self.disconnected = True
        self.answered = not more

    def encode_body(self, data: bytes, more: bool) -> bytes:
        """Encode a part of the body, as a chunk if the response is chunked."""
        if self.is_head:
            return b""
        if not self.chunked:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk if more else chunk + LAST_CHUNK

    def start(self, status: int, headers: Headers) -> None:
        """Encode the head of the response, framed so that the connection stays open if possible."""
        self.drop_unread_body()
        names = {name.lower() for name, _ in headers}
        lowercase_headers = [(name.lower(), value) for name, value in headers]
        if b"close" in header_tokens(lowercase_headers, b"connection"):
            self.keep_alive = False
        without_body = status < 200 or status in (204, 304) or self.is_head
        framed = b"content-length" in names or b"transfer-encoding" in names
        if not without_body and not framed:
            self.chunked = self.http_version == "1.1"
            self.keep_alive = self.keep_alive and self.chunked
            if self.chunked:
                headers.append((b"transfer-encoding", b"chunked"))
        if not self.complete or self.connection.is_closing():
            self.keep_alive = False
        if not self.keep_alive and b"connection" not in names:
            headers.append((b"connection", b"close"))
        elif self.keep_alive and self.http_version == "1.0":
            headers.append((b"connection", b"keep-alive"))
        self.head = response_head(status, headers)

    def drop_unread_body(self) -> None:
        """Drop a body that the app didn't read, if it was received completely.

        The connection can then serve the next request.
        """
        events = self.connection.events
        if not self.complete and REQUEST_END in events:
            while events.popleft() is not REQUEST_END:
                pass
            self.complete = True

    async def finish(self) -> bool:
        """Finish the exchange after the app, and return whether the connection stays open.

        :raises InvalidHttpMessage: the request is invalid and has no response yet.
        """
        if self.error and not self.answered:
            raise self.error
        if self.disconnected or not self.answered:
            return False
        if not self.keep_alive and (
            not self.complete or self.connection.events or self.connection.reader.is_cut_off()
        ):
            await self.connection.close_after_response()
        return self.keep_alive
