"""Configuration changes by operators: validation, plans, races, unknown outcomes, propagation."""

from __future__ import annotations

import trio
from manifests import manifest, manifest_route
from mesh import hosts, serving, start_configured

from meadowdock.proxy.delivery import ACTIVATION_DELAY_DIVISOR
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


def test_a_plan_with_an_invalid_configuration_is_rejected():
    async def scenario(world):
        await start_configured(world)
        status, response = await world.operate(
            "POST", "/plan", manifest([manifest_route("x", "/x", service="no")])
        )
        assert (status, response["code"]) == (422, "invalid")
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 1

    run(scenario)


def test_a_change_fails_cleanly_if_its_chunks_reach_no_quorum():
    async def scenario(world):
        await start_configured(world)
        _, planned = await world.operate(
            "POST", "/plan", manifest([manifest_route("x", "/balances")])
        )
        for core in world.core[1:]:
            disk = world.disks["mdconf", core]
            for name in [name for name in disk.files if name.startswith("blob/")]:
                del disk.files[name]
        world.meddle["blob.put"] = None  # all messages with chunks are lost
        status, response = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
        assert (status, response["code"]) == (503, "no_majority")
        world.meddle.clear()
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 1
        assert (await world.operate("GET", f"/plan/{planned['plan']}"))[1]["state"] == "open"

    run(scenario)


def test_one_of_two_racing_operators_wins_and_the_other_gets_the_difference():
    async def scenario(world):
        await start_configured(world)
        plans = []
        for core, name in ((0, "one"), (1, "two")):
            configuration = manifest([*manifest()["ways"], manifest_route(name, f"/{name}")])
            plans.append((await world.operate("POST", "/plan", configuration, core))[1]["plan"])
        responses = {}

        async def confirm(core):
            responses[core] = await world.operate("POST", "/confirm", {"plan": plans[core]}, core)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(confirm, 0)
            nursery.start_soon(confirm, 1)
        assert sorted(status for status, _ in responses.values()) == [200, 409]
        loser = next(response for status, response in responses.values() if status == 409)
        winner = next(core for core, (status, _) in responses.items() if status == 200)
        assert loser["changed_since"]["ways"]["added"] == [["one", "two"][winner]]
        assert (loser["base"], loser["head"]) == (1, 2)
        assert (await world.operate("GET", "/manifest"))[1]["version"] == 2

    run(scenario)


def test_a_repeated_confirmation_is_one_change_and_a_plan_can_be_queried():
    async def scenario(world):
        await start_configured(world)
        configuration = manifest([manifest_route("x", "/balances")])
        plan = (await world.operate("POST", "/plan", configuration))[1]["plan"]
        assert (await world.operate("GET", f"/plan/{plan}"))[1]["state"] == "open"
        first = await world.operate("POST", "/confirm", {"plan": plan}, 0)
        repeated = await world.operate("POST", "/confirm", {"plan": plan}, 1)
        assert first == repeated == (200, {"state": "confirmed", "plan": plan, "version": 2})
        plan_status = (await world.operate("GET", f"/plan/{plan}", core=2))[1]
        assert (plan_status["state"], plan_status["version"], plan_status["head"]) == (
            "confirmed",
            2,
            2,
        )
        assert (await world.operate("POST", "/confirm", {"plan": "0" * 32}))[0] == 404

    run(scenario)


def test_a_change_is_activated_everywhere_soon_and_almost_simultaneously():
    async def scenario(world):
        await serving(world)
        begun_us = monotonic_us()
        version = await world.configure(manifest([manifest_route("x", "/balances")]))
        await world.eventually(
            lambda: all(
                world.daemon("mdproxy", host).delivery.version == version for host in hosts(world)
            ),
            2 * SECOND,
        )
        activated_at_us = [
            time_us for time_us, line in world.trace.events(502) if line["version"] == version
        ]
        assert len(activated_at_us) == len(hosts(world))
        assert max(activated_at_us) - begun_us < 2 * SECOND
        assert max(activated_at_us) - min(activated_at_us) < 250 * MILLISECOND

    run(scenario, application=("desk",) * 5)


def test_proxies_spread_a_change_whose_coordinator_was_killed():
    async def scenario(world):
        await serving(world)
        version = await world.configure(manifest([manifest_route("x", "/balances")]))
        world.kill(f"mdconf@{world.core[0]}")  # right after the acknowledgement
        duration_us = await world.eventually(
            lambda: all(
                world.daemon("mdproxy", host).delivery.version == version for host in hosts(world)
            )
        )
        assert duration_us < 2 * SECOND

    run(scenario, core=5)


