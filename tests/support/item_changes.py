"""Send changes of items to a simulated core and read its items."""

from __future__ import annotations

from meadowdock.configuration import items as config_items


async def send_change(world, items, core=0):
    return await world.operate("POST", "/items", {"items": items}, core)


async def apply_change(world, items, core=0):
    """Send a change that must be accepted, and return its version."""
    status, body = await send_change(world, items, core)
    assert (status, body.get("state")) == (200, "accepted"), body
    return body["version"]


async def current_items(world, core=0):
    """Return the items in force, by their keys."""
    status, body = await world.operate("GET", "/items", core=core)
    assert status == 200, body
    return {config_items.item_key(item): item for item in body["items"]}


async def start_core(world):
    """Start a fleet and wait until its core is ready; no configuration is set."""
    await world.start_all()
    for host in world.core:
        await world.eventually(lambda h=host: not world.node("mdconf", h).unready_reasons())
