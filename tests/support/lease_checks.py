"""Who holds the load collector's lease, and that it is one at most."""

from __future__ import annotations


def registries(world):
    return [p for name, p in world.processes.items() if name.startswith("mdreg") and p.node]


def lease_holders(world):
    """{host: epoch} of all that believe at this moment that their lease is valid."""
    found = {p.host: p.node.daemon.election.epoch for p in registries(world) if p.node.daemon}
    return {host: epoch for host, epoch in found.items() if epoch is not None}


async def wait_for_single_holder(world):
    await world.eventually(lambda: len(lease_holders(world)) == 1)
    return next(iter(lease_holders(world).items()))


def isolate(world, host):
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(host, other)