def test_only_changed_chunks_are_fetched():
    async def scenario(world):
        ways = [manifest_route(f"w{n}", f"/balances/{n}") for n in range(600)]
        await start_configured(world, manifest(ways))
        ways[5]["repeat"] = "once"
        await world.configure(manifest(ways))
        await sleep_us(2 * SECOND)
        fetched = [line["fetched"] for _, line in world.trace.events(501) if line["version"] == 2]
        assert fetched == [1] * len(hosts(world))

    run(scenario)


async def partition_first_proxy(world):
    await serving(world)
    host = hosts(world)[0]
    for core in world.core:
        world.web.cut(core, host)
    await sleep_us(3 * SECOND)
    return host


def test_a_partitioned_proxy_serves_its_last_version_and_reports_so():
    async def scenario(world):
        host = await partition_first_proxy(world)
        version = await world.configure(manifest([manifest_route("x", "/balances")]))
        assert world.daemon("mdproxy", host).delivery.version == 1 or version == 1
        status, headers, _ = await world.http(host, "GET", f"{host}:7400", "/balances/1")
        assert (status, headers[b"md-cut-off"]) == (200, b"1")
        world.web.heal()
        await world.eventually(lambda: world.daemon("mdproxy", host).delivery.version == version)
        status, headers, _ = await world.http(host, "GET", f"{host}:7400", "/balances/1")
        assert b"md-cut-off" not in headers

    run(scenario, application=("desk",))


def test_a_proxy_started_in_a_partition_does_not_serve_an_unconfirmed_version():
    """The proxy served version 2 and restarts; its peer, partitioned earlier, still has version 1."""

    async def scenario(world):
        await serving(world)
        host, peer_host = hosts(world)
        for core in world.core:
            world.web.cut(core, peer_host)
        assert await world.configure(manifest([manifest_route("x", "/balances")])) == 2
        await world.eventually(lambda: world.daemon("mdproxy", host).delivery.version == 2)
        for core in world.core:
            world.web.cut(core, host)
        world.kill(f"mdproxy@{host}")
        # The proxy starts isolated; then only its link to the peer heals, and it merges their view.
        world.web.cut(host, peer_host)
        await world.start("mdproxy", host)
        world.web.heal_links({(host, peer_host), (peer_host, host)})
        daemon = world.daemon("mdproxy", host)
        view = world.node("mdproxy", peer_host).membership
        daemon.node.membership.merge([view.own_entry], monotonic_us())
        await sleep_us(3 * SECOND)
        assert daemon.delivery.newest == 1  # staged, but not active
        status, _, response = await world.http(host, "GET", f"{host}:7400", "/balances/1")
        assert (status, response["code"]) == (503, "no_manifest")
        status, _, response = await world.http(host, "GET", f"{host}:7400", "/ready")
        assert "the core hasn't confirmed a manifest here yet" in response["why"]
        world.web.heal()
        await world.eventually(lambda: daemon.delivery.version == 2)

    run(scenario, application=("desk", "desk"))


def test_a_staged_version_is_activated_once_a_peer_has_it_active():
    async def scenario(world):
        await start_configured(world)
        host, peer_host = hosts(world)
        daemon = world.daemon("mdproxy", host)
        for core in world.core:
            world.daemon("mdconf", core).node.rpc.call_all = drop_activation(
                world.daemon("mdconf", core).node.rpc.call_all, f"{host}:7401"
            )
        assert await world.configure(manifest([manifest_route("x", "/balances")])) == 2
        peer_delivery = world.daemon("mdproxy", peer_host).delivery
        await world.eventually(
            lambda: peer_delivery.version == daemon.delivery.newest == 2, every=MILLISECOND
        )
        assert daemon.delivery.version == 1
        staged_at = daemon.delivery.staged.since
        world.node("mdproxy", host).membership.merge(
            [world.node("mdproxy", peer_host).membership.own_entry], monotonic_us()
        )
        await world.eventually(lambda: daemon.delivery.version == 2, every=MILLISECOND)
        activation_delay_us = daemon.node.settings.apply_us // ACTIVATION_DELAY_DIVISOR
        assert monotonic_us() - staged_at < activation_delay_us // 2

    run(scenario, application=("desk", "desk"))


def test_the_activation_may_arrive_before_the_version_is_staged():
    async def scenario(world):
        await start_configured(world)
        host = hosts(world)[0]
        daemon = world.daemon("mdproxy", host)
        for core in world.core:
            rpc = world.daemon("mdconf", core).node.rpc
            rpc.call_all = drop_activation(rpc.call_all, f"{host}:7401")
        daemon.delivery.on_active_elsewhere(2)
        assert daemon.delivery.version == 1
        begun_us = monotonic_us()
        assert await world.configure(manifest([manifest_route("x", "/balances")])) == 2
        await world.eventually(lambda: daemon.delivery.version == 2, every=MILLISECOND)
        assert monotonic_us() - begun_us < 100 * MILLISECOND

    run(scenario, application=("desk",))


