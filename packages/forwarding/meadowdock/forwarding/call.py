"""One request on its way through a node, and the outcomes that it may have."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import Endpoint
    from meadowdock.forwarding.peer_link import OutgoingLink
    from meadowdock.forwarding.reactor import Timer
    from meadowdock.forwarding.wait_queue import WaitQueue
    from meadowdock.runtime.slab import Handle


class Served(NamedTuple):
    """An endpoint's complete and checked answer."""

    head: bytes  # status line and header lines, without the blank line
    body: bytes
    status: int


class Rejected(NamedTuple):
    """The request did not run and never will: a promise."""

    code: str
    retry_after_us: int  # when to come back; 0 if nobody can tell


class OutcomeUnknown(NamedTuple):
    """The request may have run; nobody can tell."""

    code: str


Outcome = Served | Rejected | OutcomeUnknown


@dataclass(slots=True, eq=False)
class Call:
    """One request. All times are in microseconds, those that end in `_deadline` or `_at` of the
    monotonic clock.

    Invariants: deadline never moves; `on_outcome` is called once and is None afterwards; attempts
    counts the endpoints that a byte of the request may have reached; once may_have_run is True its
    outcome is not Rejected; it holds a slot of `endpoint` iff that is not None; it is in one place
    at a time: in `queue`, at `endpoint` or on `peer_link`.
    """

    id: bytes  # the caller's own
    head: bytes  # request line and header lines to pass on, with the caller's name
    body: bytes
    service: str
    idempotent: bool
    deadline: int
    early_deadline: int  # with nobody to serve it, it is rejected by then
    join_deadline: int  # it joins a queue only if it will likely be served by then
    wait_deadline: int  # it waits in a queue no longer
    arrived_at: int = 0  # when it came to this node
    target_deadline: int = 0  # its latency target: an answer by then earns its full value
    max_attempts: int = 1  # endpoints it may be sent to
    route: str = ""  # its route's name, or only its priority if a peer of a former version sent it
    hold_us: int = 0  # mean time for which calls of its route hold a slot here, when it came
    likely_hold_us: int = 0  # most of them hold it no longer
    priority: int = 0  # 0 goes first
    urgency: int = 0  # among those that wait: by priority, then who can still meet its target
    queue_position: int = 0
    position_until: int = 0  # then it loses its position in the queue
    admitted: bool = False  # it joined a queue here as one that would meet its target
    is_head: bool = False  # an HTTP HEAD request
    from_peer: bool = False  # relocated to this node; else it arrived here
    incarnation: str = ""  # of a relocated call: the endpoint that its peer believes to be here
    on_outcome: Callable[[Outcome], None] | None = None
    attempts: int = 0
    may_have_run: bool = False
    abandoned: bool = False  # its caller has left
    tried_peers: set[str] = field(default_factory=set)  # that rejected it or could not be reached
    asked_peers: set[str] = field(default_factory=set)  # that were asked to queue it
    retry_after_us: int = 0  # when there may be capacity, as far as anybody said
    endpoint: Endpoint | None = None
    timer: Timer | None = None
    queue: WaitQueue | None = None
    peer_link: OutgoingLink | None = None
    dispatched_at: int = 0  # when it was sent to where it is now
    peer_handle: Handle | None = None  # its number on peer_link

    def stop_timer(self) -> None:
        """Cancel the timer of the place where it was."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    @property
    def size(self) -> int:
        """Bytes to pass on."""
        return len(self.head) + len(self.body)
