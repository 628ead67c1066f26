"""Operators: checks, plans, races, unclear ends, and how a change gets everywhere."""

from __future__ import annotations

import trio
from facts import manifest, way
from mesh import configured, hosts, serving

from meadowdock.proxy.delivery import ACTIVATION_DELAY_DIVISOR
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


def test_an_invalid_configuration_changes_nothing():
    async def scenario(world):
        await configured(world)
        status, told = await world.operate(
            "POST", "/plan", manifest([way("x", "/x", service="no")])
        )
        assert (status, told["code"]) == (422, "invalid")
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 1

    run(scenario)


def test_a_change_whose_chunks_reach_no_quorum_does_not_begin():
    async def scenario(world):
        await configured(world)
        _, planned = await world.operate("POST", "/plan", manifest([way("x", "/balances")]))
        for core in world.core[1:]:
            disk = world.disks["mdconf", core]
            for name in [n for n in disk.files if n.startswith("blob/")]:
                del disk.files[name]
        world.meddle["blob.put"] = None  # lost on their way, all of them
        status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
        assert (status, told["code"]) == (503, "no_majority")
        world.meddle.clear()
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 1
        assert (await world.operate("GET", f"/plan/{planned['plan']}"))[1]["state"] == "open"

    run(scenario)


def test_of_racing_operators_one_wins_and_the_other_is_given_what_changed():
    async def scenario(world):
        await configured(world)
        plans = []
        for core, name in ((0, "one"), (1, "two")):
            facts = manifest([*manifest()["ways"], way(name, f"/{name}")])
            plans.append((await world.operate("POST", "/plan", facts, core))[1]["plan"])
        answers = {}

        async def confirm(core):
            answers[core] = await world.operate("POST", "/confirm", {"plan": plans[core]}, core)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(confirm, 0)
            nursery.start_soon(confirm, 1)
        assert sorted(status for status, _ in answers.values()) == [200, 409]
        loser = next(told for status, told in answers.values() if status == 409)
        winner = next(c for c, (status, _) in answers.items() if status == 200)
        assert loser["changed_since"]["ways"]["added"] == [["one", "two"][winner]]
        assert (loser["base"], loser["head"]) == (1, 2)
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 2

    run(scenario)


def test_a_commit_sent_twice_is_one_change_and_a_plan_can_be_queried():
    async def scenario(world):
        await configured(world)
        facts = manifest([way("x", "/balances")])
        plan = (await world.operate("POST", "/plan", facts))[1]["plan"]
        assert (await world.operate("GET", f"/plan/{plan}"))[1]["state"] == "open"
        first = await world.operate("POST", "/confirm", {"plan": plan}, 0)
        again = await world.operate("POST", "/confirm", {"plan": plan}, 1)
        assert first == again == (200, {"state": "confirmed", "plan": plan, "version": 2})
        settled = (await world.operate("GET", f"/plan/{plan}", core=2))[1]
        assert (settled["state"], settled["version"], settled["head"]) == ("confirmed", 2, 2)
        assert (await world.operate("POST", "/confirm", {"plan": "0" * 32}))[0] == 404

    run(scenario)


def test_a_change_is_in_force_everywhere_soon_and_switched_close_together():
    async def scenario(world):
        await serving(world)
        at = monotonic_us()
        version = await world.configure(manifest([way("x", "/balances")]))
        await world.eventually(
            lambda: all(
                world.daemon("mdproxy", h).delivery.version == version for h in hosts(world)
            ),
            2 * SECOND,
        )
        switched = [t for t, line in world.trace.events(502) if line["version"] == version]
        assert len(switched) == len(hosts(world))
        assert max(switched) - at < 2 * SECOND
        assert max(switched) - min(switched) < 250 * MILLISECOND

    run(scenario, application=("desk",) * 5)


def test_a_change_whose_coordinator_dies_is_carried_on_by_the_proxies():
    async def scenario(world):
        await serving(world)
        version = await world.configure(manifest([way("x", "/balances")]))
        world.kill(f"mdconf@{world.core[0]}")  # right after the acknowledgement
        took = await world.eventually(
            lambda: all(
                world.daemon("mdproxy", h).delivery.version == version for h in hosts(world)
            )
        )
        assert took < 2 * SECOND

    run(scenario, core=5)


