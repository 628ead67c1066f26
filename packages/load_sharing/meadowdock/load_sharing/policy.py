"""Where a new request goes: to the local endpoint, to a peer, or nowhere.

The decision is pure: its inputs are the load of the local endpoint and the latest load list, and
it does no I/O. It follows Koegel, Wahl, Scharf and Necker (2009), section IV-C; docs/design.md
says what is kept and what is changed. Requests in progress never move and never come here.
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
    """The state of a node: accepting below phi, passive up to omega, offloading from omega on."""
    if rho < phi:
        return ACCEPTING
    return PASSIVE if rho < omega else OFFLOADING


class NodeLoad(NamedTuple):
    """The entry of one node in the load list of a service.

    A tuple, because entries are sorted (by address first) for every request. Invariant: rho is in
    0..1.
    """

    address: str
    rho: float
    incarnation: str
    draining: bool
    zone: str = ""
    slot_us: int = 0  # mean time that a request holds a slot there; 0 if unknown


@dataclass(frozen=True)
class LoadList:
    """The combined load list of a service, as a proxy received it last.

    Invariant: lists are ordered by (epoch, seq); a process that took one takes no lower one. Epoch
    0 means that no list has arrived yet.
    """

    epoch: int = 0
    seq: int = 0
    received_at: int = 0  # by this machine's monotonic clock, in microseconds
    nodes: tuple[NodeLoad, ...] = ()

    def stale(self, now: int, stale_after_us: int) -> bool:
        """Whether no list arrived within the last `stale_after_us` microseconds."""
        return self.epoch == 0 or now - self.received_at > stale_after_us

    def accepting(self, own_address: str, max_rho: float) -> list[NodeLoad]:
        """The other nodes below `max_rho` that don't drain.

        They are in order of address, so that round-robin takes the same turns whatever the order
        of the list.
        """
        return sorted(
            node
            for node in self.nodes
            if node.address != own_address and not node.draining and node.rho < max_rho
        )


@dataclass(frozen=True)
class LocalEndpointState:
    """What a node knows of its own endpoint of a service.

    Invariant: has_capacity is exact at this moment; rho is the mean of the last interval.
    """

    rho: float
    has_capacity: bool
    available: bool = True  # an endpoint of the service is registered here and does not drain


class Choice(NamedTuple):
    """Where a request goes, and the rule that decided it."""

    placement: Placement
    target: NodeLoad | None
    rule: str  # counted under this name, and read by tests


class RoundRobin:
    """Round-robin over a list that changes: the next address after the last one chosen.

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
        """The next of the nodes, which are in order of address; None if there is none."""
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

    The ordinary path is the paper's: below omega a request stays local; from omega on, it goes to
    the next accepting node of the latest list, and stays local if no node accepts.

    Each exception has a rule name of its own and applies only where the paper gives no answer or
    would block the request:

    - "stale": with a stale list a request stays local while there is capacity;
    - "full": no capacity at all, so the request would be blocked: treated as offloading;
    - "gone": no local endpoint (or it drains): treated as offloading without a local endpoint;
    - "any-room": no local endpoint and no accepting node: the next node below omega, then any
      below full load.

    `now` and `stale_after_us` are in microseconds; `excluded` holds the addresses of nodes that
    must not be chosen, such as those that rejected the request before.
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
    """The accepting nodes below `max_rho` that are not excluded, in order of address."""
    nodes = load_list.accepting(own_address, max_rho)
    return [node for node in nodes if node.address not in excluded]
