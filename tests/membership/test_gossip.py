"""Gossip in the simulated mesh: joining, dying, coming back, seeds that are down."""

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
        left = world.daemon("mdreg", world.core[2])
        await world.eventually(lambda: proxies <= set(left.proxies.records))
        for host in hosts(world):
            view = world.node("mdproxy", host).view
            await world.eventually(lambda v=view: len(v.core_members("mdconf")) == 3)

    run(scenario, application=("desk",) * 12)


def test_a_dead_a_leaving_and_a_returning_process_are_noticed():
    async def scenario(world):
        await start_configured(world)
        host = hosts(world)[0]
        address = f"{host}:7401"
        reg = world.daemon("mdreg", world.core[0])
        first = reg.proxies.records[address].heartbeat.incarnation
        world.kill(f"mdproxy@{host}")
        assert await world.eventually(lambda: address not in reg.proxies) <= 3 * SECOND
        await world.start("mdproxy", host)
        await world.eventually(lambda: address in reg.proxies)
        assert reg.proxies.records[address].heartbeat.incarnation > first
        await world.stop(f"mdproxy@{host}")
        assert address not in reg.proxies  # notified, not timed out

    run(scenario)
