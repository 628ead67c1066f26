"""The links to and from the gateways of peers, with one outgoing link to each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.peer_link import IncomingLink, OutgoingLink
from meadowdock.logs import events as log_events
from meadowdock.rpc.frame import derive_key
from meadowdock.runtime import MILLISECOND, PauseDetector, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dispatcher import Dispatcher
    from meadowdock.forwarding.interfaces import Connection, Logger, Network, RandomSource
    from meadowdock.runtime.client_memory import ClientMemory
    from meadowdock.runtime.peer_connections import PeerLimits
    from meadowdock.settings import ProcessSettings

RECONNECT_BACKOFF_US = 500 * MILLISECOND  # after a link has ended or could not be opened
UNSENT_MAX_BYTES = 4 << 20  # a link with more unsent bytes gets no further calls
PROCESS_PAUSE_MIN_US = 300 * MILLISECOND  # a longer time between two checks is a process pause


class Peers:
    """The links of one gateway.

    A node has two addresses: the one on the load list, and that of its links between gateways,
    which has the same host and another port.

    Invariants: there is at most one outgoing link per address; an address is in backoff_until from
    the end of a link to it until another one is ready, and no call is sent there meanwhile, so
    that no call has to wait for a reconnection.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        network: Network,
        settings: ProcessSettings,
        rng: RandomSource,
        log: Logger,
        memory: ClientMemory,
        limits: PeerLimits,
    ) -> None:
        self.memory, self.limits = memory, limits
        self.dispatcher, self.calls = dispatcher, dispatcher.peer_calls
        self.network, self.reactor = network, dispatcher.reactor
        self.key, self.name = derive_key(settings.fleet_key, b"gate"), settings.node_name
        self.rng, self.log = rng, log
        self.link_port = settings.gate_port
        self.node_port = settings.rpc_address.rpartition(":")[2]
        self.outgoing: dict[str, OutgoingLink] = {}
        self.incoming: set[IncomingLink] = set()
        self.backoff_until: dict[str, int] = {}
        self.pause_detector = PauseDetector(PROCESS_PAUSE_MIN_US, monotonic_us())

    def link_address(self, node_address: str) -> str:
        """Return the address of a node's links between gateways."""
        return f"{node_address.rpartition(':')[0]}:{self.link_port}"

    def node_address(self, link_address: str) -> str:
        """Return the address of a node on the load list."""
        return f"{link_address.rpartition(':')[0]}:{self.node_port}"

    def is_listed(self, link_address: str) -> bool:
        """Return whether the node with this link address is on the latest load list."""
        return self.node_address(link_address) in self.dispatcher.loads.addresses()

    def accept(self, connection: Connection) -> None:
        """Accept the connection of a peer, or close it if there is no room for it."""
        link = IncomingLink(self, connection)
        if link.entry is None:
            connection.close()
        else:
            self.incoming.add(link)

    def link(self, address: str) -> OutgoingLink | None:
        """Return the link to an address, opening it if needed; None if it can't take a call now."""
        link = self.outgoing.get(address)
        if address in self.backoff_until:
            return None
        if link is None:
            link = self.outgoing[address] = OutgoingLink(self, address)
        if link.connection is not None and link.connection.unsent_size > UNSENT_MAX_BYTES:
            return None
        return link

    def on_link_ready(self, link: OutgoingLink) -> None:
        """End the backoff for an address after a link to it has completed its handshake."""
        self.backoff_until.pop(link.address, None)

    def on_link_ended(self, link: OutgoingLink, cause: object) -> None:
        """Start the backoff for an address after a link to it has ended or failed to open."""
        if self.outgoing.get(link.address) is link:
            del self.outgoing[link.address]
        self.backoff_until[link.address] = monotonic_us() + RECONNECT_BACKOFF_US
        self.log(log_events.CONNECTION_LOST, peer=link.address, cause=str(cause))

    def check_links(self, now: int) -> None:
        """Close silent links and reopen ended ones; called periodically."""
        # what peers sent during a pause of this process may still be unread
        paused_us = self.pause_detector.measure_pause(now)
        for link in list(self.outgoing.values()):
            link.received_at += paused_us
            link.check_silence(now)
            link.update_memory()
        for incoming in list(self.incoming):
            incoming.accepted_at += paused_us
            incoming.check_handshake(now)
            incoming.check_arriving(now)
            incoming.update_memory()
        for address, backoff_end in list(self.backoff_until.items()):
            if now > backoff_end and address not in self.outgoing:
                if self.is_listed(address):
                    self.outgoing[address] = OutgoingLink(self, address)
                else:
                    del self.backoff_until[address]
