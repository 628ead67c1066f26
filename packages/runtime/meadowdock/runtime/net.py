"""The real network: streams for links, HTTP/1.1 towards callers and endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from meadowdock.runtime.http_client import HttpConnection, HttpConnectionFailed
from meadowdock.runtime.http_server import App, serve_http

ANSWER_MAX = 4 << 20  # bytes of a response's body


class Address(str):
    """host:port, by IP number.

    >>> Address("10.0.0.1:80").host, Address("10.0.0.1:80").port
    ('10.0.0.1', 80)
    """

    @property
    def host(self) -> str:
        """The IP number."""
        return self.rpartition(":")[0]

    @property
    def port(self) -> int:
        """The port."""
        return int(self.rpartition(":")[2])


class Net:
    """What a process does on the network; host is its own address, from which it connects."""

    def __init__(self, host: str | None = None) -> None:
        self.host = host

    async def serve_streams(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams at an address until cancelled."""
        address = Address(address)
        await trio.serve_tcp(handler, address.port, host=address.host, task_status=task_status)

    async def open_stream(self, address: str) -> trio.abc.Stream:
        """A stream to an address."""
        address = Address(address)
        return await trio.open_tcp_stream(
            address.host, address.port, local_address=self.host, happy_eyeballs_delay=1.0
        )

    async def serve_http(
        self,
        app: App,
        address: str,
        stopping: trio.Event,
        grace_us: int,
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve an ASGI app at an address until `stopping`, and for grace_us beyond."""
        await serve_http(app, Address(address), stopping, grace_us, task_status=task_status)

    def http(self, address: str, limit: int = ANSWER_MAX) -> HttpConnection:
        """A connection for requests to an address; no response may be longer than the limit."""
        return HttpConnection(Address(address), self.host, limit)


__all__ = ["Address", "HttpConnectionFailed", "HttpConnection", "Net"]
