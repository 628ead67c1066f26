"""Frames, bytes and states of each role at one size, counted on the virtual clock."""

from __future__ import annotations

import json
import statistics
from collections.abc import Container
from functools import partial

from meadowdock.runtime import SECOND, monotonic_us, sleep_us
from meadowdock.simulator.scale.fleet import Hollow
from meadowdock.simulator.scale.meter import group_of
from meadowdock.simulator.scale.places import CHANGED_WAIT_US
from meadowdock.simulator.world import run

WINDOW = 10 * SECOND


def counted(n: int, seed: int = 1, window: int = WINDOW) -> dict:
    """Counts at one size: {role: {mechanism: {"frames_s", "kb_s"}}}, states, and the change."""
    return run(partial(count_scenario, n, window), seed)


async def count_scenario(n, window, world):
    """A fleet at rest for one window, then one change of its configuration."""
    fleet = Hollow(world, n)
    await fleet.up()
    collector = next(node for node in fleet.core("mdreg") if node.daemon.election.epoch is not None)
    rounds, before = collector.daemon.collector.sequence, fleet.meter.taken()
    await sleep_us(window)
    rounds, steady = collector.daemon.collector.sequence - rounds, fleet.meter.since(before)
    states, links = states_of(fleet), links_of(fleet)
    before = fleet.meter.taken()
    took, _ = await fleet.change(CHANGED_WAIT_US)
    await sleep_us(SECOND)
    changed = fleet.meter.since(before)
    names = names_of_roles(fleet, collector)
    deliverer = names.pop("deliverer")
    roles = {role: by_group(*steady, names[role], window / SECOND) for role in names}
    return {
        "nodes": n,
        "rounds": rounds,
        "change_s": took,
        "states": states,
        "links": links,
        "lists_told": total(steady[0], names["collector"], "load.list", "sent"),
        "roles": {**roles, "deliverer": by_group(*changed, deliverer)},
    }


def packed(value) -> int:
    """Bytes of a state, written plainly."""
    return len(json.dumps(value, default=str, separators=(",", ":")))


def states_of(fleet):
    """Mean bytes of what each role holds."""
    chunks = fleet.proxies()[0].daemon.delivery.stager.chunks
    return {
        "mdproxy": statistics.mean(map(state_of_proxy, fleet.proxies())),
        "mdreg": statistics.mean(map(state_of_registry, fleet.core("mdreg"))),
        "mdconf": statistics.mean(
            packed(node.daemon.delivery.node_tables) for node in fleet.core("mdconf")
        ),
        "manifest": sum(map(len, chunks.values())),
    }


def state_of_registry(node):
    """Bytes of a registry's table of proxies."""
    records = node.daemon.proxies.records
    return packed({a: (r.heartbeat.wire, r.received_at_us) for a, r in records.items()})


def state_of_proxy(node):
    """Bytes of a proxy's load lists and membership view."""
    entries = [state.entry for state in node.membership.entries.values()]
    return packed(node.daemon.forwarder.nodes_by_service) + packed(entries)


def links_of(fleet):
    """How many links a proxy has, and how old the fleet is."""
    return {
        "mdproxy": statistics.mean(len(proxy.rpc.connections) for proxy in fleet.proxies()),
        "age_s": monotonic_us() / SECOND,
    }


def names_of_roles(fleet, collector):
    """The nodes whose frames are counted, by role."""
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


def total(counter, names, method, direction):
    """The sum of the named nodes' counts of one method and direction."""
    return sum(counter[name, method, direction] for name in names)


def by_group(frames, sizes, names: Container[str], seconds: float = 1) -> dict:
    """Means of the named nodes, sent and received together: {mechanism: {frames_s, kb_s}}."""
    found = {}
    for table, key, unit in ((frames, "frames_s", 1), (sizes, "kb_s", 1000)):
        for (node, method, _), value in table.items():
            if node in names:
                row = found.setdefault(group_of(method), {"frames_s": 0, "kb_s": 0})
                row[key] += value / unit / seconds / len(names)
    return {group: found[group] for group in sorted(found)}
