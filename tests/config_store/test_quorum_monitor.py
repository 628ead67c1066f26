"""A member without a quorum says so at once, or names one that has it."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio
from item_builders import service
from item_changes import apply_change, current_items, send_change, start_core
from manifests import manifest, manifest_route
from mesh import start_configured
from operator_requests import send_and_follow_redirects, send_to_member, send_until_final

from meadowdock.config_store.exceptions import RevisionConflict
from meadowdock.config_store.quorum_monitor import HelloAnswer
from meadowdock.consensus import NoQuorum
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run

AT_ONCE = 500 * MILLISECOND
ON_THE_WAY = 50 * MILLISECOND  # of a request and its answer
LOST = SECOND  # after a cut: no answer is fresh any more
PLAN = "0" * 32


def cut_from(world, away, others, inward=True, outward=True):
    for host in others:
        if host != away and outward:
            world.web.cut(away, host, both=False)
        if host != away and inward:
            world.web.cut(host, away, both=False)


async def timed(work):
    begun = monotonic_us()
    status, told = await work
    return status, told, monotonic_us() - begun


DIRECTIONS = {"whole": (True, True), "hears": (True, False), "is heard": (False, True)}
DOORS = [
    ("POST", "/items", {"items": [service("late")]}),
    ("GET", "/items", None),
    ("GET", "/manifest", None),
    ("GET", f"/plan/{PLAN}", None),
    ("POST", "/plan", manifest([manifest_route("new", "/balances")])),
    ("POST", "/confirm", {"plan": PLAN}),
    ("GET", "/audit", None),
]


@pytest.mark.parametrize("direction", DIRECTIONS)
def test_a_member_that_is_cut_off_refuses_at_every_door_at_once(direction):
    async def scenario(world):
        await start_configured(world)
        await apply_change(world, [service("desk")])
        heard, hears = DIRECTIONS[direction]
        cut_from(world, world.core[0], world.core, heard, hears)
        await sleep_us(LOST)
        for method, path, facts in DOORS:
            status, told, span = await timed(world.operate(method, path, facts))
            assert (status, told["code"]) == (503, "no_majority"), path
            assert span < AT_ONCE, path
        status, told, span = await timed(world.operate("GET", "/status"))
        assert (status, told["majority"]) == (200, False)
        assert await apply_change(world, [service("desk", 2)], 1)
        world.web.heal()
        await sleep_us(LOST)
        held = await current_items(world, 0)
        assert held["service", "desk"]["version"] == 2
        assert ("service", "late") not in held

    run(scenario)


def test_an_order_is_named_a_member_with_a_quorum_and_never_one_without():
    """Of five members one reaches a single other, which reaches all."""

    async def scenario(world):
        await start_core(world)
        first, second, *rest_of = world.core
        cut_from(world, first, rest_of)
        await sleep_us(LOST)
        call = [service("desk")]
        status, headers, _ = await send_to_member(world, f"{first}:7420", call)
        assert status == 307
        assert headers[b"location"] == f"http://{second}:7420/items".encode()
        assert (await send_and_follow_redirects(world, 0, call))[0] == 200
        status, _, _ = await world.http(first, "GET", f"{first}:7420", "/items")
        assert status == 307
        cut_from(world, second, rest_of)
        await sleep_us(LOST)
        for core in range(2):  # neither sends an operator to the other
            status, _, span = await timed(send_change(world, [service("late")], core))
            assert status == 503
            assert span < AT_ONCE
        world.web.heal()
        await sleep_us(LOST)
        assert {name for _, name in await current_items(world)} == {"desk"}

    run(scenario, core=5, application=())


@pytest.mark.parametrize("delay", range(0, 14, 2))
def test_an_order_under_way_when_the_cut_falls_is_unclear_soon_and_taken_elsewhere(delay):
    async def scenario(world):
        await start_core(world)
        await apply_change(world, [service("desk")])
        call, told = [service("desk", 2)], []

        async def operator():
            told.append(await timed(send_change(world, call)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operator)
            await sleep_us(delay * MILLISECOND)
            cut_from(world, world.core[0], world.core)
        ((status, _, span),) = told
        assert status in (200, 503, 504)
        assert span <= world.node("mdconf", world.core[0]).settings.ack_us // 4 + ON_THE_WAY
        # a refused one doesn't hold; an unclear one may, and is acknowledged when sent again
        if status == 503:
            await sleep_us(2 * SECOND)
            assert (await current_items(world, 1))["service", "desk"]["version"] == 1
        for core in (1, 2):
            assert (await send_until_final(world, call, core)).status == 200
        await apply_change(world, [service("desk", 3)], 2)
        world.web.heal()
        await sleep_us(LOST)
        for core in range(3):
            assert (await send_until_final(world, call, core)).status == 200
        assert (await current_items(world))["service", "desk"]["version"] == 3

    run(scenario, application=())


def test_a_round_that_may_have_been_written_is_never_told_as_refused():
    """A first pass sent a head and was outrun; the second finds no quorum."""

    async def scenario(world):
        await start_core(world)
        changes = world.daemon("mdconf", world.core[0]).item_changes

        async def outrun(current, items, deadline):
            changes.may_be_accepted = True
            for other in world.core[1:]:
                world.web.cut(world.core[0], other)
            raise RevisionConflict(current)

        changes.commit = outrun
        status, told = await send_change(world, [service("desk")])
        assert (status, told["code"]) == (504, "unclear")

    run(scenario, application=())


def test_a_commit_that_may_have_been_written_is_never_told_as_refused():
    """Its head was outrun, and whether an earlier try of it was made can't be told any more."""

    async def scenario(world):
        await start_configured(world)
        _, planned = await world.operate(
            "POST", "/plan", manifest([manifest_route("new", "/balances")])
        )
        daemon = world.daemon("mdconf", world.core[0])

        async def outrun(key, make, deadline):
            daemon.proposer.change = real
            latest = daemon.revisions.latest
            raise RevisionConflict(replace(latest, version=latest.version + 1))

        async def lost(*_):
            raise NoQuorum("trail")

        real, daemon.proposer.change = daemon.proposer.change, outrun
        daemon.plans.plan_id_at = lost
        status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
        assert (status, told["code"]) == (504, "unclear")

    run(scenario)


