"""Find the holders of the load collector's lease."""

from __future__ import annotations


def registries(world):
    return [
        process
        for name, process in world.processes.items()
        if name.startswith("mdreg") and process.node
    ]


def lease_holders(world):
    """Return {host: epoch} of all registries that consider their lease valid at this moment."""
    epochs = {
        process.host: process.node.daemon.election.epoch
        for process in registries(world)
        if process.node.daemon
    }
    return {host: epoch for host, epoch in epochs.items() if epoch is not None}


async def wait_for_single_holder(world):
    """Wait until exactly one registry holds the lease, and return its (host, epoch)."""
    await world.eventually(lambda: len(lease_holders(world)) == 1)
    return next(iter(lease_holders(world).items()))


def isolate(world, host):
    for other in [*world.core, *world.application]:
        if other != host:
            world.web.cut(host, other)
