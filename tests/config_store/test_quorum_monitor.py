"""A member without a quorum rejects requests quickly, or redirects to a member with a quorum."""

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

QUICK_US = 500 * MILLISECOND
ROUND_TRIP_US = 50 * MILLISECOND  # of a request and its answer
DETECTION_US = SECOND  # after a cut: all answers are outdated by then
PLAN = "0" * 32


def partition(world, isolated, others, inward=True, outward=True):
    for host in others:
        if host != isolated and outward:
            world.web.cut(isolated, host, both=False)
        if host != isolated and inward:
            world.web.cut(host, isolated, both=False)


async def timed(work):
    begun_at_us = monotonic_us()
    status, response = await work
    return status, response, monotonic_us() - begun_at_us


# Whether the messages to the member are lost, and whether those from it are.
DIRECTIONS = {"whole": (True, True), "hears": (True, False), "is heard": (False, True)}
REQUESTS = [
    ("POST", "/items", {"items": [service("late")]}),
    ("GET", "/items", None),
    ("GET", "/manifest", None),
    ("GET", f"/plan/{PLAN}", None),
    ("POST", "/plan", manifest([manifest_route("new", "/balances")])),
    ("POST", "/confirm", {"plan": PLAN}),
    ("GET", "/audit", None),
]


@pytest.mark.parametrize("direction", DIRECTIONS)
def test_a_partitioned_member_rejects_every_request_quickly(direction):
    async def scenario(world):
        await start_configured(world)
        await apply_change(world, [service("desk")])
        inward, outward = DIRECTIONS[direction]
        partition(world, world.core[0], world.core, inward, outward)
        await sleep_us(DETECTION_US)
        for method, path, body in REQUESTS:
            status, response, elapsed_us = await timed(world.operate(method, path, body))
            assert (status, response["code"]) == (503, "no_majority"), path
            assert elapsed_us < QUICK_US, path
        status, response, elapsed_us = await timed(world.operate("GET", "/status"))
        assert (status, response["majority"]) == (200, False)
        assert await apply_change(world, [service("desk", 2)], 1)
        world.web.heal()
        await sleep_us(DETECTION_US)
        items_in_force = await current_items(world, 0)
        assert items_in_force["service", "desk"]["version"] == 2
        assert ("service", "late") not in items_in_force

    run(scenario)


def test_an_operator_is_redirected_only_to_a_member_with_a_quorum():
    """One of five members reaches only one other, which reaches all."""

    async def scenario(world):
        await start_core(world)
        first, second, *rest = world.core
        partition(world, first, rest)
        await sleep_us(DETECTION_US)
        call = [service("desk")]
        status, headers, _ = await send_to_member(world, f"{first}:7420", call)
        assert status == 307
        assert headers[b"location"] == f"http://{second}:7420/items".encode()
        assert (await send_and_follow_redirects(world, 0, call))[0] == 200
        status, _, _ = await world.http(first, "GET", f"{first}:7420", "/items")
        assert status == 307
        partition(world, second, rest)
        await sleep_us(DETECTION_US)
        for core in range(2):  # neither redirects an operator to the other
            status, _, elapsed_us = await timed(send_change(world, [service("late")], core))
            assert status == 503
            assert elapsed_us < QUICK_US
        world.web.heal()
        await sleep_us(DETECTION_US)
        assert {name for _, name in await current_items(world)} == {"desk"}

    run(scenario, core=5, application=())


