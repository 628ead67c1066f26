"""An HTTP/1.1 server for ASGI apps on plain streams. One request at a time on a connection."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from typing import Any

import trio

from meadowdock.runtime.http_messages import (
    CONNECTION_ERRORS,
    READ,
    Headers,
    Refused,
    head_of,
    tokens,
)
from meadowdock.runtime.http_requests import RequestReader

IDLE = 60.0  # s: between requests, and for a request's head
LATECOMERS = 0.3  # s: a connection that was taken before the listener closed may still ask
PARTING = 1.0  # s: bytes of a refused request are let in, so that its answer isn't reset away
BACKLOG = 1024
App = Callable[[dict, Callable, Callable], Awaitable[None]]  # of ASGI


class ConnectionEnded(Exception):
    """The other side, or the idle time, ended the connection."""


class ServerConnection:
    """A connection that a server accepted. Invariant: it is idle only between two requests."""

    def __init__(self, server: HttpServer, stream: trio.SocketStream) -> None:
        self.server, self.stream, self.reader = server, stream, RequestReader()
        self.idle: trio.CancelScope | None = None

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            peer = self.stream.socket.getpeername()
            while True:
                scope = await self.next_head()
                exchange = Exchange(self, scope)
                await self.server.app(
                    {**scope, "client": peer[:2]}, exchange.receive, exchange.send
                )
                if not await exchange.may_continue():
                    return
        except Refused as cause:
            await self.refuse(*cause.args)
        except (ConnectionEnded, *CONNECTION_ERRORS):
            pass
        finally:
            self.stream.socket.close()

    async def read_more(self) -> None:
        """Bytes from the socket to the reader; ConnectionEnded at their end."""
        data = await self.stream.receive_some(READ)
        if not data:
            raise ConnectionEnded
        self.reader.feed(data)

    async def next_head(self) -> dict:
        """The next request's head. Raises Refused or ConnectionEnded."""
        events = self.reader.events
        with trio.move_on_after(IDLE):
            while not events:
                if self.reader.over:
                    raise ConnectionEnded
                if self.reader.open:
                    await self.read_more()
                else:
                    await self.read_when_idle()
        if not events:
            raise ConnectionEnded
        return self.next_event()

    async def read_when_idle(self) -> None:
        """Between two requests, when a closing server may end the connection."""
        with trio.CancelScope() as self.idle:
            if self.server.ending:
                self.idle.cancel()
            await self.read_more()
            return
        raise ConnectionEnded

    def next_event(self) -> dict | bytes | None:
        """What was read and not yet taken; raises Refused if that ends it."""
        event = self.reader.events.popleft()
        if isinstance(event, Refused):
            raise event
        return event

    async def refuse(self, status: int) -> None:
        """Answer what is no request to be served, and close."""
        try:
            lines = [(b"content-length", b"0"), (b"connection", b"close")]
            await self.stream.send_all(head_of(status, lines))
            await self.close_after_answer()
        except CONNECTION_ERRORS:
            pass

    async def close_after_answer(self) -> None:
        """Close in a way that lets the answer arrive: bytes that come still are dropped."""
        with trio.move_on_after(PARTING):
            await self.stream.send_eof()
            while await self.stream.receive_some(READ):
                pass


