"""Reports the work that has no answer yet while a node stops."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call
from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.downstream import DownstreamConnection
    from meadowdock.forwarding.gateway import Gateway
    from meadowdock.forwarding.interfaces import Logger

MAX_LOGGED_REQUESTS = 20  # of one stop

CALLER, PEER = "caller", "peer"  # who sent a request to this node


@dataclass(frozen=True)
class WorkInProgress:
    """Counts of the work of a node that has no answer yet."""

    callers_requests: int  # read from callers and not answered
    peers_calls: int  # relocated here by peers, without an outcome
    connections: int  # of callers, open
    partial_requests: int  # of callers, of which only a part was read


@dataclass(frozen=True)
class UnansweredRequest:
    """A request without an answer.

    :ivar call_id: "" if the request did not become a call
    :ivar state: where it is, as in `call_state`, or "answered" if its answer waits for `behind`
    :ivar arrived_at: us, monotonic clock; 0 if the request did not become a call
    :ivar behind: the call id of the first unanswered request of its connection, if that is another
    """

    call_id: str
    route: str
    sender: str
    state: str
    arrived_at: int
    behind: str = ""


def call_state(call: Call) -> str:
    """Return where a call is now: queued, at an endpoint, at a peer, or not placed."""
    if call.on_outcome is None:
        return "answered"
    if call.queue is not None:
        return "queued"
    if call.endpoint is not None:
        return f"at endpoint {call.endpoint.address}"
    if call.peer_link is not None:
        return f"at peer {call.peer_link.address}"
    return "not placed"


def work_in_progress(gateway: Gateway) -> WorkInProgress:
    """Count the work of a gateway that has no answer yet."""
    connections = gateway.connections
    return WorkInProgress(
        callers_requests=sum(len(connection.pending) for connection in connections),
        peers_calls=sum(call.from_peer for call in gateway.dispatcher.calls),
        connections=len(connections),
        partial_requests=sum(connection.requests.in_progress for connection in connections),
    )


def unanswered_requests(gateway: Gateway) -> Iterator[UnansweredRequest]:
    """Yield the requests of callers and the calls of peers that have no answer yet."""
    for connection in gateway.connections:
        yield from unanswered_on(connection)
    for call in gateway.dispatcher.calls:
        if call.from_peer:
            yield describe(call, PEER, "")


def unanswered_on(connection: DownstreamConnection) -> Iterator[UnansweredRequest]:
    """Yield the requests of a caller's connection that have no answer yet, in order."""
    first_id = ""
    for position, pending in enumerate(connection.pending):
        call = pending.call
        if position == 0 and call is not None:
            first_id = call.id.decode("latin-1")
        behind = first_id if position else ""
        if call is not None:
            yield describe(call, CALLER, behind)
        else:
            yield UnansweredRequest("", "", CALLER, "answered", 0, behind)


def describe(call: Call, sender: str, behind: str) -> UnansweredRequest:
    """Return the description of a call."""
    call_id = call.id.decode("latin-1")
    return UnansweredRequest(call_id, call.route, sender, call_state(call), call.arrived_at, behind)


def log_unanswered(
    requests: Iterable[UnansweredRequest], log: Logger, shutdown_started_at: int
) -> None:
    """Log the first of the requests that a stop ends before an endpoint has answered them.

    :param shutdown_started_at: us, monotonic clock; arrivals are told in ms after it
    """
    now = monotonic_us()
    for request in islice(requests, MAX_LOGGED_REQUESTS):
        arrived_at = request.arrived_at or now
        log(
            log_events.REQUEST_UNANSWERED,
            call=request.call_id,
            route=request.route,
            sender=request.sender,
            state=request.state,
            behind=request.behind,
            arrived_ms=(arrived_at - shutdown_started_at) // MILLISECOND,
            age_ms=(now - arrived_at) // MILLISECOND,
        )
