"""A caller's request becomes a Call: its time, its deadlines and the head to pass on. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call
from meadowdock.forwarding.http import HeaderLine, Request, head_of

if TYPE_CHECKING:
    from meadowdock.configuration.items import ItemRoute
    from meadowdock.forwarding.dialect import Dialect

# parts of a route's latency target
EARLY = 0.22  # until then a rejection costs its caller little
JOIN = 0.3  # a request joins a queue if it will likely be served by then
JOIN_ABOVE_LOWEST = 0.6  # as JOIN, above the lowest priority: those behind wait instead
WAIT = 0.8  # it waits in a queue no longer

DEADLINE_DIGITS_MAX = 15  # of the header with the time left; a longer number is passed over
BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")


def total_time_us(request: Request, route: ItemRoute, dialect: Dialect) -> int:
    """How long the caller waits for an answer: its route's time-out, or less if it says so."""
    left = request.facts.get(dialect.deadline.lower())
    if left is None or not left.isdigit() or len(left) > DEADLINE_DIGITS_MAX:
        return route.timeout_us
    return min(route.timeout_us, int(left) * dialect.deadline_unit_us)


def head_to_pass_on(request: Request, call_id: bytes, caller: bytes, dialect: Dialect) -> bytes:
    """Request line and header lines that an endpoint gets, but for those of the attempt."""
    lines: list[HeaderLine] = [
        (b"Host", request.host),
        (dialect.call_id, call_id),
        (dialect.caller, caller),
        *((name, value) for name, value in request.lines if name.lower() != b"host"),
    ]
    if request.body or request.method not in BODILESS_METHODS:
        lines.append((b"Content-Length", b"%d" % len(request.body)))
    return head_of(request.method, request.target, lines)


def new_call(
    request: Request,
    route: ItemRoute,
    service: str,
    call_id: bytes,
    head: bytes,
    total_us: int,
    spent_us: int,
    lowest_priority: int,
    at: int,
) -> Call:
    """The call of a request that came at a time.

    :param total_us: how long its caller waits for an answer
    :param spent_us: how much of its latency target it has probably spent on earlier attempts
    :param lowest_priority: the greatest number of all routes' priorities
    """
    target_us = min(route.aim_us or total_us, total_us)
    join = JOIN if route.priority >= lowest_priority else JOIN_ABOVE_LOWEST
    return Call(
        id=call_id,
        head=head,
        body=request.body,
        service=service,
        idempotent=route.repeatable,
        deadline=at + total_us,
        arrived_at=at,
        target_deadline=at + max(0, target_us - spent_us),
        early_deadline=at + int(EARLY * target_us),
        join_deadline=at + int(join * target_us),
        wait_deadline=at + max(int(WAIT * target_us), total_us // 3),
        max_attempts=route.tries,
        route=route.name,
        priority=route.priority,
        is_head=request.method == b"HEAD",
    )
