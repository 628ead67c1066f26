"""Chooses the local endpoint or a peer for each request, without I/O.

Both front ends use this module: the gateway for calls by host and prefix, and `meadowdock.proxy`.
The rules are those of `meadowdock.load_sharing`, after Koegel, Wahl, Scharf and Necker (2009). This
module keeps the state to which the rules are applied: the latest load list, and the peers that had
no capacity since that list arrived.
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

FULL_ANY_CAPACITY = "full-any-room"  # the name of the rule in the counters and in docs/design.md


class Thresholds(NamedTuple):
    """The active thresholds of the load sharing policy."""

    phi: float  # a node with a lower load accepts relocated requests
    omega: float  # a node with this load or a higher one relocates new requests
    stale_us: int  # a load list older than this is not used


class PeerLoads:
    """The load of the peers, as this node knows it.

    Invariants: nodes is from the same list as latest; without_capacity holds the peers that have
    rejected a request of a service, or could not be reached, since that list arrived.
    """

    __slots__ = ("latest", "nodes", "without_capacity")

    def __init__(self) -> None:
        self.latest = LoadList()
        self.nodes: Mapping[str, Sequence[NodeLoad]] = {}  # by service
        self.without_capacity: set[tuple[str, str]] = set()  # (service, address)

    def update(self, latest: LoadList, nodes: Mapping[str, Sequence[NodeLoad]]) -> None:
        """Use a new load list; every peer on it may have capacity again."""
        self.latest, self.nodes = latest, nodes
        self.without_capacity = set()

    def exclude(self, service: str, address: str) -> None:
        """Exclude a peer for requests of a service until the next list arrives."""
        self.without_capacity.add((service, address))

    def for_service(self, service: str) -> LoadList:
        """Return the entries of one service on the latest list."""
        latest = self.latest
        return LoadList(
            latest.epoch, latest.seq, latest.received_at, tuple(self.nodes.get(service, ()))
        )

    def excluded(self, service: str, tried: AbstractSet[str]) -> AbstractSet[str]:
        """Return the peers to which a request must not be sent.

        :param tried: the peers that the request has already tried
        """
        if not self.without_capacity:
            return tried
        full = {
            address
            for excluded_service, address in self.without_capacity
            if excluded_service == service
        }
        return tried | full if full else tried

    def addresses(self) -> set[str]:
        """Return the addresses of all nodes on the list."""
        return {node.address for nodes in self.nodes.values() for node in nodes}


def local_state(
    endpoint: Endpoint | None, occupation: ServiceOccupation | None
) -> LocalEndpointState:
    """Return the state of a service's local endpoint as the policy needs it.

    :param endpoint: the endpoint that gets the next request, or None
    :param occupation: the service's load here, or None if it was never measured
    """
    return LocalEndpointState(
        rho=occupation.rho if occupation else 0.0,
        has_capacity=endpoint is not None and endpoint.has_capacity,
        available=endpoint is not None,
    )


class Placement:
    """Chooses a node for each request according to the paper.

    :param own_address: the address of this node on the load list
    :param initial_address: returns the address after which the first peer of a service is chosen,
        so that nodes that start at the same time don't all choose the same peer first
    """

    def __init__(self, own_address: str, initial_address: Callable[[], str] = str) -> None:
        self.own_address = own_address
        self.initial_address = initial_address
        self.loads = PeerLoads()
        self.round_robins: dict[Hashable, RoundRobin] = {}  # by service, or by service and purpose

    def round_robin(self, key: Hashable) -> RoundRobin:
        """Return the round-robin state for a key, which is a service or (service, purpose)."""
        round_robin = self.round_robins.get(key)
        if round_robin is None:
            round_robin = self.round_robins[key] = RoundRobin(self.initial_address())
        return round_robin

    def choose(
        self,
        service: str,
        local: LocalEndpointState,
        thresholds: Thresholds,
        tried: AbstractSet[str],
        now: int,
    ) -> Choice:
        """Choose where a request goes now.

        :param local: the state of the local endpoint
        :param tried: addresses of the peers to which the request must not be sent again
        :param now: the time in microseconds
        """
        excluded = self.loads.excluded(service, tried)
        return self.apply_policy(
            self.loads.for_service(service), service, local, thresholds, excluded, now
        )

    def apply_policy(
        self,
        load_list: LoadList,
        service: str,
        local: LocalEndpointState,
        thresholds: Thresholds,
        excluded: AbstractSet[str],
        now: int,
    ) -> Choice:
        """Apply the load sharing policy to the nodes of a list."""
        return choose(
            local,
            load_list,
            self.round_robin(service),
            now,
            self.own_address,
            thresholds.phi,
            thresholds.omega,
            thresholds.stale_us,
            excluded,
        )


class ZonePlacement(Placement):
    """Extends Placement by zones and by a last resort for full endpoints.

    A request without a local endpoint stays in this zone if possible. A request whose local endpoint
    is full goes to any peer that may have a free slot.
    """

    def __init__(self, own_address: str, zone: str, initial_address: Callable[[], str]) -> None:
        super().__init__(own_address, initial_address)
        self.zone = zone

    def choose(
        self,
        service: str,
        local: LocalEndpointState,
        thresholds: Thresholds,
        tried: AbstractSet[str],
        now: int,
    ) -> Choice:
        """Choose where a request goes now; see Placement.choose and this class."""
        load_list = self.loads.for_service(service)
        excluded = self.loads.excluded(service, tried)
        if not local.available:
            accepting = self.peers_below(thresholds.phi, load_list, excluded)
            if accepting:
                load_list = replace(load_list, nodes=tuple(self.same_zone_or_all(accepting)))
        choice = self.apply_policy(load_list, service, local, thresholds, excluded, now)
        if choice.placement is REJECT and local.available:
            return self.any_with_capacity(load_list, service, thresholds, excluded) or choice
        return choice

    def any_with_capacity(
        self,
        load_list: LoadList,
        service: str,
        thresholds: Thresholds,
        excluded: AbstractSet[str],
    ) -> Choice | None:
        """Choose a peer that may have a free slot, where the paper would block the request.

        This is when the local endpoint is full and no peer accepts. Peers below omega are
        preferred to other peers below full load.
        """
        for max_rho in (thresholds.omega, 1.0):
            node = self.round_robin(service).pick(self.peers_below(max_rho, load_list, excluded))
            if node is not None:
                return Choice(FORWARD, node, FULL_ANY_CAPACITY)
        return None

    def peers_below(
        self, max_rho: float, load_list: LoadList, excluded: AbstractSet[str]
    ) -> list[NodeLoad]:
        """Return the peers on a list with a load below max_rho, sorted by address."""
        peers = load_list.accepting(self.own_address, max_rho)
        return [node for node in peers if node.address not in excluded]

    def same_zone_or_all(self, nodes: Iterable[NodeLoad]) -> list[NodeLoad]:
        """Return the nodes in this zone, or all nodes if none is in this zone."""
        nodes = list(nodes)
        return [node for node in nodes if node.zone == self.zone] or nodes

    def peer_to_queue_at(self, service: str, already_tried: AbstractSet[str]) -> NodeLoad | None:
        """Return the next peer that is asked to queue a request, or None.

        :param already_tried: addresses of the peers that were already asked
        """
        candidates = [
            node
            for node in self.loads.nodes.get(service, ())
            if node.address != self.own_address
            and not node.draining
            and node.address not in already_tried
        ]
        return self.round_robin((service, "waits")).pick(self.same_zone_or_all(candidates))
