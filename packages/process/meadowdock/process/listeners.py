"""The HTTP listeners of one process: served together, and closed together."""

from __future__ import annotations

import trio

from meadowdock.admin_http import App
from meadowdock.runtime import Net


class HttpListeners:
    """The apps of a process by the address at which each is served.

    Invariants: `closing` is set before `closed`; `closed` means that no connection is open.
    """

    def __init__(self, apps: dict[str, App]) -> None:
        self.apps = apps
        self.closing, self.closed = trio.Event(), trio.Event()

    async def serve(self, net: Net, grace_us: int, task_status: trio.TaskStatus[None]) -> None:
        """Serve all apps until `closing`, and requests in flight for grace_us (microseconds) more."""
        async with trio.open_nursery() as nursery:
            for address, app in self.apps.items():
                await nursery.start(net.serve_http, app, address, self.closing, grace_us)
            task_status.started()
        self.closed.set()

    def end_connections(self) -> None:
        """From now on each response asks the client to close its connection."""
        for app in self.apps.values():
            app.closing = True

    def requests_in_flight(self) -> int:
        """How many requests were received and not yet answered."""
        return sum(app.requests_in_flight for app in self.apps.values())

    def last_request_at(self) -> int:
        """When the last request came that was no health check: microseconds, monotonic clock."""
        return max(app.last_request_at for app in self.apps.values())

    async def wait_idle(self) -> None:
        """Return once no request is in flight."""
        for app in self.apps.values():
            await app.wait_idle()
