"""A caller leaves: what has not begun does not begin, and what may be repeated is broken off."""

from __future__ import annotations

import pytest
from gates import SEEDS, default_items, find_leaks, gated, gateway_of
from gateway_estimates import LONG, work_us_by_path
from item_builders import route

from meadowdock.runtime import MILLISECOND, monotonic_us, sleep_us

ONCE_LONG = route("oncelong", prefix="/oncelong/", repeat="once")
ONE_SLOT = {"slots": 1, "work_us": work_us_by_path(long=800, oncelong=800)}
PLACES = (("desk",), ("", "desk"))  # the endpoint is here, or at a peer


def ends_of(world):
    return world.ends[list(world.application)[-1]]


@pytest.mark.parametrize("application", PLACES)
@pytest.mark.parametrize("seed", SEEDS)
def test_a_run_that_may_be_repeated_is_broken_off_and_its_slot_is_free(seed, application):
    async def scenario(world):
        host, there = list(world.application)[0], list(world.application)[-1]
        caller = await world.caller(host)
        caller.ask(b"/long/x")
        await sleep_us(100 * MILLISECOND)
        assert len(ends_of(world).running) == 1
        caller.hang_up()
        await sleep_us(20 * MILLISECOND)
        (job,) = ends_of(world).running
        assert (
            job.conn.over
            and not gateway_of(world, there).dispatcher.calls
            and not find_leaks(world)
        )

    gated(scenario, seed, application=application, items=default_items(LONG), endpoint=ONE_SLOT)


@pytest.mark.parametrize("application", PLACES)
def test_a_run_that_may_not_be_repeated_is_finished(application):
    async def scenario(world):
        host, there = list(world.application)[0], list(world.application)[-1]
        caller = await world.caller(host)
        caller.ask(b"/oncelong/x", b"POST")
        await sleep_us(100 * MILLISECOND)
        caller.hang_up()
        await sleep_us(100 * MILLISECOND)
        (job,) = ends_of(world).running
        assert not job.conn.over and len(gateway_of(world, there).dispatcher.calls) == 1
        await sleep_us(800 * MILLISECOND)
        assert len(ends_of(world).journal) == 1 and not find_leaks(world)

    gated(scenario, application=application, items=default_items(ONCE_LONG), endpoint=ONE_SLOT)


@pytest.mark.parametrize("target", (b"/p/x", b"/oncelong/x"))
@pytest.mark.parametrize("application", PLACES)
def test_what_waits_does_not_begin(application, target):
    async def scenario(world):
        host, there = list(world.application)[0], list(world.application)[-1]
        holding = await world.caller(host)
        occupying = holding.ask(b"/long/x")
        await sleep_us(50 * MILLISECOND)
        caller = await world.caller(host)
        caller.ask(target)
        await sleep_us(50 * MILLISECOND)
        assert len(gateway_of(world, there).admission.queue("desk")) == 1
        caller.hang_up()
        await sleep_us(20 * MILLISECOND)
        assert len(gateway_of(world, there).admission.queue("desk")) == 0
        assert len(gateway_of(world, host).dispatcher.calls) == 1
        await occupying.done.wait()
        await sleep_us(100 * MILLISECOND)
        assert [ran.target for ran in ends_of(world).journal] == [b"/long/x"]

    gated(
        scenario, application=application, items=default_items(LONG, ONCE_LONG), endpoint=ONE_SLOT
    )


@pytest.mark.parametrize("target", (b"/p/x", b"/oncelong/x"))
def test_what_waits_for_a_link_never_leaves(target):
    async def scenario(world):
        host, there = list(world.application)
        peers = gateway_of(world, host).peers
        for link in list(peers.outgoing.values()):
            link.connection.close()
            link.on_end("the test")
        peers.quiet_until.clear()
        caller = await world.caller(host)
        at = monotonic_us()
        caller.ask(target)
        while not any(link.unsent for link in peers.outgoing.values()):
            await sleep_us(100)
            assert monotonic_us() - at < 100 * MILLISECOND
        caller.hang_up()
        await sleep_us(500 * MILLISECOND)
        assert not ends_of(world).journal and gateway_of(world, there).counts.get("taken", 0) == 0

    gated(
        scenario, application=("", "desk"), items=default_items(LONG, ONCE_LONG), endpoint=ONE_SLOT
    )
