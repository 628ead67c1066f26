"""A bound on the connections of clients, below the limit of descriptors of the process.

The rest stays for peers, the endpoint beside, the platform and operators. A further connection takes
the place of those that have made no progress for the longest time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from meadowdock.runtime.client_memory import ClientMemory

CLOSED_AT_ONCE = 1 / 16  # of the bound, so that a crowd isn't searched for each connection


class ConnectedClient(Protocol):
    """A connection of a client, as the bound sees it."""

    def is_closed(self) -> bool:
        """Return whether its descriptor is free again."""

    def may_be_closed(self) -> bool:
        """Return whether no request of it runs."""

    def last_progress_at(self) -> int:
        """Return when it was opened, answered, or a request of it last made progress."""

    def close_now(self) -> None:
        """Close it at once."""


class ClientConnections:
    """The connections of clients at one or more listeners of a process.

    Invariant: clients holds at most `maximum` connections; None is no bound.
    """

    def __init__(self, maximum: int | None, memory: ClientMemory) -> None:
        self.maximum, self.memory = maximum, memory
        self.clients: set[ConnectedClient] = set()

    @classmethod
    def with_share(
        cls, share: float, descriptors: int | None, memory: ClientMemory
    ) -> ClientConnections:
        """Return a bound that is a share of the descriptors of the process."""
        return cls(None if descriptors is None else max(1, int(descriptors * share)), memory)

    def admit(self, client: ConnectedClient) -> bool:
        """Add a connection, and return whether there was room for it."""
        if self.is_full():
            self.make_room()
        if self.is_full():
            self.memory.report("descriptors")
            return False
        self.clients.add(client)
        return True

    def discard(self, client: ConnectedClient) -> None:
        """Remove a connection that is closed."""
        self.clients.discard(client)

    def is_full(self) -> bool:
        """Return whether there is no room for another connection."""
        return self.maximum is not None and len(self.clients) >= self.maximum

    def make_room(self) -> None:
        """Forget closed connections, and close some of those that make no progress."""
        self.clients = {client for client in self.clients if not client.is_closed()}
        if not self.is_full():
            return
        closable = sorted(
            (client for client in self.clients if client.may_be_closed()),
            key=lambda client: client.last_progress_at(),
        )
        for client in closable[: 1 + int(len(self.clients) * CLOSED_AT_ONCE)]:
            self.clients.discard(client)
            client.close_now()
            self.memory.report("descriptors")


@dataclass(frozen=True)
class ClientLimits:
    """What the HTTP listeners of a process share."""

    memory: ClientMemory
    connections: ClientConnections
