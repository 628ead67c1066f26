"""Decides whether a new request goes to the local endpoint, to a peer, or is rejected.

The decision depends only on the load of the local endpoint and on the latest load list; this module
does no I/O. The policy follows Koegel, Wahl, Scharf and Necker (2009), section IV-C. docs/design.md
lists where it follows the paper and where it differs. Requests that have already been placed are
never moved.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final, Literal, NamedTuple

LoadState = Literal["accepting", "passive", "offloading"]
ACCEPTING: Final = "accepting"
PASSIVE: Final = "passive"
OFFLOADING: Final = "offloading"

Placement = Literal["local", "forward", "reject"]
LOCAL: Final = "local"
FORWARD: Final = "forward"
REJECT: Final = "reject"

FULL_LOAD = 1.0


def load_state(rho: float, phi: float, omega: float) -> LoadState:
    """Return the state of a node: accepting below phi, offloading from omega on, else passive."""
    if rho < phi:
        return ACCEPTING
    return PASSIVE if rho < omega else OFFLOADING


class NodeLoad(NamedTuple):
    """The entry of one node in the load list of a service.

    It is a tuple because entries are sorted (by address first) for every request.
    Invariant: rho is in 0..1.
    """

    address: str
    rho: float
    incarnation: str
    draining: bool
    zone: str = ""
    slot_us: int = 0  # mean time that a request holds a slot there; 0 if unknown


@dataclass(frozen=True)
class LoadList:
    """The latest load list of a service that a proxy has received, over all nodes.

    Invariant: lists are ordered by (epoch, seq); a process never replaces its list by a lower one.
    Epoch 0 means that no list has arrived yet.
    """

    epoch: int = 0
    seq: int = 0
    received_at: int = 0  # on this machine's monotonic clock, in microseconds
    nodes: tuple[NodeLoad, ...] = ()

    def stale(self, now: int, stale_after_us: int) -> bool:
        """Return whether no list arrived within the last `stale_after_us` microseconds."""
        return self.epoch == 0 or now - self.received_at > stale_after_us

    def accepting(self, own_address: str, max_rho: float) -> list[NodeLoad]:
        """Return the other nodes with a load below `max_rho` that are not draining.

        They are sorted by address so that round-robin does not depend on the order of the list.
        """
        return sorted(
            node
            for node in self.nodes
            if node.address != own_address and not node.draining and node.rho < max_rho
        )


@dataclass(frozen=True)
class LocalEndpointState:
    """The state of a service's endpoint on the node that decides.

    Invariant: has_capacity is current and exact; rho is the mean of the last interval.
    """

    rho: float
    has_capacity: bool
    available: bool = True  # an endpoint of the service is registered here and is not draining


class Choice(NamedTuple):
    """The placement of a request and the rule that decided it."""

    placement: Placement
    target: NodeLoad | None
    rule: str  # the name under which the decision is counted, and by which tests check it


class RoundRobin:
    """Round-robin over a changing list: picks the next address after the last one picked.

    >>> round_robin = RoundRobin()
    >>> nodes = [NodeLoad(a, 0.1, "i", False) for a in ("a", "b", "c")]
    >>> [round_robin.pick(nodes).address for _ in range(4)]
    ['a', 'b', 'c', 'a']
    >>> round_robin.pick(nodes[2:]).address
    'c'
    >>> round_robin.pick([]) is None
    True
    """

    def __init__(self, last: str = "") -> None:
        self.last = last

    def pick(self, nodes: Sequence[NodeLoad]) -> NodeLoad | None:
        """Return the next of the nodes, which are sorted by address; None if there are none."""
        if not nodes:
            return None
        chosen = next((node for node in nodes if node.address > self.last), nodes[0])
        self.last = chosen.address
        return chosen


def choose(
    local: LocalEndpointState,
    load_list: LoadList,
    round_robin: RoundRobin,
    now: int,
    own_address: str,
    phi: float,
    omega: float,
    stale_after_us: int,
    excluded: Collection[str] = frozenset(),
) -> Choice:
    """Decide where a new request goes.

    The normal case is the paper's: below omega a request stays local. From omega on it goes to the
    next accepting node of the latest list, or stays local if no node accepts.

    Each exception has its own rule name and applies only where the paper does not cover the case or
    would block the request:

    - "stale": the list is stale, so a request stays local while there is capacity;
    - "full": the endpoint has no capacity and the request would be blocked, so the node is treated
      as offloading;
    - "gone": there is no local endpoint, or it is draining, so the node is treated as offloading;
    - "any-room": there is neither a local endpoint nor an accepting node, so the request goes to the
      next node below omega, or else to the next one below full load.

    `now` and `stale_after_us` are in microseconds. `excluded` holds the addresses of nodes that
    must not be chosen, such as those that have already rejected the request.
    """
    accepting = eligible(load_list, own_address, phi, excluded)
    if local.available and local.has_capacity:
        if load_state(local.rho, phi, omega) != OFFLOADING:
            return Choice(LOCAL, None, "below-omega")
        if load_list.stale(now, stale_after_us):
            return Choice(LOCAL, None, "stale")
        chosen = round_robin.pick(accepting)
        if chosen is None:
            return Choice(LOCAL, None, "none-accept")
        return Choice(FORWARD, chosen, "offloading")
    chosen = round_robin.pick(accepting)
    if chosen is not None:
        return Choice(FORWARD, chosen, "full" if local.available else "gone")
    if local.available:
        return Choice(REJECT, None, "full")
    for max_rho in (omega, FULL_LOAD):
        chosen = round_robin.pick(eligible(load_list, own_address, max_rho, excluded))
        if chosen is not None:
            return Choice(FORWARD, chosen, "any-room")
    return Choice(REJECT, None, "gone")


def eligible(
    load_list: LoadList, own_address: str, max_rho: float, excluded: Collection[str]
) -> list[NodeLoad]:
    """Return the nodes below `max_rho` that are neither draining nor excluded, by address."""
    nodes = load_list.accepting(own_address, max_rho)
    return [node for node in nodes if node.address not in excluded]
