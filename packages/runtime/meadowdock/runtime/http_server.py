"""An HTTP/1.1 server for ASGI apps on plain streams, with one request at a time on a connection."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import trio

from meadowdock.runtime.address import Address
from meadowdock.runtime.address_space import has_headroom
from meadowdock.runtime.client_connections import ClientLimits
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.clock import monotonic_us
from meadowdock.runtime.exceptions import ConnectionEnded, InvalidHttpMessage
from meadowdock.runtime.http_connection import Exchange, Message, RequestStream
from meadowdock.runtime.http_messages import CONNECTION_ERRORS, response_head
from meadowdock.runtime.http_request_reader import RequestHead, Scope

IDLE_TIMEOUT_S = 60.0  # between two requests, and for the head of a request
IDLE_GRACE_S = 0.3  # how long idle connections may still send a request after the listener closed
BACKLOG = 1024

Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]  # of ASGI


class ServerConnection:
    """An accepted connection.

    Invariant: `idle_scope` is entered only between two requests.
    """

    def __init__(self, server: HttpServer, stream: trio.SocketStream) -> None:
        self.server, self.stream = server, stream
        self.requests = RequestStream(
            stream, lambda: server.closing, self.on_received, server.costly_reads
        )
        memory = server.limits.memory if server.limits else ClientMemory(None)
        self.memory = memory.open(self)
        self.head_bytes = 0  # held by the head of the request that is being served
        self.request_size = 0  # bytes received of the request, or requests, in hand
        self.idle_scope: trio.CancelScope | None = None
        self.opened_at = monotonic_us()
        self.ended = False

    def on_received(self, size: int) -> None:
        """Enter received bytes into the account of the process; this connection may be closed."""
        self.request_size += size
        self.memory.received(size, is_complete=False)
        self.update_memory()
        self.memory.memory.relieve()

    def update_memory(self) -> None:
        """Enter what this connection holds into the account."""
        requests = self.requests
        held = self.head_bytes + self.request_size + requests.reader.held_bytes
        self.memory.resize(held + requests.unsent_size)

    def may_be_given_up(self) -> bool:
        """Return whether the rest of a request, or the next one, or a reader is waited for."""
        requests = self.requests
        return requests.is_receiving or requests.is_parsing or requests.is_blocked()

    def give_up(self) -> None:
        """Close the connection; a request that is incomplete has not run."""
        self.close_now()

    def is_closed(self) -> bool:
        """Return whether the descriptor is free again."""
        return self.ended

    def may_be_closed(self) -> bool:
        """Return whether nothing is done for a request, or its answer isn't read."""
        requests = self.requests
        return requests.is_receiving or requests.is_lingering or requests.is_blocked()

    def last_progress_at(self) -> int:
        """Return when the connection was opened, a request answered, or a response last taken."""
        return max(self.opened_at, self.requests.completed_at, self.requests.sending_since)

    def close_now(self) -> None:
        """Close the connection at once; a request that is incomplete has not run."""
        self.ended = True
        self.requests.discard()
        self.memory.close()
        self.stream.socket.close()

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            client = self.stream.socket.getpeername()[:2]
            while await self.serve_request(client):
                pass
        except InvalidHttpMessage as error:
            await self.reject(error.status)
        except (ConnectionEnded, *CONNECTION_ERRORS):
            pass
        finally:
            self.close_now()

    async def serve_request(self, client: tuple[str, int]) -> bool:
        """Serve one request, and return whether the connection stays open.

        :raises InvalidHttpMessage, ConnectionEnded: there is no further request.
        """
        exchange = await self.run_app(client)
        self.requests.completed_at = monotonic_us()
        self.head_bytes = self.request_size = 0
        self.update_memory()
        return await exchange.finish()

    async def run_app(self, client: tuple[str, int]) -> Exchange:
        """Run the app for the next request, and return its exchange, which doesn't hold the head.

        :raises InvalidHttpMessage, ConnectionEnded: there is no further request.
        """
        head = await self.next_head()
        self.head_bytes = head.held_bytes
        exchange = Exchange(self.requests, head)
        scope = {**head.scope, "client": client}
        await self.server.app(scope, exchange.receive, exchange.send)
        return exchange

    async def next_head(self) -> RequestHead:
        """Wait for the head of the next request and return it.

        :raises InvalidHttpMessage, ConnectionEnded: there is no further request.
        """
        requests = self.requests
        with trio.move_on_after(IDLE_TIMEOUT_S):
            while not requests.events:
                if requests.reader.ended:
                    raise ConnectionEnded
                if requests.reader.in_head:
                    await requests.receive_more()
                else:
                    await self.receive_when_idle()
        if not requests.events:
            raise ConnectionEnded
        event = requests.next_event()
        if not isinstance(event, RequestHead):
            raise TypeError(f"{event!r} outside of a request")
        return event

    async def receive_when_idle(self) -> None:
        """Receive between two requests; a closing server cancels this and ends the connection.

        :raises ConnectionEnded: the client or the server ended the connection.
        """
        with trio.CancelScope() as self.idle_scope:
            if self.server.closing:
                self.idle_scope.cancel()
            await self.requests.receive_more()
            return
        raise ConnectionEnded

    async def reject(self, status: int) -> None:
        """Respond to an invalid message, of which nothing is held, and close the connection."""
        self.requests.discard()
        self.head_bytes = self.request_size = 0
        self.update_memory()
        try:
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            await self.stream.send_all(response_head(status, headers))
            await self.requests.close_after_response()
        except CONNECTION_ERRORS:
            pass


