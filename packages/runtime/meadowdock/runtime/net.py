"""The real network: streams between processes, HTTP/1.1 to clients and endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from meadowdock.runtime.address import Address
from meadowdock.runtime.http_client import HttpConnection
from meadowdock.runtime.http_server import App, serve_http

MAX_RESPONSE_SIZE = 4 << 20  # bytes of a response's body


class Net:
    """What a process does on the network.

    :ivar host: its own IP address, from which it connects, or None for any.
    """

    def __init__(self, host: str | None = None) -> None:
        self.host = host

    async def serve_streams(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        task_status: trio.TaskStatus[list[trio.SocketListener]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams at an address until cancelled. Raises OSError if it isn't free."""
        listening = Address(address)
        await trio.serve_tcp(handler, listening.port, host=listening.host, task_status=task_status)

    async def open_stream(self, address: str) -> trio.abc.Stream:
        """A stream to an address. Raises OSError."""
        peer = Address(address)
        return await trio.open_tcp_stream(
            peer.host, peer.port, local_address=self.host, happy_eyeballs_delay=1.0
        )

    async def serve_http(
        self,
        app: App,
        address: str,
        stopping: trio.Event,
        grace_us: int,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve an ASGI app at an address until `stopping`, and open connections for grace_us
        beyond."""
        await serve_http(app, Address(address), stopping, grace_us, task_status=task_status)

    def http(self, address: str, limit: int = MAX_RESPONSE_SIZE) -> HttpConnection:
        """A connection for requests to an address.

        :param limit: bytes of a response's body at most.
        """
        return HttpConnection(Address(address), self.host, limit)
