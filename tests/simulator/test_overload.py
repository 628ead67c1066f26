"""An overload that lasts: what is served in aim, against what the endpoints could do."""

from __future__ import annotations

from dataclasses import replace

import pytest
from gates import SEEDS, gated
from overload_demands import LONG, SHORT, SLOTS, SPAN, items_of
from overloads import most_in_aim, offer, worker

from meadowdock.runtime import MILLISECOND

# the same works, but no rank tells them apart
SHORT_ALIKE = replace(
    SHORT, priority=LONG.priority, aim_us=200 * MILLISECOND, due_us=400 * MILLISECOND
)


def overloaded(seed, demands, slots=SLOTS, application=("desk", None, None)):
    async def scenario(world):
        return await offer(world, list(world.application), demands, SPAN, seed)

    endpoint = {"slots": slots, "queue": 4 * slots, "work_us": worker(demands, seed)}
    return gated(
        scenario, seed, application=application, items=items_of(*demands), endpoint=endpoint
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_the_lowest_rank_is_served_in_aim_with_the_room_that_the_others_leave(seed):
    demands = (LONG, SHORT)
    found = overloaded(seed, demands)
    most = most_in_aim(demands, SLOTS)
    long, short = found[LONG.prefix], found[SHORT.prefix]
    assert short.in_aim >= 0.9 * short.asked, short
    assert long.in_aim >= 0.75 * most[LONG.prefix] * long.asked, (long, most)


@pytest.mark.parametrize("seed", SEEDS)
def test_kinds_of_one_rank_are_told_apart_by_their_routes(seed):
    demands = (LONG, SHORT_ALIKE)
    found = overloaded(seed, demands)
    long, short = found[LONG.prefix], found[SHORT_ALIKE.prefix]
    ended = long.in_aim + long.late + short.in_aim + short.late
    assert long.in_aim + short.in_aim >= 0.9 * ended, (long, short)
    # nobody is before the other: the room is shared, and most of it is used in aim
    used = long.in_aim * LONG.mean_us + short.in_aim * SHORT_ALIKE.mean_us
    assert used >= 0.75 * SLOTS * SPAN, (long, short)
