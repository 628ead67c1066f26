"""Bounds on the connections that a process accepts at its internal ports.

What has not proved yet that it is a peer has a small share of the descriptors of its own, so that it
never takes the place of a peer. Incomplete frames are entered into the account of the process.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowdock.runtime.client_connections import ClientConnections
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.clock import monotonic_us

HANDSHAKE_DESCRIPTOR_SHARE = 1 / 16  # of the process's descriptors, for handshakes in progress
PEER_DESCRIPTOR_SHARE = 3 / 16  # of the process's descriptors, for authenticated connections
CALLER_DESCRIPTOR_SHARE = 1 / 2  # for connections of callers, or for peers where none are served


class PeerConnection:
    """An accepted connection, as the bounds and the account see it.

    :ivar is_busy: returns whether a call of the peer runs.
    :ivar keeps_bytes: what a peer's connection may hold without being given up.
    """

    def __init__(
        self,
        limits: PeerLimits,
        close: Callable[[], object],
        is_busy: Callable[[], bool],
        keeps_bytes: int = 0,
    ) -> None:
        self.limits, self.close, self.is_busy = limits, close, is_busy
        self.keeps_bytes = keeps_bytes
        self.memory = limits.memory.open(self)
        self.received_at = monotonic_us()
        self.is_authenticated = self.ended = False

    def received(self, size: int, incomplete_bytes: int) -> None:
        """Note received bytes, and how many are held of a frame that is incomplete.

        This connection, or others, may be closed.
        """
        self.received_at = monotonic_us()
        self.memory.received(size, is_complete=not incomplete_bytes)
        self.memory.resize(incomplete_bytes)
        self.limits.memory.relieve()

    def authenticated(self) -> bool:
        """Note that the other side is a peer, and return whether there is room for it."""
        self.limits.handshakes.discard(self)
        self.is_authenticated = self.memory.is_peer = True
        return self.limits.peers.admit(self)

    def end(self) -> None:
        """Remove the connection, which is closed, from the bounds and the account."""
        self.ended = True
        self.memory.close()
        self.limits.handshakes.discard(self)
        self.limits.peers.discard(self)

    def may_be_given_up(self) -> bool:
        """Return whether a frame is incomplete that is large, or of nobody who has proved to be a peer."""
        return self.memory.size > (self.keeps_bytes if self.is_authenticated else 0)

    def give_up(self) -> None:
        """Close the connection; what the frame asks for is never run."""
        self.close_now()

    def is_closed(self) -> bool:
        """Return whether the descriptor is free again."""
        return self.ended

    def may_be_closed(self) -> bool:
        """Return whether no call of the peer runs."""
        return not self.is_authenticated or not self.is_busy()

    def last_progress_at(self) -> int:
        """Return when it was opened, or something was received last."""
        return self.received_at

    def close_now(self) -> None:
        """Close the connection at once."""
        self.end()
        self.close()


class PeerLimits:
    """What the internal ports of one process share.

    :ivar handshakes: connections that have not proved that they are peers.
    :ivar peers: connections of peers; beyond the bound, those that rest longest are closed, which
        peers open again when they need them.
    """

    def __init__(
        self, descriptors: int | None, memory: ClientMemory, has_callers: bool = True
    ) -> None:
        """Create the bounds.

        :param descriptors: the limit of the process, or None for no bounds.
        :param has_callers: callers have their share of the descriptors.
        """
        self.memory = memory
        peer_share = PEER_DESCRIPTOR_SHARE + (0 if has_callers else CALLER_DESCRIPTOR_SHARE)
        self.handshakes = ClientConnections.with_share(
            HANDSHAKE_DESCRIPTOR_SHARE, descriptors, memory
        )
        self.peers = ClientConnections.with_share(peer_share, descriptors, memory)

    def accept(
        self, close: Callable[[], object], is_busy: Callable[[], bool], keeps_bytes: int = 0
    ) -> PeerConnection | None:
        """Return the entry of an accepted connection, or None if there is no room for it.

        :param close: closes the connection.
        :param is_busy: returns whether a call of the peer runs.
        :param keeps_bytes: what a peer's connection may hold without being given up.
        """
        connection = PeerConnection(self, close, is_busy, keeps_bytes)
        if self.handshakes.admit(connection):
            return connection
        connection.end()
        return None