def test_the_members_are_asked_once_more_before_an_order_is_refused():
    """Answers that are not fresh any more are no cut."""

    async def scenario(world):
        await start_core(world)
        daemon = world.daemon("mdconf", world.core[0])
        daemon.peer_statuses = {}
        assert not daemon.quorum_monitor.in_touch()
        assert await apply_change(world, [service("desk")]) == 1

    run(scenario, application=())


def test_two_stalled_disks_refuse_orders_at_once_and_reads_go_on():
    async def scenario(world):
        await start_core(world)
        await apply_change(world, [service("desk")])
        for host in world.core[:2]:
            world.disks["mdconf", host].stalled = trio.Event()
        status, _, span = await timed(send_change(world, [service("desk", 2)]))
        assert status == 504
        assert span <= world.node("mdconf", world.core[0]).settings.ack_us // 4 + ON_THE_WAY
        await sleep_us(3 * SECOND)
        for core in range(3):
            status, _, span = await timed(send_change(world, [service("desk", 2)], core))
            assert status == 503
            assert span < AT_ONCE

    run(scenario, application=())


def test_members_of_the_release_before_claim_no_quorum():
    answer = HelloAnswer.from_message({"disk": "d", "record": None, "well": True, "leaving": False})
    assert not answer.serves_operators
    assert HelloAnswer(True, True, False, {"operators": "h:1"}).serves_operators
    assert not HelloAnswer(True, False, False, {"operators": "h:1"}).serves_operators
    assert not HelloAnswer(True, True, True, {"operators": "h:1"}).serves_operators


def test_a_change_that_was_outrun_waits_in_measure_of_its_tries():
    """Others are ahead ten times; a try takes a millisecond."""

    async def scenario(world):
        await start_core(world)
        proposer = world.daemon("mdconf", world.core[0]).proposer
        real, outrun = proposer.ask, []

        async def ask_outrun(member, method, args, *more):
            if method != "prepare" or len(outrun) >= 30:
                return await real(member, method, args, *more)
            outrun.append(member)
            await sleep_us(MILLISECOND)
            return "no", (args[1][0] + 1, "other"), None

        proposer.ask = ask_outrun
        begun = monotonic_us()
        await proposer.change("some/key", lambda old: 7, monotonic_us() + 4 * SECOND)
        assert len(outrun) == 30
        assert monotonic_us() - begun < 400 * MILLISECOND

    run(scenario, application=())
