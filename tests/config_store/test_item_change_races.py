"""Operators that give one version different contents at different members, under faults."""

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


async def operate(world, operator, outcomes):
    """Make one version after the other, each with a content of this operator."""
    for turn in range(1, TURNS + 1):
        item = service("shared", turn, health=f"/{operator}")
        if world.rng.random() < 0.2:
            item |= {"spec": None, "source": f"<{operator}>"}
        items = [item, service(f"own{operator}", turn)]
        outcomes.append(await send_until_final(world, items, world.rng.randrange(3)))
        await sleep_us(world.rng.randrange(200) * MILLISECOND)


@pytest.mark.parametrize("seed", range(6))
def test_at_most_one_content_is_acknowledged_under_one_version(seed):
    async def scenario(world):
        await start_core(world)
        outcomes = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject_random_faults, world)
            async with trio.open_nursery() as operator_nursery:
                for operator in range(OPERATORS):
                    operator_nursery.start_soon(operate, world, operator, outcomes)
            nursery.cancel_scope.cancel()
        world.web.heal()
        for host in world.core:
            if f"mdconf@{host}" in world.processes:
                world.processes[f"mdconf@{host}"].wake()
            else:
                await world.start("mdconf", host)
        await sleep_us(5 * SECOND)
        contents = defaultdict(set)
        for outcome in outcomes:
            assert outcome.status in (200, 409), outcome
            if outcome.status == 200:
                for item in outcome.items:
                    key = item["name"], item["version"]
                    contents[key].add((content_of(item), item["source"]))
        assert all(len(accepted) == 1 for accepted in contents.values()), contents
        assert len([key for key in contents if key[0] == "shared"]) == TURNS
        # every member gives the same answer to a repeated call
        for outcome in outcomes:
            for core in range(3):
                repeated = await send_until_final(world, outcome.items, core)
                assert repeated.status == outcome.status, (outcome, repeated)

    run(scenario, seed, application=())
