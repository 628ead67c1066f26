"""Where a request goes: to the local endpoint, to a peer, or to neither. No I/O.

Both front ends decide here: the one for calls by host and prefix, and that of `meadowdock.proxy`.
The rules are those of `meadowdock.load_sharing`, after Koegel, Wahl, Scharf, Necker (2009). What
this module adds is the state that the rules look at: the latest load list, and the peers that had no
capacity since it came.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from meadowdock.load_sharing import (
    FORWARD,
    REJECT,
    Choice,
    LoadList,
    LocalEndpointState,
    NodeLoad,
    RoundRobin,
    choose,
)

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import Endpoint, ServiceOccupation

FULL_ANY_CAPACITY = "full-any-room"  # the rule's name in the counters and in docs/design.md


class Thresholds(NamedTuple):
    """The bounds of the load sharing policy that are in force."""

    phi: float  # a node whose load is below accepts relocated requests
    omega: float  # a node whose load is not below relocates its new requests
    stale_us: int  # an older load list is not relied on


class PeerLoads:
    """What this node knows of the load of its peers.

    Invariants: nodes is of the same list as latest; without_capacity names the peers that turned a
    request of a service away, or could not be reached, since that list came.
    """

    __slots__ = ("latest", "nodes", "without_capacity")

    def __init__(self) -> None:
        self.latest = LoadList()
        self.nodes: Mapping[str, Sequence[NodeLoad]] = {}  # by service
        self.without_capacity: set[tuple[str, str]] = set()  # (service, address)

    def update(self, latest: LoadList, nodes: Mapping[str, Sequence[NodeLoad]]) -> None:
        """A new load list came: every peer on it may have capacity again."""
        self.latest, self.nodes = latest, nodes
        self.without_capacity = set()

    def exclude(self, service: str, address: str) -> None:
        """Choose the peer for no request of the service until the next list."""
        self.without_capacity.add((service, address))

    def of(self, service: str) -> LoadList:
        """The latest list, of one service."""
        latest = self.latest
        return LoadList(
            latest.epoch, latest.seq, latest.received_at, tuple(self.nodes.get(service, ()))
        )

    def avoided(self, service: str, tried: AbstractSet[str]) -> AbstractSet[str]:
        """The peers to which a request is not sent that was at the ones in `tried` before."""
        if not self.without_capacity:
            return tried
        full = {address for of, address in self.without_capacity if of == service}
        return tried | full if full else tried

    def addresses(self) -> set[str]:
        """The nodes on the list, of whatever service."""
        return {node.address for nodes in self.nodes.values() for node in nodes}


def local_state(
    endpoint: Endpoint | None, occupation: ServiceOccupation | None
) -> LocalEndpointState:
    """What the policy has to know of a service's endpoint on this machine.

    :param endpoint: the one that takes the next request; None if there is none
    :param occupation: the service's load here, if it was ever known
    """
    return LocalEndpointState(
        rho=occupation.rho if occupation else 0.0,
        has_capacity=endpoint is not None and endpoint.has_capacity,
        available=endpoint is not None,
    )


class Placement:
    """Chooses a node for each request, as the paper does it.

    :param own_address: this node's on the load list
    :param first_address: gives the address after which the first peer of a service is chosen, so
        that nodes which started together don't all begin with the same peer
    """

    def __init__(self, own_address: str, first_address: Callable[[], str] = str) -> None:
        self.own_address = own_address
        self.first_address = first_address
        self.loads = PeerLoads()
        self.rotations: dict[
            Hashable, RoundRobin
        ] = {}  # the order of peers, by service and purpose

    def rotation(self, key: Hashable) -> RoundRobin:
        """The round-robin state of a service, or of one purpose of it."""
        rotation = self.rotations.get(key)
        if rotation is None:
            rotation = self.rotations[key] = RoundRobin(self.first_address())
        return rotation

    def choose(
        self,
        service: str,
        local: LocalEndpointState,
        thresholds: Thresholds,
        tried: AbstractSet[str],
        at: int,
    ) -> Choice:
        """Where a request goes now.

        :param local: the state of the endpoint here
        :param tried: addresses of the peers that it must not be sent to any more
        :param at: the time, in microseconds
        """
        avoided = self.loads.avoided(service, tried)
        return self.choose_from(self.loads.of(service), service, local, thresholds, avoided, at)

    def choose_from(
        self,
        load_list: LoadList,
        service: str,
        local: LocalEndpointState,
        thresholds: Thresholds,
        avoided: AbstractSet[str],
        at: int,
    ) -> Choice:
        """The policy's choice among the nodes of a list."""
        return choose(
            local,
            load_list,
            self.rotation(service),
            at,
            self.own_address,
            thresholds.phi,
            thresholds.omega,
            thresholds.stale_us,
            avoided,
        )


class ZonePlacement(Placement):
    """As Placement, with two exceptions: a request without a local endpoint stays in the zone where
    it can, and one whose local endpoint is full goes to any peer that may have a slot free."""

    def __init__(self, own_address: str, zone: str, first_address: Callable[[], str]) -> None:
        super().__init__(own_address, first_address)
        self.zone = zone

    def choose(
        self,
        service: str,
        local: LocalEndpointState,
        thresholds: Thresholds,
        tried: AbstractSet[str],
        at: int,
    ) -> Choice:
        """As Placement.choose, with the exceptions of this class."""
        load_list = self.loads.of(service)
        avoided = self.loads.avoided(service, tried)
        if not local.available:
            accepting = self.below(thresholds.phi, load_list, avoided)
            if accepting:
                load_list = replace(load_list, nodes=tuple(self.nearby(accepting)))
        choice = self.choose_from(load_list, service, local, thresholds, avoided, at)
        if choice.placement is REJECT and local.available:
            return self.any_with_capacity(load_list, service, thresholds, avoided) or choice
        return choice

    def any_with_capacity(
        self,
        load_list: LoadList,
        service: str,
        thresholds: Thresholds,
        avoided: AbstractSet[str],
    ) -> Choice | None:
        """A peer that may have a slot free, where the paper would block the request: the endpoint
        here is full, and nobody accepts. First those below omega, then any below 1."""
        for ceiling in (thresholds.omega, 1.0):
            node = self.rotation(service).pick(self.below(ceiling, load_list, avoided))
            if node is not None:
                return Choice(FORWARD, node, FULL_ANY_CAPACITY)
        return None

    def below(
        self, ceiling: float, load_list: LoadList, avoided: AbstractSet[str]
    ) -> list[NodeLoad]:
        """The peers of a list whose load is below a ceiling, in order of address."""
        peers = load_list.accepting(self.own_address, ceiling)
        return [node for node in peers if node.address not in avoided]

    def nearby(self, nodes: Iterable[NodeLoad]) -> list[NodeLoad]:
        """Those in this zone, or all if there are none."""
        nodes = list(nodes)
        return [node for node in nodes if node.zone == self.zone] or nodes

    def peer_to_queue_at(self, service: str, asked: AbstractSet[str]) -> NodeLoad | None:
        """The next peer that is asked to let a request wait in its queue.

        :param asked: addresses of those that were asked before
        """
        candidates = [
            node
            for node in self.loads.nodes.get(service, ())
            if node.address != self.own_address and not node.draining and node.address not in asked
        ]
        return self.rotation((service, "waits")).pick(self.nearby(candidates))
