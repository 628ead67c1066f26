"""The state of a request while a node forwards it, and its possible outcomes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from meadowdock.forwarding.answer_stream import AnswerStream
    from meadowdock.forwarding.interfaces import Endpoint
    from meadowdock.forwarding.peer_link import OutgoingLink
    from meadowdock.forwarding.reactor import Timer
    from meadowdock.forwarding.wait_queue import WaitQueue
    from meadowdock.runtime.slab import Handle


class Served(NamedTuple):
    """The request ran: an endpoint's checked response, complete unless there is a rest of it."""

    head: (
        bytes  # status line and header lines, without the blank line; with a rest, without framing
    )
    body: bytes | bytearray
    status: int
    rest: AnswerStream | None = None  # of the body


class Rejected(NamedTuple):
    """The request did not run and never will; this is a guarantee."""

    code: str
    retry_after_us: int  # how long to wait before a retry; 0 if unknown


class OutcomeUnknown(NamedTuple):
    """It is not known whether the request ran."""

    code: str


Outcome = Served | Rejected | OutcomeUnknown


@dataclass(slots=True, eq=False)
class Call:
    """A request that a node forwards.

    All times are in microseconds; those that end in `_deadline` or `_at` are on the monotonic clock.

    Invariants: deadline never changes; `on_outcome` is called once and is None afterwards; attempts
    counts how often any byte of the request may have reached an endpoint; once may_have_run is True
    the outcome is not Rejected; the call holds a slot of `endpoint` iff that is not None; it is in
    one place at a time: in `queue`, at `endpoint` or on `peer_link`, and stays there after its outcome
    until `stream`, the rest of its answer, has ended.
    """

    id: bytes  # as the caller sent it
    head: bytes  # request line and header lines to forward, with the caller's name
    body: bytes | bytearray
    service: str
    idempotent: bool
    deadline: int
    no_endpoint_deadline: int  # when it is rejected if no endpoint is known by then
    join_deadline: int  # it may join a queue only if it will likely start by then
    wait_deadline: int  # when it must leave the queue
    arrived_at: int = 0  # when it arrived at this node
    target_deadline: int = 0  # the end of its latency target: until then a response has full value
    max_attempts: int = 1  # how often it may be sent to an endpoint
    route: str = ""  # its route's name, or its priority if a peer of the previous version sent it
    hold_us: int = 0  # on its arrival, the mean time for which calls of its route held a slot here
    likely_hold_us: int = 0  # an upper bound for most of them
    priority: int = 0  # 0 is the highest
    urgency: int = 0  # its rank in a queue: by priority, then by whether it can meet its target
    queue_position: int = 0
    position_deadline: int = 0  # when it loses its position in the queue
    admitted: bool = False  # it was queued here and expected to meet its target
    is_head: bool = False  # an HTTP HEAD request
    from_peer: bool = False  # a peer relocated it to this node
    incarnation: str = ""  # of a relocated call: the endpoint instance that is expected to run it
    on_outcome: Callable[[Outcome], None] | None = None
    attempts: int = 0
    may_have_run: bool = False
    cancelled: bool = False  # its caller has disconnected
    tried_peers: set[str] = field(default_factory=set)  # peers that rejected it or were unreachable
    queue_peers_tried: set[str] = field(default_factory=set)  # peers that were asked to queue it
    retry_after_us: int = 0  # expected time until there is capacity, 0 if no node has reported it
    endpoint: Endpoint | None = None
    timer: Timer | None = None
    queue: WaitQueue | None = None
    peer_link: OutgoingLink | None = None
    dispatched_at: int = 0  # when it was sent to its current endpoint or peer
    peer_handle: Handle | None = None  # identifies it on peer_link
    stream: AnswerStream | None = None

    def stop_timer(self) -> None:
        """Cancel the timer of the queue, endpoint or peer at which the call is now."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    @property
    def size(self) -> int:
        """The number of bytes to forward."""
        return len(self.head) + len(self.body)
