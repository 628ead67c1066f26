"""Frames, bytes and state sizes of each role at one fleet size, counted on the virtual clock."""

from __future__ import annotations

import json
import statistics
from collections.abc import Container
from functools import partial

from meadowdock.runtime import SECOND, monotonic_us, sleep_us
from meadowdock.simulator.scale.fleet import HollowFleet
from meadowdock.simulator.scale.meter import mechanism_of
from meadowdock.simulator.scale.places import CHANGED_WAIT_US
from meadowdock.simulator.world import run

WINDOW_US = 10 * SECOND


def count_frames(n: int, seed: int = 1, window: int = WINDOW_US) -> dict:
    """Count frames and bytes of each role at one size, in a steady window and during one change.

    The result's roles are {role: {mechanism: {"frames_s", "kb_s"}}}.
    """
    return run(partial(count_scenario, n, window), seed)


async def count_scenario(n, window, world):
    """Observe a fleet at rest for one window, then one change of its configuration."""
    fleet = HollowFleet(world, n)
    await fleet.start()
    collector = next(node for node in fleet.core("mdreg") if node.daemon.election.epoch is not None)
    rounds, before = collector.daemon.collector.sequence, fleet.meter.snapshot()
    await sleep_us(window)
    rounds, steady = collector.daemon.collector.sequence - rounds, fleet.meter.since(before)
    states, links = state_sizes(fleet), link_counts(fleet)
    before = fleet.meter.snapshot()
    took, _ = await fleet.change(CHANGED_WAIT_US)
    await sleep_us(SECOND)
    changed = fleet.meter.since(before)
    names = nodes_by_role(fleet, collector)
    deliverer = names.pop("deliverer")
    roles = {role: means_by_mechanism(*steady, names[role], window / SECOND) for role in names}
    return {
        "nodes": n,
        "rounds": rounds,
        "change_s": took,
        "states": states,
        "links": links,
        "lists_told": method_total(steady[0], names["collector"], "load.list", "sent"),
        "roles": {**roles, "deliverer": means_by_mechanism(*changed, deliverer)},
    }


def json_size(value) -> int:
    """Return the size of a state as compact JSON, in bytes."""
    return len(json.dumps(value, default=str, separators=(",", ":")))


def state_sizes(fleet):
    """Return the mean size in bytes of each role's state."""
    chunks = fleet.proxies()[0].daemon.delivery.stager.chunks
    return {
        "mdproxy": statistics.mean(map(state_of_proxy, fleet.proxies())),
        "mdreg": statistics.mean(map(state_of_registry, fleet.core("mdreg"))),
        "mdconf": statistics.mean(
            json_size(node.daemon.delivery.node_tables) for node in fleet.core("mdconf")
        ),
        "manifest": sum(map(len, chunks.values())),
    }


def state_of_registry(node):
    """Return the size in bytes of a registry's table of proxies."""
    records = node.daemon.proxies.records
    return json_size({a: (r.heartbeat.wire, r.received_at_us) for a, r in records.items()})


def state_of_proxy(node):
    """Return the size in bytes of a proxy's load lists and membership view."""
    entries = [state.entry for state in node.membership.entries.values()]
    return json_size(node.daemon.forwarder.nodes_by_service) + json_size(entries)


def link_counts(fleet):
    """Return the mean number of links of a proxy, and the fleet's age in seconds."""
    return {
        "mdproxy": statistics.mean(len(proxy.rpc.connections) for proxy in fleet.proxies()),
        "age_s": monotonic_us() / SECOND,
    }


def nodes_by_role(fleet, collector):
    """Return the names of the nodes whose frames are counted, by role."""
    world, registries, stores = fleet.world, fleet.core("mdreg"), fleet.core("mdconf")
    seeds = set(world.boot("mdproxy", next(iter(world.application))).seeds)
    return {
        "mdproxy": [f"mdproxy@{host}" for host in world.application],
        "mdreg": [node.settings.node_name for node in registries if node is not collector],
        "collector": [collector.settings.node_name],
        "mdconf": [node.settings.node_name for node in stores],
        "seed": [
            node.settings.node_name
            for node in (*registries, *stores)
            if node.settings.rpc_address in seeds
        ],
        "deliverer": [stores[0].settings.node_name],
    }


def method_total(counter, names, method, direction):
    """Return the sum of the named nodes' counts of one method and direction."""
    return sum(counter[name, method, direction] for name in names)


def means_by_mechanism(frames, sizes, names: Container[str], seconds: float = 1) -> dict:
    """Return the named nodes' means, sent and received together: {mechanism: {frames_s, kb_s}}."""
    means = {}
    for table, key, unit in ((frames, "frames_s", 1), (sizes, "kb_s", 1000)):
        for (node, method, _), value in table.items():
            if node in names:
                row = means.setdefault(mechanism_of(method), {"frames_s": 0, "kb_s": 0})
                row[key] += value / unit / seconds / len(names)
    return {mechanism: means[mechanism] for mechanism in sorted(means)}
