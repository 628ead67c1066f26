"""The plain path's queue: who joins, by how long calls of each way hold a slot."""

from __future__ import annotations

from types import SimpleNamespace

from meadowdock.proxy.forwarder import FIRST_HOLD, REMEMBERED, SlotQueue
from meadowdock.runtime import MILLISECOND


def call(way):
    return SimpleNamespace(route=SimpleNamespace(name=way))


def holding(*waiting):
    made = SlotQueue(None, "desk")
    for way, took_ms, times in (("long", 150, 100), ("short", 15, 1000)):
        for _ in range(times):
            made.ended(call(way), took_ms * MILLISECOND)
    made.line.extend((call(way), None) for way in waiting)
    return made


def test_long_calls_ahead_count_as_long_however_many_short_ones_ran():
    assert holding("long", "long").worth_it(call("long"), 1, 451 * MILLISECOND)
    assert not holding("long", "long").worth_it(call("long"), 1, 440 * MILLISECOND)
    assert holding("short", "short").worth_it(call("short"), 1, 46 * MILLISECOND)
    assert not holding("short", "long").worth_it(call("short"), 1, 170 * MILLISECOND)


def test_a_way_that_never_ran_counts_as_the_first_guess():
    assert SlotQueue(None, "desk").worth_it(call("x"), 1, FIRST_HOLD)
    assert not SlotQueue(None, "desk").worth_it(call("x"), 1, FIRST_HOLD - 1)


def test_the_ways_seen_last_are_remembered():
    made = holding()
    for number in range(REMEMBERED - 1):
        made.ended(call(str(number)), MILLISECOND)
    assert len(made.hold_us) == REMEMBERED and "short" in made.hold_us
    assert "long" not in made.hold_us
