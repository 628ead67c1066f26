"""A lasting overload: the share of calls served within their latency target, by priority."""

from __future__ import annotations

from dataclasses import replace

import pytest
from gates import SEEDS, gated
from overload_demands import LONG, SHORT, SLOTS, SPAN, items_of
from overloads import most_in_aim, offer, worker

from meadowdock.runtime import MILLISECOND

# the same service times, with equal priority and equal targets
SHORT_EQUAL_PRIORITY = replace(
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
def test_lowest_priority_is_served_in_target_with_the_capacity_that_others_leave(seed):
    demands = (LONG, SHORT)
    outcomes = overloaded(seed, demands)
    max_shares = most_in_aim(demands, SLOTS)
    long, short = outcomes[LONG.prefix], outcomes[SHORT.prefix]
    assert short.in_aim >= 0.9 * short.asked, short
    assert long.in_aim >= 0.75 * max_shares[LONG.prefix] * long.asked, (long, max_shares)


@pytest.mark.parametrize("seed", SEEDS)
def test_service_times_of_equal_priority_are_learned_per_route(seed):
    demands = (LONG, SHORT_EQUAL_PRIORITY)
    outcomes = overloaded(seed, demands)
    long, short = outcomes[LONG.prefix], outcomes[SHORT_EQUAL_PRIORITY.prefix]
    ended = long.in_aim + long.late + short.in_aim + short.late
    assert long.in_aim + short.in_aim >= 0.9 * ended, (long, short)
    # neither goes before the other: they share the capacity, and most of it serves calls in target
    used = long.in_aim * LONG.mean_us + short.in_aim * SHORT_EQUAL_PRIORITY.mean_us
    assert used >= 0.75 * SLOTS * SPAN, (long, short)
