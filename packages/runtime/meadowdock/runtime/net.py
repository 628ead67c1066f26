"""The real network: streams between processes, and HTTP/1.1 with clients and endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from meadowdock.runtime.address import Address
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.http_client import HttpConnection
from meadowdock.runtime.http_server import App, serve_http

MAX_RESPONSE_SIZE = 4 << 20  # bytes of a response's body


class Net:
    """Opens and accepts the connections of one process.

    :ivar host: the IP address from which this process connects, or None for any.
    :ivar memory: the account of the process, which has what HTTP responses take while they arrive.
    """

    def __init__(self, host: str | None = None) -> None:
        self.host = host
        self.memory: ClientMemory | None = None

    async def serve_streams(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        task_status: trio.TaskStatus[list[trio.SocketListener]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams at an address until cancelled.

        :raises OSError: the address is in use or not available.
        """
        listen_address = Address(address)
        await trio.serve_tcp(
            handler, listen_address.port, host=listen_address.host, task_status=task_status
        )

    async def open_stream(self, address: str) -> trio.abc.Stream:
        """Open a stream to an address.

        :raises OSError: there is no connection.
        """
        peer_address = Address(address)
        return await trio.open_tcp_stream(
            peer_address.host, peer_address.port, local_address=self.host, happy_eyeballs_delay=1.0
        )

    async def serve_http(
        self,
        app: App,
        address: str,
        stopping: trio.Event,
        grace_us: int,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve an ASGI app at an address until `stopping` is set.

        Requests that are then in flight have grace_us left to complete.
        """
        await serve_http(app, Address(address), stopping, grace_us, task_status=task_status)

    def http_connection(
        self, address: str, max_response_size: int = MAX_RESPONSE_SIZE
    ) -> HttpConnection:
        """Return a connection for requests to an address; it is opened at the first request.

        :param max_response_size: maximum size of a response's body in bytes.
        """
        return HttpConnection(Address(address), self.host, max_response_size, self.memory)
