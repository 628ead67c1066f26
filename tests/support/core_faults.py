"""Random faults of core machines while operators send changes."""

from __future__ import annotations

from meadowdock.runtime import MILLISECOND, sleep_us


async def inject_random_faults(world):
    """Partition, power off or freeze one core machine after another, until cancelled."""
    while True:
        victim = world.core[world.rng.randrange(3)]
        pairs = [(a, b) for a in world.core for b in world.core if victim in (a, b) and a != b]
        kind = world.rng.randrange(3)
        if kind == 0:
            one_way = world.rng.random() < 0.5
            for a, b in pairs:
                if not one_way or a == victim:
                    world.web.cut(a, b, both=False)
            await sleep_us(world.rng.randrange(1500) * MILLISECOND)
            world.web.heal_links(pairs)
        elif kind == 1:
            world.power_off("mdconf", victim)
            await sleep_us(world.rng.randrange(500) * MILLISECOND)
            await world.start("mdconf", victim)
        else:
            process = world.processes[f"mdconf@{victim}"]
            process.freeze()
            await sleep_us(world.rng.randrange(1000) * MILLISECOND)
            process.wake()
        await sleep_us(world.rng.randrange(600) * MILLISECOND)
