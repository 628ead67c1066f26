"""What a stopping proxy tells of the requests that get no answer."""

from __future__ import annotations

from gates import default_items, gated
from item_builders import route

from meadowdock.runtime import MILLISECOND, SECOND, sleep_us

LONG_US = 20 * SECOND


def test_a_stop_names_each_request_that_it_leaves_unanswered_and_where_it_was():
    items = [*default_items(), route("slow", prefix="/slow/", timeout_us=LONG_US)]

    async def scenario(world):
        host = next(iter(world.application))
        caller = await world.caller(host)
        world.ends[host].work_us = lambda job: (
            LONG_US // 2 if job.target.startswith(b"/slow/") else 10 * MILLISECOND
        )
        first = caller.ask(b"/slow/x", due_ms=LONG_US // MILLISECOND)
        second = caller.ask(b"/p/x")
        await sleep_us(100 * MILLISECOND)
        await world.stop(f"mdproxy@{host}")
        unanswered = [event for _, event in world.trace.events(107)]
        assert [(event["call"], event["behind"]) for event in unanswered] == [
            (first.id.decode(), ""),
            (second.id.decode(), first.id.decode()),
        ]
        assert unanswered[0]["state"] == f"at endpoint {host}:8000"
        assert unanswered[1]["state"] == "answered"
        assert all(event["arrived_ms"] < 0 for event in unanswered)
        progress = [event for _, event in world.trace.events(106)]
        assert [event["step"] for event in progress] == [
            "leaving the rotation",
            "closing the listener",
            "ending",
        ]
        assert progress[-1]["callers_requests"] == 2

    gated(scenario, items=items)
