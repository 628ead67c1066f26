"""The links to and from the gateways of peers: one outgoing link to each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.peer_link import IncomingLink, OutgoingLink
from meadowdock.rpc.frame import derive_key
from meadowdock.runtime import MILLISECOND, PauseDetector, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dispatcher import Dispatcher
    from meadowdock.forwarding.interfaces import Connection, Logger, Network, RandomSource
    from meadowdock.settings import ProcessSettings

RECONNECT_PAUSE_US = 500 * MILLISECOND  # an address that took no link is left alone so long
UNSENT_MAX = 4 << 20  # bytes; a link that the peer doesn't read gets no further call
PAUSE_US = 300 * MILLISECOND  # between two looks: this process itself was paused


class Peers:
    """Invariants: one outgoing link an address at most; an address is in quiet_until from the end of
    a link to it until another one is ready, and no call goes there meanwhile: links are tried by
    themselves, not by calls that wait for them.

    A node has two addresses: its own, as on the load list, and that of its links between gateways,
    which has the same host and another port.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        network: Network,
        settings: ProcessSettings,
        rng: RandomSource,
        log: Logger,
    ) -> None:
        self.dispatcher, self.calls = dispatcher, dispatcher.peer_calls
        self.network, self.reactor = network, dispatcher.reactor
        self.key, self.name = derive_key(settings.fleet_key, b"gate"), settings.name
        self.rng, self.log = rng, log
        self.link_port = settings.gate_port
        self.node_port = settings.link.rpartition(":")[2]
        self.outgoing: dict[str, OutgoingLink] = {}
        self.incoming: set[IncomingLink] = set()
        self.quiet_until: dict[str, int] = {}
        self.pauses = PauseDetector(PAUSE_US, monotonic_us())

    def link_address(self, node_address: str) -> str:
        """The address of a node's links between gateways."""
        return f"{node_address.rpartition(':')[0]}:{self.link_port}"

    def node_address(self, link_address: str) -> str:
        """The address of a node on the load list."""
        return f"{link_address.rpartition(':')[0]}:{self.node_port}"

    def is_listed(self, link_address: str) -> bool:
        """Whether a node of the latest load list is there."""
        return self.node_address(link_address) in self.dispatcher.loads.addresses()

    def accept(self, connection: Connection) -> None:
        """A peer has connected."""
        self.incoming.add(IncomingLink(self, connection))

    def link(self, address: str) -> OutgoingLink | None:
        """The link to an address, or None if it can't take a call now."""
        link = self.outgoing.get(address)
        if address in self.quiet_until:
            return None
        if link is None:
            link = self.outgoing[address] = OutgoingLink(self, address)
        if link.connection is not None and link.connection.unsent_size > UNSENT_MAX:
            return None
        return link

    def link_ready(self, link: OutgoingLink) -> None:
        """Both sides of a link proved the fleet key."""
        self.quiet_until.pop(link.address, None)

    def link_ended(self, link: OutgoingLink, cause: object) -> None:
        """A link broke, or could not be opened."""
        if self.outgoing.get(link.address) is link:
            del self.outgoing[link.address]
        self.quiet_until[link.address] = monotonic_us() + RECONNECT_PAUSE_US
        self.log(202, peer=link.address, cause=str(cause))

    def check_links(self, at: int) -> None:
        """Called every now and then: give up links that are silent, open those that ended."""
        paused_us = self.pauses.look(at)  # what peers sent meanwhile is unread
        for link in list(self.outgoing.values()):
            link.received_at += paused_us
            link.check_silence(at)
        for address, deadline_scope in list(self.quiet_until.items()):
            if at > deadline_scope and address not in self.outgoing:
                if self.is_listed(address):
                    self.outgoing[address] = OutgoingLink(self, address)
                else:
                    del self.quiet_until[address]
