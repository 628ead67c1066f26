"""The base class of the daemons, with the hooks that a node calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from meadowdock.admin_http import RouteTable
    from meadowdock.process.node import Node
    from meadowdock.rpc import Handlers
    from meadowdock.settings import ProcessSettings

BackgroundTask = Callable[[], Awaitable[None]]


class Daemon:
    """The part of a process that is specific to its role.

    The node calls the methods in the order of their definition.

    :ivar node: the node that runs this daemon.
    :ivar routes: the HTTP routes of the process's own listener.
    """

    node: Node
    routes: RouteTable

    def listeners(self) -> dict[str, RouteTable]:
        """Return additional HTTP listeners by address.

        The node serves and shuts them down together with the process's own listener.
        """
        return {}

    async def prepare(self) -> None:
        """Load stored state, before any listener is open."""

    def rpc_handlers(self) -> Handlers:
        """Return the handlers of the rpc methods that this process serves."""
        raise NotImplementedError

    def background_tasks(self) -> dict[str, BackgroundTask]:
        """Return the tasks that run until the process ends, by their names in the log."""
        raise NotImplementedError

    def unready_reasons(self) -> list[str]:
        """Return why this process is not ready, as reported at /ready; empty if it is ready."""
        raise NotImplementedError

    def settings_changed(self, settings: ProcessSettings) -> None:
        """Use the settings that have changed while the process runs."""

    async def announce_shutdown(self) -> None:
        """Notify peers that this process is about to stop, and hand over its vote or lease."""

    async def drain(self) -> None:
        """Wait until no work is in flight."""

    def report_unanswered(self) -> None:
        """Log the requests that `abort_requests` is about to end."""

    def abort_requests(self) -> None:
        """End the requests that are still in flight, each with an answer.

        Called after the drain, when its time is over or an interrupt requested an immediate stop.
        """

    async def flush(self) -> None:
        """Wait until the answers of `abort_requests` are sent."""
