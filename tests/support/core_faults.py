"""Faults that come while operators send their changes."""

from __future__ import annotations

from meadowdock.runtime import MILLISECOND, sleep_us


async def inject_random_faults(world):
    """Cuts, lost power and frozen processes, one after the other."""
    while True:
        away = world.core[world.rng.randrange(3)]
        pairs = [(a, b) for a in world.core for b in world.core if away in (a, b) and a != b]
        kind = world.rng.randrange(3)
        if kind == 0:
            one_way = world.rng.random() < 0.5
            for a, b in pairs:
                if not one_way or a == away:
                    world.web.cut(a, b, both=False)
            await sleep_us(world.rng.randrange(1500) * MILLISECOND)
            world.web.heal_links(pairs)
        elif kind == 1:
            world.power_off("mdconf", away)
            await sleep_us(world.rng.randrange(500) * MILLISECOND)
            await world.start("mdconf", away)
        else:
            process = world.processes[f"mdconf@{away}"]
            process.freeze()
            await sleep_us(world.rng.randrange(1000) * MILLISECOND)
            process.wake()
        await sleep_us(world.rng.randrange(600) * MILLISECOND)
