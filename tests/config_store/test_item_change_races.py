"""Operators that give one number different contents at different members, under faults."""

from __future__ import annotations

from collections import defaultdict

import pytest
import trio
from core_faults import inject_random_faults
from item_builders import service
from item_changes import start_core
from operator_requests import send_until_final

from meadowdock.runtime import MILLISECOND, SECOND, sleep_us
from meadowdock.simulator import run

OPERATORS, TURNS = 4, 8


def content_of(item):
    return None if item["spec"] is None else item["spec"].get("health")


async def operate(world, which, done):
    """One version after the other, as all operators do; each with a content of its own."""
    for turn in range(1, TURNS + 1):
        item = service("shared", turn, health=f"/{which}")
        if world.rng.random() < 0.2:
            item |= {"spec": None, "source": f"<{which}>"}
        items = [item, service(f"own{which}", turn)]
        done.append(await send_until_final(world, items, world.rng.randrange(3)))
        await sleep_us(world.rng.randrange(200) * MILLISECOND)


@pytest.mark.parametrize("seed", range(6))
def test_at_most_one_content_is_acknowledged_under_one_number(seed):
    async def scenario(world):
        await start_core(world)
        done = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject_random_faults, world)
            async with trio.open_nursery() as operators:
                for which in range(OPERATORS):
                    operators.start_soon(operate, world, which, done)
            nursery.cancel_scope.cancel()
        world.web.heal()
        for host in world.core:
            if f"mdconf@{host}" in world.processes:
                world.processes[f"mdconf@{host}"].wake()
            else:
                await world.start("mdconf", host)
        await sleep_us(5 * SECOND)
        contents = defaultdict(set)
        for made in done:
            assert made.status in (200, 409), made
            if made.status == 200:
                for item in made.items:
                    key = item["name"], item["version"]
                    contents[key].add((content_of(item), item["source"]))
        assert all(len(taken) == 1 for taken in contents.values()), contents
        assert len([key for key in contents if key[0] == "shared"]) == TURNS
        # whatever was answered is answered again, by every member
        for made in done:
            for core in range(3):
                again = await send_until_final(world, made.items, core)
                assert again.status == made.status, (made, again)

    run(scenario, seed, application=())
