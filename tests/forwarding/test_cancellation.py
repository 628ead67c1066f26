"""Cancelled calls: those that have not started don't start, and idempotent ones are aborted."""

from __future__ import annotations

import pytest
from gates import SEEDS, default_items, find_leaks, gated, gateway_of
from gateway_estimates import LONG, work_us_by_path
from item_builders import route

from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

LONG_ONCE = route("oncelong", prefix="/oncelong/", repeat="once")
ONE_SLOT = {"slots": 1, "work_us": work_us_by_path(long=800, oncelong=800)}
APPLICATIONS = (("desk",), ("", "desk"))  # the endpoint is at the caller's node, or at a peer


def endpoint_of(world):
    return world.ends[list(world.application)[-1]]


@pytest.mark.parametrize("application", APPLICATIONS)
@pytest.mark.parametrize("seed", SEEDS)
def test_idempotent_call_is_aborted_and_its_slot_released(seed, application):
    async def scenario(world):
        host, endpoint_host = list(world.application)[0], list(world.application)[-1]
        caller = await world.caller(host)
        caller.ask(b"/long/x")
        await sleep_us(100 * MILLISECOND)
        assert len(endpoint_of(world).running) == 1
        caller.hang_up()
        await sleep_us(20 * MILLISECOND)
        (job,) = endpoint_of(world).running
        assert (
            job.conn.over
            and not gateway_of(world, endpoint_host).dispatcher.calls
            and not find_leaks(world)
        )

    gated(scenario, seed, application=application, items=default_items(LONG), endpoint=ONE_SLOT)


@pytest.mark.parametrize("application", APPLICATIONS)
def test_started_call_that_is_not_idempotent_runs_to_its_end(application):
    async def scenario(world):
        host, endpoint_host = list(world.application)[0], list(world.application)[-1]
        caller = await world.caller(host)
        caller.ask(b"/oncelong/x", b"POST")
        await sleep_us(100 * MILLISECOND)
        caller.hang_up()
        await sleep_us(100 * MILLISECOND)
        (job,) = endpoint_of(world).running
        assert not job.conn.over and len(gateway_of(world, endpoint_host).dispatcher.calls) == 1
        await sleep_us(800 * MILLISECOND)
        assert len(endpoint_of(world).journal) == 1 and not find_leaks(world)

    gated(scenario, application=application, items=default_items(LONG_ONCE), endpoint=ONE_SLOT)


@pytest.mark.parametrize("target", (b"/p/x", b"/oncelong/x"))
@pytest.mark.parametrize("application", APPLICATIONS)
def test_queued_call_of_a_disconnected_caller_does_not_start(application, target):
    async def scenario(world):
        host, endpoint_host = list(world.application)[0], list(world.application)[-1]
        occupying_caller = await world.caller(host)
        occupying = occupying_caller.ask(b"/long/x")
        await sleep_us(50 * MILLISECOND)
        caller = await world.caller(host)
        caller.ask(target)
        await sleep_us(50 * MILLISECOND)
        assert len(gateway_of(world, endpoint_host).admission.queue("desk")) == 1
        caller.hang_up()
        await sleep_us(20 * MILLISECOND)
        assert len(gateway_of(world, endpoint_host).admission.queue("desk")) == 0
        assert len(gateway_of(world, host).dispatcher.calls) == 1
        await occupying.done.wait()
        await sleep_us(100 * MILLISECOND)
        assert [ran.target for ran in endpoint_of(world).journal] == [b"/long/x"]

    gated(
        scenario, application=application, items=default_items(LONG, LONG_ONCE), endpoint=ONE_SLOT
    )


@pytest.mark.parametrize("target", (b"/p/x", b"/oncelong/x"))
def test_call_that_waits_for_a_link_is_not_sent_after_its_caller_disconnects(target):
    async def scenario(world):
        host, endpoint_host = list(world.application)
        peers = gateway_of(world, host).peers
        for link in list(peers.outgoing.values()):
            link.connection.close()
            link.on_end("the test")
        peers.backoff_until.clear()
        caller = await world.caller(host)
        started_at = monotonic_us()
        caller.ask(target)
        while not any(link.unsent for link in peers.outgoing.values()):
            await sleep_us(100)
            assert monotonic_us() - started_at < 100 * MILLISECOND
        caller.hang_up()
        await sleep_us(500 * MILLISECOND)
        assert (
            not endpoint_of(world).journal
            and gateway_of(world, endpoint_host).counts.get("taken", 0) == 0
        )

    gated(
        scenario, application=("", "desk"), items=default_items(LONG, LONG_ONCE), endpoint=ONE_SLOT
    )
