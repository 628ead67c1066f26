"""An operator of the simulated core who repeats a request until its outcome is final."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    deadline_scope,
    monotonic_us,
    sleep_us,
)

OPERATOR_HOST = "10.9.9.9"  # never partitioned from others
RESPONSE_TIMEOUT_US = SECOND  # then the operator tries the next member
MIN_BACKOFF_US, MAX_BACKOFF_US = 50 * MILLISECOND, 400 * MILLISECOND
TIMEOUT_US = 60 * SECOND
FINAL_STATUSES = (200, 400, 409, 422)


@dataclass
class OperatorRequest:
    """A request, its attempts and its outcome."""

    items: list
    status: int = 0
    body: dict = field(default_factory=dict)
    sent_at_us: int = 0
    duration_us: int = 0
    attempts: list = field(default_factory=list)  # (member, status or 0 after time-out, duration)


async def send_to_member(world, address, items):
    """Return (status, headers, body) of a member's response; None if there is none in time."""
    response = None
    with deadline_scope(monotonic_us() + RESPONSE_TIMEOUT_US):
        try:
            response = await world.http(OPERATOR_HOST, "POST", address, "/items", {"items": items})
        except HttpConnectionFailed:
            await trio.lowlevel.checkpoint()
    return response


async def send_and_follow_redirects(world, core, items):
    """Do the same as send_to_member, and follow at most two redirects with status 307."""
    address = f"{world.core[core]}:7420"
    for _ in range(3):
        response = await send_to_member(world, address, items)
        if response is None or response[0] != 307:
            return response
        address = response[1][b"location"].decode().split("/")[2]
    return response


async def send_until_final(world, items, core):
    """Send a request to one member after another, starting at `core`, until the status is final."""
    request = OperatorRequest(items, sent_at_us=monotonic_us())
    backoff_us = MIN_BACKOFF_US
    while monotonic_us() - request.sent_at_us < TIMEOUT_US:
        attempt_us = monotonic_us()
        response = await send_and_follow_redirects(world, core, items)
        status, _, body = response or (0, {}, {})
        request.attempts.append((core, status, monotonic_us() - attempt_us))
        if status in FINAL_STATUSES:
            request.status, request.body = status, body
            request.duration_us = monotonic_us() - request.sent_at_us
            return request
        await sleep_us(world.rng.randrange(backoff_us // 2, backoff_us))
        backoff_us = min(2 * backoff_us, MAX_BACKOFF_US)
        core = (core + 1) % len(world.core)
    request.duration_us = monotonic_us() - request.sent_at_us
    return request
