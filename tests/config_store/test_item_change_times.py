"""How long orders take until they are acknowledged, while a majority is in touch (virtual time)."""

from __future__ import annotations

from collections import Counter

import pytest
import trio
from item_builders import service
from item_changes import start_core
from operator_requests import send_until_final

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run

SEEDS = range(4)
SLOW = SECOND
CUT_FOR = 20 * SECOND


def fresh(n):
    """A new version of one item."""
    return [service("desk", n + 1, health=f"/{n}")]


async def one_after_the_other(world, count, pause=300 * MILLISECOND):
    """Orders to all members in turn."""
    done = []
    for n in range(count):
        done.append(await send_until_final(world, fresh(n), n % 3))
        await sleep_us(world.rng.randrange(pause))
    return done


async def calm(world):
    return await one_after_the_other(world, 40)


async def one_cut_off(world):
    """For 20 s; then the order under way is ended in calm."""
    away = world.core[world.rng.randrange(3)]
    pairs = [(a, b) for a in world.core for b in world.core if away in (a, b) and a != b]
    done = [await send_until_final(world, fresh(0), 0)]
    for a, b in pairs:
        world.web.cut(a, b, both=False)
    begun, n = monotonic_us(), 1
    while monotonic_us() - begun < CUT_FOR:
        done.append(await send_until_final(world, fresh(n), n % 3))
        n += 1
        await sleep_us(world.rng.randrange(300 * MILLISECOND))
    world.web.heal_links(pairs)
    for n in range(len(done), len(done) + 10):
        done.append(await send_until_final(world, fresh(n), n % 3))
    return done


async def one_disk_stalled(world):
    disk = world.disks["mdconf", world.core[world.rng.randrange(3)]]
    done = [await send_until_final(world, fresh(0), 0)]
    disk.stalled = trio.Event()
    for n in range(1, 40):
        done.append(await send_until_final(world, fresh(n), n % 3))
        await sleep_us(world.rng.randrange(300 * MILLISECOND))
    disk.stalled.set()
    disk.stalled = None
    return done


async def eight_at_once(world):
    """At three members, each order with a version of its own."""
    done = []

    async def operator(which):
        for n in range(10):
            items = [service(f"s{which}", n + 1), service("shared", 8 * n + which + 1)]
            done.append(await send_until_final(world, items, (which + n) % 3))

    async with trio.open_nursery() as nursery:
        for which in range(8):
            nursery.start_soon(operator, which)
    return done


SCENARIOS = [calm, one_cut_off, one_disk_stalled, eight_at_once]


def times(scenario, seed):
    async def whole(world):
        await start_core(world)
        return await scenario(world)

    return run(whole, seed, application=())


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_orders_are_acknowledged_within_a_second(scenario):
    done = [order for seed in SEEDS for order in times(scenario, seed)]
    assert {order.status for order in done} == {200}
    slow = sum(order.duration_us >= SLOW for order in done)
    assert slow * 100 <= len(done), summary(done)


def summary(done):
    """Counts, for who reads a failure: python tests/config_store/test_item_change_times.py prints them."""
    took = sorted(order.duration_us for order in done)
    told = Counter(status for order in done for _, status, _ in order.attempts)
    longest = max(span for order in done for _, _, span in order.attempts)
    under = sum(t < SLOW for t in took)
    return (
        f"under 1 s: {under}, over: {len(took) - under}, median {took[len(took) // 2] // MILLISECOND} ms, "
        f"99th {took[len(took) * 99 // 100] // MILLISECOND} ms, longest {took[-1] // MILLISECOND} ms, "
        f"answers {dict(told)}, longest wait for one answer {longest // MILLISECOND} ms"
    )


if __name__ == "__main__":
    for each in SCENARIOS:
        print(each.__name__, summary([o for seed in range(10) for o in times(each, seed)]))
