"""Routes that are removed or change service during calls: the receiving proxy checks again."""

from __future__ import annotations

from manifests import manifest, manifest_route
from mesh import counts, hosts, request_handler, serving
from returns.pipeline import is_successful

from meadowdock.load_sharing import NodeLoad
from meadowdock.runtime import MILLISECOND, SECOND, sleep_us
from meadowdock.simulator import run


async def keep_old_manifest_at_first(world, new):
    """Configure a new manifest while the first proxy is cut off and keeps the old one.

    All other proxies get the new one. Return the host of the first proxy.
    """
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


def test_peer_with_the_new_manifest_rejects_a_removed_route():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host = await keep_old_manifest_at_first(world, without("withdrawals"))
        client = world.client(host)
        rejection = (await client.call("POST", "/withdrawals", {"a": 1})).failure()
        assert rejection.verdict.value == "not-run"
        assert counts(world, host)["spill.shed.way_unknown"] == 1
        assert journal == []

    run(scenario, application=("paper", "desk"))


def test_path_moved_to_another_service_is_rejected_for_the_old_route():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        moved = manifest_route("balances", "/balances", service="paper")
        host = await keep_old_manifest_at_first(world, without("balances", moved))
        rejection = (await world.client(host).call("GET", "/balances/1")).failure()
        assert rejection.verdict.value == "not-run"
        assert counts(world, host)["spill.shed.way_forbidden"] == 1
        assert journal == []

    run(scenario, application=("paper", "desk", "paper"))


def test_call_by_an_outdated_list_does_not_reach_a_later_incarnation():
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
        rejection = (await client.call("GET", "/balances/1")).failure()
        assert (rejection.code, rejection.verdict.value) == ("home_gone", "not-run")
        await sleep_us(SECOND)
        assert is_successful(await client.call("GET", "/balances/1"))  # with the next list

    run(scenario, application=("paper", "desk"))