def test_only_changed_chunks_are_fetched():
    async def scenario(world):
        ways = [way(f"w{n}", f"/balances/{n}") for n in range(600)]
        await configured(world, manifest(ways))
        ways[5]["repeat"] = "once"
        await world.configure(manifest(ways))
        await sleep_us(2 * SECOND)
        fetched = [line["fetched"] for _, line in world.trace.events(501) if line["version"] == 2]
        assert fetched == [1] * len(hosts(world))

    run(scenario)


async def first_cut_off(world):
    await serving(world)
    host = hosts(world)[0]
    for core in world.core:
        world.web.cut(core, host)
    await sleep_us(3 * SECOND)
    return host


def test_a_cut_off_proxy_serves_the_last_and_says_so_then_catches_up():
    async def scenario(world):
        host = await first_cut_off(world)
        version = await world.configure(manifest([way("x", "/balances")]))
        assert world.daemon("mdproxy", host).delivery.version == 1 or version == 1
        status, lines, _ = await world.http(host, "GET", f"{host}:7400", "/balances/1")
        assert (status, lines[b"md-cut-off"]) == (200, b"1")
        world.web.heal()
        await world.eventually(lambda: world.daemon("mdproxy", host).delivery.version == version)
        status, lines, _ = await world.http(host, "GET", f"{host}:7400", "/balances/1")
        assert b"md-cut-off" not in lines

    run(scenario, application=("desk",))


def test_a_fresh_start_inside_a_cut_does_not_serve_what_only_a_peer_reported():
    """The machine served version 2; its neighbour, cut off before, still has version 1."""

    async def scenario(world):
        await serving(world)
        mine, other = hosts(world)
        for core in world.core:
            world.web.cut(core, other)
        assert await world.configure(manifest([way("x", "/balances")])) == 2
        await world.eventually(lambda: world.daemon("mdproxy", mine).delivery.version == 2)
        for core in world.core:
            world.web.cut(core, mine)
        world.kill(f"mdproxy@{mine}")
        # the two proxies alone, as if nobody but they had changed views
        world.web.cut(mine, other)
        await world.start("mdproxy", mine)
        world.web.heal_links({(mine, other), (other, mine)})
        daemon = world.daemon("mdproxy", mine)
        view = world.node("mdproxy", other).view
        daemon.node.view.merge([view.me], monotonic_us())
        await sleep_us(3 * SECOND)
        assert daemon.delivery.newest == 1  # staged, and not in force
        status, _, told = await world.http(mine, "GET", f"{mine}:7400", "/balances/1")
        assert (status, told["code"]) == (503, "no_manifest")
        status, _, told = await world.http(mine, "GET", f"{mine}:7400", "/ready")
        assert "the core hasn't confirmed a manifest here yet" in told["why"]
        world.web.heal()
        await world.eventually(lambda: daemon.delivery.version == 2)

    run(scenario, application=("desk", "desk"))


def test_a_version_in_force_at_a_peer_is_in_force_at_once_where_it_is_staged():
    async def scenario(world):
        await configured(world)
        mine, other = hosts(world)
        daemon = world.daemon("mdproxy", mine)
        for core in world.core:
            world.daemon("mdconf", core).node.rpc.call_all = no_switch(
                world.daemon("mdconf", core).node.rpc.call_all, f"{mine}:7401"
            )
        assert await world.configure(manifest([way("x", "/balances")])) == 2
        there = world.daemon("mdproxy", other).delivery
        await world.eventually(
            lambda: there.version == daemon.delivery.newest == 2, every=MILLISECOND
        )
        assert daemon.delivery.version == 1
        staged_at = daemon.delivery.staged.since
        world.node("mdproxy", mine).view.merge(
            [world.node("mdproxy", other).view.me], monotonic_us()
        )
        await world.eventually(lambda: daemon.delivery.version == 2, every=MILLISECOND)
        alone = daemon.node.settings.apply_us // ACTIVATION_DELAY_DIVISOR
        assert monotonic_us() - staged_at < alone // 2

    run(scenario, application=("desk", "desk"))


def test_the_order_to_switch_may_come_before_the_version_is_staged():
    async def scenario(world):
        await configured(world)
        mine = hosts(world)[0]
        daemon = world.daemon("mdproxy", mine)
        for core in world.core:
            links = world.daemon("mdconf", core).node.rpc
            links.call_all = no_switch(links.call_all, f"{mine}:7401")
        daemon.delivery.on_active_elsewhere(2)
        assert daemon.delivery.version == 1
        at = monotonic_us()
        assert await world.configure(manifest([way("x", "/balances")])) == 2
        await world.eventually(lambda: daemon.delivery.version == 2, every=MILLISECOND)
        assert monotonic_us() - at < 100 * MILLISECOND

    run(scenario, application=("desk",))