def drop_activation(original, address):
    async def call_all(requests, deadline):
        remaining = {
            key: request
            for key, request in requests.items()
            if request[:2] != (address, "manifest.switch")
        }
        return await original(remaining, deadline)

    return call_all


def test_a_partitioned_proxy_gets_a_newer_version_from_a_peer():
    async def scenario(world):
        host = await partition_first_proxy(world)
        version = await world.configure(manifest([manifest_route("x", "/balances")]))
        await world.eventually(lambda: world.daemon("mdproxy", host).delivery.version == version)

    run(scenario, application=("desk", "desk"))


def test_a_corrupt_chunk_is_repaired_from_another_member():
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        disk = world.disks["mdconf", host]
        name = next(name for name in sorted(disk.files) if name.startswith("blob/"))
        disk.rot(name)
        corrupt = disk.files[name]
        world.power_off("mdconf", host)
        await world.start("mdconf", host)
        await world.eventually(lambda: disk.files[name] != corrupt)
        assert world.trace.events(606)

    run(scenario)


def test_a_confirmation_with_unknown_outcome_is_reported_and_settles():
    async def scenario(world):
        await start_configured(world)
        configuration = manifest([manifest_route("x", "/balances")])
        plan = (await world.operate("POST", "/plan", configuration))[1]["plan"]
        store = world.daemon("mdconf", world.core[0]).store
        original = store.acceptor.write

        async def cut_while_writing(key, ballot, value):
            for member in world.core[1:]:
                world.web.cut(world.core[0], member)
            return await original(key, ballot, value)

        store.acceptor.write = cut_while_writing
        status, response = await world.operate("POST", "/confirm", {"plan": plan})
        assert (status, response["code"]) == (504, "unclear")
        store.acceptor.write = original
        world.web.heal()
        plan_status = (await world.operate("GET", f"/plan/{plan}", core=1))[1]
        assert plan_status["state"] in ("confirmed", "open")
        head = (await world.operate("GET", "/manifest", core=2))[1]["version"]
        assert head == (2 if plan_status["state"] == "confirmed" else 1)
        await sleep_us(5 * SECOND)
        later_status = (await world.operate("GET", f"/plan/{plan}", core=2))[1]
        assert later_status["state"] == plan_status["state"]

    run(scenario)


def test_a_proxy_switches_at_once_after_its_partition_heals():
    async def scenario(world):
        host = await partition_first_proxy(world)
        version = await world.configure(manifest([manifest_route("x", "/balances")]))
        await sleep_us(2 * SECOND)
        world.web.heal()
        delivery = world.daemon("mdproxy", host).delivery
        await world.eventually(lambda: not delivery.cut_off)
        duration_us = await world.eventually(lambda: delivery.version == version, every=MILLISECOND)
        assert duration_us < 50 * MILLISECOND

    run(scenario, application=("desk",))


def test_a_series_of_changes_does_not_postpone_activation():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        delivery = world.daemon("mdproxy", host).delivery
        for daemon in (world.daemon("mdconf", core) for core in world.core):

            async def skip_delivery(head):
                await sleep_us(0)

            daemon.delivery.deliver = skip_delivery
        begun_us = monotonic_us()
        for number in range(8):
            await world.configure(manifest([manifest_route(f"w{number}", "/balances")]), number % 3)
            await sleep_us(300 * MILLISECOND)
        assert monotonic_us() - begun_us > 2 * SECOND
        assert delivery.version >= 3

    run(scenario, application=("desk",))


def test_a_response_reports_the_partition_as_of_its_routing_decision():
    async def scenario(world):
        host = await partition_first_proxy(world)
        responses, healed = [], False  # the headers of each response

        async def call():
            responses.append((await world.http(host, "GET", f"{host}:7400", "/balances/1"))[1])

        world.daemon("mdproxy", host).forwarder.endpoints.by_address[f"{host}:8000"].capacity = 9
        version = await world.configure(manifest([manifest_route("x", "/balances")]))
        async with trio.open_nursery() as nursery:
            for _ in range(700):
                nursery.start_soon(call)
                await sleep_us(MILLISECOND)
                if len(responses) >= 50 and not healed:
                    world.web.heal()
                    healed = True
        stale = [headers for headers in responses if int(headers[b"md-version"]) < version]
        assert len(stale) > 50
        assert len(stale) < len(responses)
        assert all(b"md-cut-off" in headers for headers in stale)

    run(scenario, application=("desk",))
