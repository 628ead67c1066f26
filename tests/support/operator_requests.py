"""An operator of the simulated core: sends an order until it is acknowledged."""

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

OPERATOR_HOST = "10.9.9.9"  # cut off from nobody
SILENCE = SECOND  # of a member, after which the next one is asked
FIRST_PAUSE, LONGEST_PAUSE = 50 * MILLISECOND, 400 * MILLISECOND
GIVE_UP = 60 * SECOND
FINAL = (200, 400, 409, 422)


@dataclass
class OperatorRequest:
    """One call, and what came of it."""

    items: list
    status: int = 0
    body: dict = field(default_factory=dict)
    sent_at: int = 0
    took: int = 0
    answers: list = field(default_factory=list)  # (member, status or 0 for silence, how long)


async def send_to_member(world, address, items):
    """(status, headers, body) of one member, or None after a second of silence."""
    answer = None
    with deadline_scope(monotonic_us() + SILENCE):
        try:
            answer = await world.http(OPERATOR_HOST, "POST", address, "/items", {"items": items})
        except HttpConnectionFailed:
            await trio.lowlevel.checkpoint()
    return answer


async def send_and_follow_redirects(world, core, items):
    """As `ask`, following 307 twice."""
    address = f"{world.core[core]}:7420"
    for _ in range(3):
        answer = await send_to_member(world, address, items)
        if answer is None or answer[0] != 307:
            return answer
        address = answer[1][b"location"].decode().split("/")[2]
    return answer


async def send_until_final(world, items, core):
    """Send the call to one member after the other, from this one on, until the answer is final."""
    made = OperatorRequest(items, sent_at=monotonic_us())
    pause = FIRST_PAUSE
    while monotonic_us() - made.sent_at < GIVE_UP:
        asked_at = monotonic_us()
        answer = await send_and_follow_redirects(world, core, items)
        status, _, body = answer or (0, {}, {})
        made.answers.append((core, status, monotonic_us() - asked_at))
        if status in FINAL:
            made.status, made.body, made.took = status, body, monotonic_us() - made.sent_at
            return made
        await sleep_us(world.rng.randrange(pause // 2, pause))
        pause = min(2 * pause, LONGEST_PAUSE)
        core = (core + 1) % len(world.core)
    made.took = monotonic_us() - made.sent_at
    return made