def no_switch(original, address):
    async def call_all(asks, due):
        kept = {k: a for k, a in asks.items() if a[:2] != (address, "manifest.switch")}
        return await original(kept, due)

    return call_all


def test_a_cut_off_proxy_learns_a_newer_version_from_a_peer():
    async def scenario(world):
        host = await first_cut_off(world)
        version = await world.configure(manifest([way("x", "/balances")]))
        await world.eventually(lambda: world.daemon("mdproxy", host).delivery.version == version)

    run(scenario, application=("desk", "desk"))


def test_a_corrupt_chunk_is_repaired_from_another_member():
    async def scenario(world):
        await configured(world)
        host = world.core[0]
        disk = world.disks["mdconf", host]
        name = next(n for n in sorted(disk.files) if n.startswith("blob/"))
        disk.rot(name)
        bad = disk.files[name]
        world.power_off("mdconf", host)
        await world.start("mdconf", host)
        await world.eventually(lambda: disk.files[name] != bad)
        assert world.trace.events(606)

    run(scenario)


def test_a_commit_with_unknown_outcome_is_reported_so_and_its_outcome_is_final():
    async def scenario(world):
        await configured(world)
        facts = manifest([way("x", "/balances")])
        plan = (await world.operate("POST", "/plan", facts))[1]["plan"]
        store = world.daemon("mdconf", world.core[0]).store
        original = store.acceptor.write

        async def cut_while_writing(key, ballot, value):
            for other in world.core[1:]:
                world.web.cut(world.core[0], other)
            return await original(key, ballot, value)

        store.acceptor.write = cut_while_writing
        status, told = await world.operate("POST", "/confirm", {"plan": plan})
        assert (status, told["code"]) == (504, "unclear")
        store.acceptor.write = original
        world.web.heal()
        settled = (await world.operate("GET", f"/plan/{plan}", core=1))[1]
        assert settled["state"] in ("confirmed", "open")
        head = (await world.operate("GET", "/manifest", core=2))[1]["version"]
        assert head == (2 if settled["state"] == "confirmed" else 1)
        await sleep_us(5 * SECOND)
        again = (await world.operate("GET", f"/plan/{plan}", core=2))[1]
        assert again["state"] == settled["state"]

    run(scenario)


def test_a_proxy_that_was_cut_off_switches_at_once_when_it_is_back():
    async def scenario(world):
        host = await first_cut_off(world)
        version = await world.configure(manifest([way("x", "/balances")]))
        await sleep_us(2 * SECOND)
        world.web.heal()
        delivery = world.daemon("mdproxy", host).delivery
        await world.eventually(lambda: not delivery.cut_off)
        took = await world.eventually(lambda: delivery.version == version, every=MILLISECOND)
        assert took < 50 * MILLISECOND

    run(scenario, application=("desk",))


def test_changes_that_follow_one_another_put_off_no_switch():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        delivery = world.daemon("mdproxy", host).delivery
        for daemon in (world.daemon("mdconf", c) for c in world.core):

            async def nobody_delivers(head):
                await sleep_us(0)

            daemon.delivery.deliver = nobody_delivers
        begun = monotonic_us()
        for number in range(8):
            await world.configure(manifest([way(f"w{number}", "/balances")]), number % 3)
            await sleep_us(300 * MILLISECOND)
        assert monotonic_us() - begun > 2 * SECOND
        assert delivery.version >= 3

    run(scenario, application=("desk",))


def test_an_answer_says_cut_off_as_it_was_when_the_call_was_decided():
    async def scenario(world):
        host = await first_cut_off(world)
        told, healed = [], False

        async def call():
            told.append((await world.http(host, "GET", f"{host}:7400", "/balances/1"))[1])

        world.daemon("mdproxy", host).forwarder.endpoints.by_address[f"{host}:8000"].capacity = 9
        version = await world.configure(manifest([way("x", "/balances")]))
        async with trio.open_nursery() as nursery:
            for _ in range(700):
                nursery.start_soon(call)
                await sleep_us(MILLISECOND)
                if len(told) >= 50 and not healed:
                    world.web.heal()
                    healed = True
        stale = [t for t in told if int(t[b"md-version"]) < version]
        assert len(stale) > 50
        assert len(stale) < len(told)
        assert all(b"md-cut-off" in t for t in stale)

    run(scenario, application=("desk",))
