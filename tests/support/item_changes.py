"""Changes by items at a simulated core, and what it then holds."""

from __future__ import annotations

from meadowdock.configuration import items as config_items


async def send_change(world, items, core=0):
    return await world.operate("POST", "/items", {"items": items}, core)


async def apply_change(world, items, core=0):
    status, told = await send_change(world, items, core)
    assert (status, told.get("state")) == (200, "accepted"), told
    return told["version"]


async def current_items(world, core=0):
    status, told = await world.operate("GET", "/items", core=core)
    assert status == 200, told
    return {config_items.item_key(item): item for item in told["items"]}


async def start_core(world):
    """The core alone: no manifest was ever set."""
    await world.start_all()
    for host in world.core:
        await world.eventually(lambda h=host: not world.node("mdconf", h).unready_reasons())
