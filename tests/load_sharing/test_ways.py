"""Ways that are removed or passed on while calls are under way: the receiver checks again."""

from __future__ import annotations

from manifests import manifest, manifest_route
from mesh import counts, hosts, request_handler, serving
from returns.pipeline import is_successful

from meadowdock.load_sharing import NodeLoad
from meadowdock.runtime import MILLISECOND, SECOND, sleep_us
from meadowdock.simulator import run


async def first_keeps_the_old(world, new):
    """The first proxy, cut off from the core and with no newer neighbour to ask, has the old
    manifest; the others have the new one."""
    host = hosts(world)[0]
    for other in [*world.core, *hosts(world)[1:]]:
        world.web.cut(host, other)
    await sleep_us(SECOND)
    version = await world.configure(new)
    await sleep_us(2 * SECOND)
    assert world.daemon("mdproxy", host).delivery.version < version
    for other in hosts(world)[1:]:
        assert world.daemon("mdproxy", other).delivery.version == version
        world.web.heal_links([(host, other), (other, host)])
    return host


def without(name, *more):
    return manifest([*(w for w in manifest()["ways"] if w["name"] != name), *more])


def test_a_removed_way_is_refused_by_a_neighbour_that_knows():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host = await first_keeps_the_old(world, without("withdrawals"))
        client = world.client(host)
        found = (await client.call("POST", "/withdrawals", {"a": 1})).failure()
        assert found.verdict.value == "not-run"
        assert counts(world, host)["spill.shed.way_unknown"] == 1
        assert journal == []

    run(scenario, application=("paper", "desk"))


def test_a_path_that_passed_to_another_service_does_not_reach_it_by_the_old_way():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        moved = manifest_route("balances", "/balances", service="paper")
        host = await first_keeps_the_old(world, without("balances", moved))
        found = (await world.client(host).call("GET", "/balances/1")).failure()
        assert found.verdict.value == "not-run"
        assert counts(world, host)["spill.shed.way_forbidden"] == 1
        assert journal == []

    run(scenario, application=("paper", "desk", "paper"))


def test_an_old_list_does_not_reach_a_later_incarnation():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host, other = hosts(world)
        forwarder = world.daemon("mdproxy", host).forwarder
        old = forwarder.nodes_by_service["desk"]
        world.kill(f"endpoint@{other}:8000")
        await world.endpoint(other, "desk", request_handler(10 * MILLISECOND, journal))
        await sleep_us(SECOND)
        assert forwarder.nodes_by_service["desk"][0].incarnation != old[0].incarnation
        forwarder.placement.loads.nodes = {"desk": (NodeLoad(*old[0]),)}
        client = world.client(host)
        found = (await client.call("GET", "/balances/1")).failure()
        assert (found.code, found.verdict.value) == ("home_gone", "not-run")
        await sleep_us(SECOND)
        assert is_successful(await client.call("GET", "/balances/1"))  # by the next list

    run(scenario, application=("paper", "desk"))
