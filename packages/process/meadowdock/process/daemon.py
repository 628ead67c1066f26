"""The base class of the daemons: what a program adds to the node that runs it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from meadowdock.admin_http import RouteTable
    from meadowdock.process.node import Node
    from meadowdock.rpc import Handlers

BackgroundTask = Callable[[], Awaitable[None]]


class Daemon:
    """One program's role in a node. The node calls these methods, in the order in which they stand.

    node: the node that runs this daemon. table: the HTTP routes of the process's own listener.
    """

    node: Node
    table: RouteTable

    def listeners(self) -> dict[str, RouteTable]:
        """Further HTTP listeners by address, served and shut down as the process's own is."""
        return {}

    async def prepare(self) -> None:
        """Load state, before any listener is open."""

    def rpc_handlers(self) -> Handlers:
        """The rpc methods that this process answers."""
        raise NotImplementedError

    def background_tasks(self) -> dict[str, BackgroundTask]:
        """The loops that run until the process ends, by their names in the log."""
        raise NotImplementedError

    def unready_reasons(self) -> list[str]:
        """Why this process is not ready; empty if it is. Shown at /ready."""
        raise NotImplementedError

    async def announce_shutdown(self) -> None:
        """Tell peers that this process is about to stop, and hand over what it leads."""

    async def drain(self) -> None:
        """Return once no work is in flight."""

    def abort_requests(self) -> None:
        """End what is in flight: a second signal asked for an immediate stop."""