@pytest.mark.parametrize("delay", range(0, 14, 2))
def test_a_change_in_flight_during_a_partition_is_unclear_soon_and_accepted_elsewhere(delay):
    async def scenario(world):
        await start_core(world)
        await apply_change(world, [service("desk")])
        call, responses = [service("desk", 2)], []

        async def operator():
            responses.append(await timed(send_change(world, call)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operator)
            await sleep_us(delay * MILLISECOND)
            partition(world, world.core[0], world.core)
        ((status, _, elapsed_us),) = responses
        assert status in (200, 503, 504)
        assert (
            elapsed_us <= world.node("mdconf", world.core[0]).settings.ack_us // 4 + ROUND_TRIP_US
        )
        # A rejected change is not applied. An unclear one may be, and is acknowledged when repeated.
        if status == 503:
            await sleep_us(2 * SECOND)
            assert (await current_items(world, 1))["service", "desk"]["version"] == 1
        for core in (1, 2):
            assert (await send_until_final(world, call, core)).status == 200
        await apply_change(world, [service("desk", 3)], 2)
        world.web.heal()
        await sleep_us(DETECTION_US)
        for core in range(3):
            assert (await send_until_final(world, call, core)).status == 200
        assert (await current_items(world))["service", "desk"]["version"] == 3

    run(scenario, application=())


def test_a_change_that_may_have_been_written_is_not_reported_as_rejected():
    """A change that may have been written must not be reported as rejected.

    The first attempt proposed a revision and lost to another ballot; the second attempt finds no
    quorum.
    """

    async def scenario(world):
        await start_core(world)
        changes = world.daemon("mdconf", world.core[0]).item_changes

        async def lose_race(current, items, deadline):
            changes.may_be_accepted = True
            for other in world.core[1:]:
                world.web.cut(world.core[0], other)
            raise RevisionConflict(current)

        changes.commit = lose_race
        status, response = await send_change(world, [service("desk")])
        assert (status, response["code"]) == (504, "unclear")

    run(scenario, application=())


def test_a_commit_that_may_have_been_written_is_not_reported_as_rejected():
    """A commit that may have been written must not be reported as rejected.

    It lost to another revision, and whether an earlier attempt was committed can't be determined
    any more.
    """

    async def scenario(world):
        await start_configured(world)
        _, planned = await world.operate(
            "POST", "/plan", manifest([manifest_route("new", "/balances")])
        )
        daemon = world.daemon("mdconf", world.core[0])

        async def lose_race(key, update, deadline):
            daemon.proposer.change = original
            latest = daemon.revisions.latest
            raise RevisionConflict(replace(latest, version=latest.version + 1))

        async def fail_lookup(*_):
            raise NoQuorum("trail")

        original, daemon.proposer.change = daemon.proposer.change, lose_race
        daemon.plans.plan_id_at = fail_lookup
        status, response = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
        assert (status, response["code"]) == (504, "unclear")

    run(scenario)


def test_the_members_are_polled_again_before_a_change_is_rejected():
    """Outdated answers do not mean that the member is partitioned."""

    async def scenario(world):
        await start_core(world)
        daemon = world.daemon("mdconf", world.core[0])
        daemon.peer_statuses = {}
        assert not daemon.quorum_monitor.has_quorum()
        assert await apply_change(world, [service("desk")]) == 1

    run(scenario, application=())


def test_with_two_stalled_disks_changes_are_rejected_quickly():
    async def scenario(world):
        await start_core(world)
        await apply_change(world, [service("desk")])
        for host in world.core[:2]:
            world.disks["mdconf", host].stalled = trio.Event()
        status, _, elapsed_us = await timed(send_change(world, [service("desk", 2)]))
        assert status == 504
        assert (
            elapsed_us <= world.node("mdconf", world.core[0]).settings.ack_us // 4 + ROUND_TRIP_US
        )
        await sleep_us(3 * SECOND)
        for core in range(3):
            status, _, elapsed_us = await timed(send_change(world, [service("desk", 2)], core))
            assert status == 503
            assert elapsed_us < QUICK_US

    run(scenario, application=())


def test_members_of_the_previous_release_count_as_without_a_quorum():
    answer = HelloAnswer.from_message({"disk": "d", "record": None, "well": True, "leaving": False})
    assert not answer.serves_operators
    assert HelloAnswer(True, True, False, {"operators": "h:1"}).serves_operators
    assert not HelloAnswer(True, False, False, {"operators": "h:1"}).serves_operators
    assert not HelloAnswer(True, True, True, {"operators": "h:1"}).serves_operators


def test_backoff_after_lost_ballots_is_proportional_to_the_duration_of_an_attempt():
    """Other proposers are ahead in ten attempts, at three members each.

    An attempt takes a millisecond.
    """

    async def scenario(world):
        await start_core(world)
        proposer = world.daemon("mdconf", world.core[0]).proposer
        original, rejected_prepares = proposer.send_request, []

        async def reject_prepare(member, method, args, *more):
            if method != "prepare" or len(rejected_prepares) >= 30:
                return await original(member, method, args, *more)
            rejected_prepares.append(member)
            await sleep_us(MILLISECOND)
            return "no", (args[1][0] + 1, "other"), None

        proposer.send_request = reject_prepare
        begun_at_us = monotonic_us()
        await proposer.change("some/key", lambda old: 7, monotonic_us() + 4 * SECOND)
        assert len(rejected_prepares) == 30
        assert monotonic_us() - begun_at_us < 400 * MILLISECOND

    run(scenario, application=())
