"""The queue for a local slot: who may join, judged by how long calls of each route hold a slot."""

from __future__ import annotations

from types import SimpleNamespace

from meadowdock.proxy.slot_queue import DEFAULT_SLOT_TIME_US, MAX_ROUTES, SlotQueue, WaitingCall
from meadowdock.runtime import MILLISECOND


def call(route):
    return SimpleNamespace(route=SimpleNamespace(name=route))


def queue_with(*waiting):
    """Return a queue in which calls of these routes wait; long and short calls were measured."""
    queue = SlotQueue("desk", None, None)
    for route, slot_time_ms, count in (("long", 150, 100), ("short", 15, 1000)):
        for _ in range(count):
            queue.record_slot_time(call(route), slot_time_ms * MILLISECOND)
    queue.waiting.extend(WaitingCall(call(route), None) for route in waiting)
    return queue


def test_long_calls_ahead_count_as_long_however_many_short_ones_ran():
    assert queue_with("long", "long").would_serve_in_time(call("long"), 1, 451 * MILLISECOND)
    assert not queue_with("long", "long").would_serve_in_time(call("long"), 1, 440 * MILLISECOND)
    assert queue_with("short", "short").would_serve_in_time(call("short"), 1, 46 * MILLISECOND)
    assert not queue_with("short", "long").would_serve_in_time(call("short"), 1, 170 * MILLISECOND)


def test_a_route_that_never_ran_counts_with_the_default_slot_time():
    assert SlotQueue("desk", None, None).would_serve_in_time(call("x"), 1, DEFAULT_SLOT_TIME_US)
    assert not SlotQueue("desk", None, None).would_serve_in_time(
        call("x"), 1, DEFAULT_SLOT_TIME_US - 1
    )


def test_the_routes_measured_last_are_remembered():
    queue = queue_with()
    for number in range(MAX_ROUTES - 1):
        queue.record_slot_time(call(str(number)), MILLISECOND)
    assert len(queue.slot_time_us) == MAX_ROUTES and "short" in queue.slot_time_us
    assert "long" not in queue.slot_time_us
