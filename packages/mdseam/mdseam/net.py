"""The real network: streams for links, hypercorn towards callers, httpcore towards endpoints."""

from __future__ import annotations

import logging
from functools import partial

import httpcore
import trio
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import wrap_app

SILENT = logging.getLogger("meadowdock.http")
SILENT.addHandler(logging.NullHandler())
SILENT.propagate = False
LATECOMERS = 0.3  # s: a connection that was taken before the door closed may still ask


class Address(str):
    """host:port, by IP number.

    >>> Address("10.0.0.1:80").host, Address("10.0.0.1:80").port
    ('10.0.0.1', 80)
    """

    @property
    def host(self):
        return self.rpartition(":")[0]

    @property
    def port(self):
        return int(self.rpartition(":")[2])


class HttpBreakdown(Exception):
    # Invariant: sent is False only if no byte of the request left this process.
    def __init__(self, sent, cause):
        super().__init__(f"{'sent' if sent else 'unsent'}: {cause!r}")
        self.sent = sent


class Net:
    def __init__(self, host=None):
        self.host = host

    async def serve_links(self, address, handler, task_status=trio.TASK_STATUS_IGNORED):
        address = Address(address)
        await trio.serve_tcp(handler, address.port, host=address.host, task_status=task_status)

    async def open_link(self, address):
        address = Address(address)
        return await trio.open_tcp_stream(
            address.host, address.port, local_address=self.host, happy_eyeballs_delay=1.0
        )

    async def serve_http(
        self, app, address, stopping, grace_us, task_status=trio.TASK_STATUS_IGNORED
    ):
        config = Config()
        config.bind = [str(address)]
        config.accesslog = None
        config.errorlog = SILENT
        config.include_server_header = False
        config.include_date_header = False
        config.keep_alive_timeout = 60.0
        config.graceful_timeout = grace_us / 1e6
        config.backlog = 1024
        # as hypercorn's own serve, but the door is closed first, and who came in by then is served
        address, context = Address(address), WorkerContext(None)
        listeners = await trio.open_tcp_listeners(address.port, host=address.host, backlog=1024)
        last = [trio.SocketListener(listener.socket.dup()) for listener in listeners]
        app = wrap_app(app, 65536, "asgi")

        async def server(stream):
            await TCPServer(app, config, context, {}, stream)

        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as door:
                door.start_soon(
                    partial(trio.serve_listeners, server, listeners, handler_nursery=connections)
                )
                task_status.started()
                await stopping.wait()
                door.cancel_scope.cancel()
            for listener in last:
                await self.close_door(listener, server, connections)
            await trio.sleep(LATECOMERS)
            await context.terminated.set()
            connections.cancel_scope.deadline = trio.current_time() + config.graceful_timeout

    async def close_door(self, listener, server, connections):
        """Take what the kernel has accepted already; then nobody is cut off by the closing."""
        async with listener:
            for _ in range(1024):
                with trio.move_on_after(0.001) as nobody:
                    connections.start_soon(server, await listener.accept())
                if nobody.cancelled_caught:
                    return

    def http(self, address, limit=4 << 20):
        return HttpConnection(Address(address), self.host, limit)


class HttpConnection:
    """One connection, one request at a time. Any breakdown closes it."""

    def __init__(self, address, host, limit):
        self.address = address
        self.limit = limit
        self.fresh = True
        self.connection = httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", address.host.encode(), address.port), local_address=host
        )

    def stale(self):
        return self.connection.is_closed() or (not self.fresh and self.connection.has_expired())

    def spare(self):
        """Did more come than the answer? It would be taken for the next one's. httpcore has no
        public door to it."""
        return bool(self.connection._connection._h11_state.trailing_data[0])

    async def request(self, method, target, headers, body, started=None):
        """The whole answer: (status, headers, body). Raises HttpBreakdown."""
        sent = False

        async def trace(event, info):
            nonlocal sent
            if event == "http11.send_request_headers.started":
                sent = True
                if started:
                    started()

        url = httpcore.URL(
            scheme=b"http",
            host=self.address.host.encode(),
            port=self.address.port,
            target=target.encode("ascii", "strict"),
        )
        lines = [
            (b"host", self.address.encode()),
            *((name, value) for name, value in headers),
            (b"content-length", str(len(body)).encode()),
        ]
        request = httpcore.Request(
            method, url, headers=lines, content=body, extensions={"trace": trace}
        )
        whole = False
        try:
            response = await self.connection.handle_async_request(request)
            try:
                chunks, size = [], 0
                async for chunk in response.aiter_stream():
                    size += len(chunk)
                    if size > self.limit:
                        raise HttpBreakdown(True, "answer over the limit")
                    chunks.append(chunk)
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()
            if self.spare():
                raise HttpBreakdown(True, "bytes behind the answer's end")
            self.fresh = False
            whole = True
            return response.status, response.headers, b"".join(chunks)
        except HttpBreakdown:
            raise
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.ConnectionNotAvailable,
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as cause:
            raise HttpBreakdown(sent, cause) from cause
        finally:
            if not whole:
                await self.close()

    async def close(self):
        with trio.CancelScope(shield=True):
            await self.connection.aclose()
