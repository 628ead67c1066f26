"""One call on its walk, and what can be said of it in the end."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class Served(NamedTuple):
    """An endpoint's whole and checked answer: status line and lines, without the blank line."""

    head: bytes
    body: bytes
    status: int


class Refused(NamedTuple):
    """Not run, and it never will be: a promise."""

    code: str
    retry_us: int


class Unknown(NamedTuple):
    """May have run; nobody can tell."""

    code: str


@dataclass(slots=True, eq=False)
class Call:
    """Invariants: due never moves; `end` is called once, with the outcome, and is None afterwards;
    sends counts endpoints that a byte of the call may have reached; once maybe_run is True no
    outcome of the whole call is Refused; a call holds a slot of `endpoint` iff that is not None.
    """

    id: bytes  # the caller's own
    head: bytes  # request line and lines to pass on, with the caller's name
    body: bytes
    service: str
    repeatable: bool
    due: int
    early_due: int  # with nobody to serve it, it is refused by then
    join_due: int  # it joins a queue only if it will likely be served by then
    wait_due: int  # until then it may stand in one
    arrived_at: int = 0  # when it came to this node
    aim_due: int = 0  # an answer by then earns its full worth
    tries: int = 1  # endpoints it may be sent to
    kind: str = ""  # its route, or only its rank if a peer of a former version sent it
    hold_us: int = 0  # how long calls of its kind hold a slot here, in the mean when it came
    likely_us: int = 0  # and how long at most, likely
    rank: int = 0  # 0 goes first
    urgency: int = 0  # among those that wait: by rank, then who can still end in its aim
    place: int = 0  # in the queue where it waits
    place_until: int = 0  # then it loses that place
    let_in: bool = False  # it joined a queue here as one that would end in its aim
    bare: bool = False  # a HEAD
    home: bool = True  # it arrived here; else a neighbour sent it
    instance: str = ""  # for a neighbour's call: the endpoint that it believes to be here
    end: object = None
    sends: int = 0
    maybe_run: bool = False
    abandoned: bool = False  # its caller has left
    tried: set = field(default_factory=set)  # neighbours that refused or broke
    asked: set = field(default_factory=set)  # neighbours asked to let it wait
    retry_us: int = 0  # when there may be room, as far as anybody said
    endpoint: object = None
    timer: object = None
    waiting: object = None  # the queue that it stands in
    target: object = None  # the neighbour that has it
    begun: int = 0  # when it was sent to where it is now
    number: int = 0
