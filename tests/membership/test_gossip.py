"""Gossip in the simulated mesh: members that join, die, leave or return; seeds that are down."""

from __future__ import annotations

from mesh import hosts, start_configured

from meadowdock.runtime import SECOND, sleep_us
from meadowdock.simulator import run


def test_all_members_are_found_with_two_of_three_seeds_down():
    async def scenario(world):
        for host in world.core:
            for role in ("mdreg", "mdconf"):
                await world.start(role, host)
        await sleep_us(2 * SECOND)
        for host in world.core[:2]:
            world.kill(f"mdreg@{host}")
        for host in hosts(world):
            await world.start("mdproxy", host)
        proxies = {f"{h}:7401" for h in hosts(world)}
        remaining_registry = world.daemon("mdreg", world.core[2])
        await world.eventually(lambda: proxies <= set(remaining_registry.proxies.records))
        for host in hosts(world):
            view = world.node("mdproxy", host).membership
            await world.eventually(lambda v=view: len(v.core_members("mdconf")) == 3)

    run(scenario, application=("desk",) * 12)


def test_a_process_that_dies_returns_or_leaves_is_detected():
    async def scenario(world):
        await start_configured(world)
        host = hosts(world)[0]
        address = f"{host}:7401"
        registry = world.daemon("mdreg", world.core[0])
        first_incarnation = registry.proxies.records[address].heartbeat.incarnation
        world.kill(f"mdproxy@{host}")
        assert await world.eventually(lambda: address not in registry.proxies) <= 3 * SECOND
        await world.start("mdproxy", host)
        await world.eventually(lambda: address in registry.proxies)
        assert registry.proxies.records[address].heartbeat.incarnation > first_incarnation
        await world.stop(f"mdproxy@{host}")
        assert address not in registry.proxies  # notified, not timed out

    run(scenario)
