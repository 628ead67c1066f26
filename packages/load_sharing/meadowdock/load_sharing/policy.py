"""Where a new call goes. Calls in progress never move and never come here."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import NamedTuple

ACCEPTING, PASSIVE, OFFLOADING = "accepting", "passive", "offloading"


def state(rho: float, phi: float, omega: float) -> str:
    """accepting below phi, passive up to omega, offloading from omega on."""
    return ACCEPTING if rho < phi else PASSIVE if rho < omega else OFFLOADING


class Node(NamedTuple):
    """A line of the combined list, for one service. Invariant: rho is in 0..1."""

    address: str
    rho: float
    incarnation: str
    draining: bool
    zone: str = ""
    slot_us: int = 0  # how long a call holds a slot there, in the mean; 0 if nobody knows


@dataclass(frozen=True)
class LoadList:
    """The combined list of loads, as a proxy took it last."""

    # Invariant: lists are ordered by (epoch, seq); a process that took one takes no lower one.
    epoch: int = 0
    seq: int = 0
    at: int = 0  # when it came here, by this machine's clock
    nodes: tuple[Node, ...] = ()

    def stale(self, now: int, window: int) -> bool:
        """Whether no list came within the window."""
        return self.epoch == 0 or now - self.at > window

    def accepting(self, me: str, phi: float) -> list[Node]:
        """The nodes below phi, in order of address, so that the wheel turns the same way whatever the list's order."""
        return sorted(n for n in self.nodes if n.address != me and not n.draining and n.rho < phi)


@dataclass(frozen=True)
class Home:
    """What the node knows of its own endpoint. Invariant: room is exact at this moment, rho is
    the last interval's mean."""

    rho: float
    room: bool
    present: bool = True  # an endpoint of the service is enrolled here and does not drain


class Choice(NamedTuple):
    """Where a call goes, and why."""

    kind: str  # "home", "spill" or "shed"
    target: Node | None
    rule: str  # the rule that decided, for logs and tests


class Wheel:
    """Round-robin over a list that changes: the next address after the last one chosen.

    >>> wheel = Wheel()
    >>> nodes = [Node(a, 0.1, "i", False) for a in ("a", "b", "c")]
    >>> [wheel.turn(nodes).address for _ in range(4)]
    ['a', 'b', 'c', 'a']
    >>> wheel.turn(nodes[2:]).address
    'c'
    >>> wheel.turn([]) is None
    True
    """

    def __init__(self, last: str = "") -> None:
        self.last = last

    def turn(self, nodes: Sequence[Node]) -> Node | None:
        """The next of the nodes, which are in order of address; None if there is none."""
        if not nodes:
            return None
        chosen = next((n for n in nodes if n.address > self.last), nodes[0])
        self.last = chosen.address
        return chosen


def choose(
    home: Home,
    load_list: LoadList,
    wheel: Wheel,
    now: int,
    me: str,
    phi: float,
    omega: float,
    stale_window: int,
    tried: Collection[str] = frozenset(),
) -> Choice:
    """The ordinary path is the paper's; each exception has its own rule name.

    Ordinary: below omega a call stays at home. From omega on every new call goes to the next
    accepting node of the latest list, and stays at home if no node accepts.

    Exceptions, only where the paper gives no answer or would block:
    - "stale": with a stale list a call stays at home while home has room;
    - "full": home has no room at all, so the call would be blocked: treated as offloading;
    - "gone": no endpoint at home (or it drains): treated as offloading without a home;
    - "any-room": no home to keep the call and none accepting: the next node below omega, then
      any below 1.
    """
    accepting = [n for n in load_list.accepting(me, phi) if n.address not in tried]
    if home.present and home.room:
        if state(home.rho, phi, omega) != OFFLOADING:
            return Choice("home", None, "below-omega")
        if load_list.stale(now, stale_window):
            return Choice("home", None, "stale")
        chosen = wheel.turn(accepting)
        return (
            Choice("spill", chosen, "offloading") if chosen else Choice("home", None, "none-accept")
        )
    rule = "full" if home.present else "gone"
    chosen = wheel.turn(accepting)
    if chosen:
        return Choice("spill", chosen, rule)
    if home.present:
        return Choice("shed", None, "full")
    for ceiling in (omega, 1.0):
        chosen = wheel.turn([n for n in load_list.accepting(me, ceiling) if n.address not in tried])
        if chosen:
            return Choice("spill", chosen, "any-room")
    return Choice("shed", None, "gone")
