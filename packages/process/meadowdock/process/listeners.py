"""The HTTP listeners of one process, which are opened and closed together."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import trio

from meadowdock.admin_http import App
from meadowdock.process.listening import AddressQueue
from meadowdock.runtime import Net


class HttpListeners:
    """The HTTP apps of a process, by the address at which each is served.

    Invariants: `closing` is set before `closed`; once `closed` is set, no connection is open.
    """

    def __init__(self, apps: dict[str, App]) -> None:
        self.apps = apps
        self.closing, self.closed = trio.Event(), trio.Event()

    async def serve(
        self, net: Net, grace_us: int, addresses: AddressQueue, task_status: trio.TaskStatus[None]
    ) -> None:
        """Serve all apps until `closing` is set, and then the requests in flight for grace_us.

        An address that is not available is tried again while the others are served.
        """
        async with trio.open_nursery() as nursery:
            for address, app in self.apps.items():
                listen = partial(
                    nursery.start, net.serve_http, app, address, self.closing, grace_us
                )
                if not await addresses.try_to_listen(address, listen):
                    nursery.start_soon(self.serve_later, address, listen, addresses)
            task_status.started()
        self.closed.set()

    async def serve_later(
        self, address: str, listen: Callable[[], Awaitable[object]], addresses: AddressQueue
    ) -> None:
        """Serve an app once its address is available, unless `closing` is set before."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cancel_when_closing, nursery.cancel_scope)
            await addresses.listen(address, listen)
            nursery.cancel_scope.cancel()

    async def cancel_when_closing(self, scope: trio.CancelScope) -> None:
        """Wait until `closing` is set, and cancel the scope."""
        await self.closing.wait()
        scope.cancel()

    def end_connections(self) -> None:
        """Ask the client to close its connection in each response from now on."""
        for app in self.apps.values():
            app.closing = True

    def requests_in_flight(self) -> int:
        """Return the number of requests without a response yet."""
        return sum(app.requests_in_flight for app in self.apps.values())

    def last_request_us(self) -> int:
        """Return the monotonic time in microseconds of the last request that was no health check."""
        return max(app.last_request_us for app in self.apps.values())
