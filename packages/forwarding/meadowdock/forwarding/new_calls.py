"""Creates the Call for a caller's request, with its deadlines and the head to forward. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call
from meadowdock.forwarding.http import HeaderLine, Request, request_head

if TYPE_CHECKING:
    from meadowdock.configuration.items import ItemRoute
    from meadowdock.forwarding.dialect import Dialect

# These are shares of a route's latency target.
NO_ENDPOINT_WAIT_SHARE = 0.22  # the longest wait for an endpoint; an early rejection costs little
QUEUE_JOIN_SHARE = 0.3  # the longest expected wait with which a call joins a queue
# The same for calls above the lowest priority; it is longer, as lower calls wait behind them.
QUEUE_JOIN_SHARE_ABOVE_LOWEST = 0.6
QUEUE_WAIT_SHARE = 0.8  # the longest wait in a queue, unless a third of total_us is longer

DEADLINE_DIGITS_MAX = 15  # a deadline header with a longer number is ignored
BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")


def total_time_us(request: Request, route: ItemRoute, dialect: Dialect) -> int:
    """Return how long the caller waits for a response.

    This is the route's time-out, or the time in the request's deadline header if that is shorter.
    """
    remaining = request.mesh_headers.get(dialect.deadline.lower())
    if remaining is None or not remaining.isdigit() or len(remaining) > DEADLINE_DIGITS_MAX:
        return route.timeout_us
    return min(route.timeout_us, int(remaining) * dialect.deadline_unit_us)


def forwarded_head(request: Request, call_id: bytes, caller: bytes, dialect: Dialect) -> bytes:
    """Return the request line and header lines to forward, without those of a single attempt."""
    lines: list[HeaderLine] = [
        (b"Host", request.host),
        (dialect.call_id, call_id),
        (dialect.caller, caller),
        *((name, value) for name, value in request.lines if name.lower() != b"host"),
    ]
    if request.body or request.method not in BODILESS_METHODS:
        lines.append((b"Content-Length", b"%d" % len(request.body)))
    return request_head(request.method, request.target, lines)


def new_call(
    request: Request,
    route: ItemRoute,
    service: str,
    call_id: bytes,
    head: bytes,
    total_us: int,
    spent_us: int,
    lowest_priority: int,
    now: int,
) -> Call:
    """Return the call of a request that has just arrived.

    :param total_us: how long its caller waits for a response
    :param spent_us: how much of its latency target was probably spent on earlier attempts
    :param lowest_priority: the lowest priority of all routes, which is the greatest number
    """
    target_us = min(route.latency_target_us or total_us, total_us)
    join_share = (
        QUEUE_JOIN_SHARE if route.priority >= lowest_priority else QUEUE_JOIN_SHARE_ABOVE_LOWEST
    )
    return Call(
        id=call_id,
        head=head,
        body=request.body,
        service=service,
        idempotent=route.idempotent,
        deadline=now + total_us,
        arrived_at=now,
        target_deadline=now + max(0, target_us - spent_us),
        no_endpoint_deadline=now + int(NO_ENDPOINT_WAIT_SHARE * target_us),
        join_deadline=now + int(join_share * target_us),
        wait_deadline=now + max(int(QUEUE_WAIT_SHARE * target_us), total_us // 3),
        max_attempts=route.max_attempts,
        route=route.name,
        priority=route.priority,
        is_head=request.method == b"HEAD",
    )