class Exchange:
    """One request and its answer, as ASGI's receive and send.
    Invariants: complete is set when the request's end was taken; head is the answer's start until
    its first bytes leave, with which it leaves; a lost connection ends both sides' work."""

    def __init__(self, connection: ServerConnection, scope: dict) -> None:
        self.connection, self.scope = connection, scope
        self.complete = self.lost = self.answered = False
        self.head, self.chunked, self.refused = None, False, None
        self.keep, self.awaits_continue = scope["keep"], scope["awaits"]

    async def receive(self) -> dict:
        """{"type": "http.request", "body", "more_body"}; then, when the caller hangs up,
        {"type": "http.disconnect"}."""
        try:
            if self.complete or self.lost or self.refused:
                await self.hung_up()
            if self.awaits_continue and not self.connection.reader.events:
                self.awaits_continue = False
                await self.connection.stream.send_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            events = self.connection.reader.events
            while not events:
                await self.connection.read_more()
            body = self.connection.next_event()
            if body is not None and events and events[0] is None:
                events.popleft()
                self.complete = True
            self.complete = self.complete or body is None
            return {"type": "http.request", "body": body or b"", "more_body": not self.complete}
        except Refused as cause:
            self.refused = cause
        except (ConnectionEnded, *CONNECTION_ERRORS):
            self.lost = True
        return {"type": "http.disconnect"}

    async def hung_up(self) -> None:
        """Raises ConnectionEnded when the caller hangs up. What it sends ahead is kept up to one
        read."""
        while not (self.lost or self.refused or self.connection.reader.events):
            await self.connection.read_more()
        if not (self.lost or self.refused):
            await trio.sleep_forever()
        raise ConnectionEnded

    async def send(self, message: dict) -> None:
        """http.response.start, then http.response.body; a lost caller is no error."""
        if message["type"] == "http.response.start":
            self.head = self.started(message["status"], list(message["headers"]))
            return
        data, more = message.get("body", b""), message.get("more_body", False)
        if self.scope["method"] == "HEAD":
            data = b""
        elif self.chunked:
            data = (b"%x\r\n%b\r\n" % (len(data), data) if data else b"") + (
                b"" if more else b"0\r\n\r\n"
            )
        head, self.head = self.head or b"", None
        try:
            if not self.lost and (head or data):
                await self.connection.stream.send_all(head + data)
        except CONNECTION_ERRORS:
            self.lost = True
        self.answered = not more

    def started(self, status: int, headers: Headers) -> bytes:
        """The answer's head, framed so that the connection may be kept if it can be."""
        self.request_ends()
        names = {name.lower() for name, _ in headers}
        if b"close" in tokens([(n.lower(), v) for n, v in headers], b"connection"):
            self.keep = False
        bare = status < 200 or status in (204, 304) or self.scope["method"] == "HEAD"
        if not bare and b"content-length" not in names and b"transfer-encoding" not in names:
            self.chunked = self.scope["http_version"] == "1.1"
            self.keep = self.keep and self.chunked
            headers += [(b"transfer-encoding", b"chunked")] if self.chunked else []
        if not self.complete or self.connection.server.ending:
            self.keep = False
        if not self.keep and b"connection" not in names:
            headers.append((b"connection", b"close"))
        elif self.keep and self.scope["http_version"] == "1.0":
            headers.append((b"connection", b"keep-alive"))
        return head_of(status, headers)

    def request_ends(self) -> None:
        """A body that nobody read, but that came whole, is dropped; then the next can be served."""
        events = self.connection.reader.events
        if not self.complete and None in events:
            while events.popleft() is not None:
                pass
            self.complete = True

    async def may_continue(self) -> bool:
        """After the app: may the next request come?"""
        if self.refused and not self.answered:
            raise self.refused
        if self.lost or not self.answered:
            return False
        if not self.keep and (not self.complete or self.connection.reader.events):
            await self.connection.close_after_answer()
        return self.keep


class HttpServer:
    """The connections of a listening address.
    Invariant: ending goes from False to True once, after the listener's closing."""

    def __init__(self, app: App) -> None:
        self.app, self.ending, self.connections = app, False, set()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve one accepted connection until it ends."""
        connection = ServerConnection(self, stream)
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    def end(self) -> None:
        """Keep no connection any longer; idle ones end now."""
        self.ending = True
        for connection in self.connections:
            if connection.idle is not None:
                connection.idle.cancel()


async def serve_http(
    app: App,
    address: Any,
    stopping: trio.Event,
    grace_us: int,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI app (http scopes alone) at an address until `stopping`: then the listener
    is closed, who came in by then is served, and after grace_us whoever is left is cut off."""
    listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=BACKLOG)
    last = [socket.socket(fileno=listener.socket.dup().detach()) for listener in listeners]
    server = HttpServer(app)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(trio.serve_listeners, server.accept, listeners, handler_nursery=connections)
            )
            task_status.started()
            await stopping.wait()
            accepting.cancel_scope.cancel()
        for listener in last:
            close_listener(listener, server, connections)
        await trio.sleep(LATECOMERS)
        server.end()
        connections.cancel_scope.deadline = trio.current_time() + grace_us / 1e6


def close_listener(listener: socket.socket, server: HttpServer, connections: trio.Nursery) -> None:
    """Take what the kernel has accepted already; then nobody is cut off by the closing. Nothing
    else runs between the last look and the close."""
    with listener, suppress(OSError):  # none left, or no descriptor for it
        listener.setblocking(False)
        while True:
            accepted, _ = listener.accept()
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
            connections.start_soon(server.accept, stream)
