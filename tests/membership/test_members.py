"""Membership by shuffled partial views: joining, dying, coming back, seeds that are down."""

from __future__ import annotations

import random

from mesh import configured, hosts

from meadowdock.membership import CORE_VIEW_MAX, VIEW_MAX, GossipMembership, MemberEntry
from meadowdock.runtime import SECOND, sleep_us
from meadowdock.simulator import run


def entry(address, incarnation=1, beat=0, role="mdproxy", leaving=False):
    return MemberEntry(address, role, "a", incarnation, beat, leaving, 0)


def view():
    quiet = lambda *_, **__: None  # noqa: E731
    return GossipMembership(entry("me"), (), random.Random(1), None, quiet)


def test_only_newer_news_counts_and_the_dead_stay_dead():
    seen = view()
    seen.merge([entry("a", 1, 5)], 0)
    seen.merge([entry("a", 1, 4)], 9 * SECOND)
    for at in range(0, 9 * SECOND, SECOND):
        seen.expire(at)
    assert "a" not in seen.entries  # old news did not keep it alive
    seen.merge([entry("a", 1, 5)], 9 * SECOND)
    assert "a" not in seen.entries  # nor brought it back
    seen.merge([entry("a", 2, 0)], 9 * SECOND)
    assert seen.entries["a"].entry.incarnation == 2  # a new incarnation is another process
    seen.merge([entry("a", 2, 1, leaving=True)], 9 * SECOND)
    assert "a" not in seen.entries


def test_its_own_standstill_is_not_blamed_on_others():
    seen = view()
    seen.merge([entry("a", 1, 5)], 0)
    seen.expire(60 * SECOND)
    assert "a" in seen.entries
    for at in range(60 * SECOND, 70 * SECOND, SECOND):
        seen.expire(at)
    assert "a" not in seen.entries


def test_the_view_is_partial_and_the_core_has_its_shelf():
    seen = view()
    seen.merge([entry(f"p{n}") for n in range(50)], 0)
    seen.merge([entry(f"c{n}", role="mdreg") for n in range(40)], 0)
    roles = [s.entry.role for s in seen.entries.values()]
    assert (roles.count("mdproxy"), roles.count("mdreg")) == (VIEW_MAX, CORE_VIEW_MAX)


def test_a_process_whose_clock_went_back_overtakes_its_former_self():
    seen = view()
    seen.merge([entry("me", incarnation=99)], 0)
    assert seen.me.incarnation == 100


def test_all_find_one_another_with_two_of_three_seeds_down():
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


def test_a_death_a_leaving_and_a_return_are_seen_as_such():
    async def scenario(world):
        await configured(world)
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
        assert address not in reg.proxies  # told, not timed out

    run(scenario)