class HttpServer:
    """The connections accepted at one address.

    Invariant: `closing` changes from False to True once, after the listener was closed.
    """

    def __init__(self, app: App) -> None:
        self.app, self.closing = app, False
        self.limits: ClientLimits | None = getattr(app, "client_limits", None)
        self.connections: set[ServerConnection] = set()
        self.costly_reads = trio.StrictFIFOLock()

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve one accepted connection until it ends; close it if the address space is used up.

        An unexpected error ends this connection alone, if the app has a method to report it.
        """
        if not has_headroom():
            stream.socket.close()
            return
        connection = ServerConnection(self, stream)
        if self.limits and not self.limits.connections.admit(connection):
            connection.close_now()
            return
        self.connections.add(connection)
        try:
            await connection.serve()
        except Exception as error:
            report = getattr(self.app, "report_failure", None)
            if report is None:
                raise
            report(error)
        finally:
            self.connections.discard(connection)
            if self.limits:
                self.limits.connections.discard(connection)

    def close(self) -> None:
        """Close idle connections now, and the others after their current request."""
        self.closing = True
        for connection in self.connections:
            if connection.idle_scope is not None:
                connection.idle_scope.cancel()


async def serve_http(
    app: App,
    address: Address,
    stopping: trio.Event,
    grace_us: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI app (only http scopes) at an address until `stopping` is set.

    The listener is then closed. Connections accepted before are still served, until those that
    remain after grace_us are cancelled.

    :raises OSError: the address is in use or not available.
    """
    listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=BACKLOG)
    # trio closes its listeners on cancellation; the duplicates keep the kernel's accept queues open.
    duplicates = [socket.socket(fileno=listener.socket.dup().detach()) for listener in listeners]
    server = HttpServer(app)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(trio.serve_listeners, server.accept, listeners, handler_nursery=connections)
            )
            task_status.started()
            await stopping.wait()
            accepting.cancel_scope.cancel()
        for listener in duplicates:
            close_listener(listener, server, connections)
        await trio.sleep(IDLE_GRACE_S)
        server.close()
        connections.cancel_scope.deadline = trio.current_time() + grace_us / 1e6


def close_listener(listener: socket.socket, server: HttpServer, connections: trio.Nursery) -> None:
    """Serve all connections in the kernel's accept queue, then close the listener.

    No connection is reset, since nothing else runs between the last accept and the close.
    """
    with listener, suppress(OSError):  # the queue is empty, or no file descriptor is left
        listener.setblocking(False)
        while True:
            accepted, _ = listener.accept()
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
            connections.start_soon(server.accept, stream)
