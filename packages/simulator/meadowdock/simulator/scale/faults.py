"""The effects of faults on a fleet of hollow nodes, on the virtual clock."""

from __future__ import annotations

from functools import partial

from meadowdock.runtime import SECOND, monotonic_us, sleep_us
from meadowdock.simulator.scale.fleet import HollowFleet
from meadowdock.simulator.scale.places import CHANGED_WAIT_US, VOTERS
from meadowdock.simulator.world import run


def run_fault(kind: str, n: int, seed: int = 1) -> dict:
    """Inject one fault into a fleet of size n; return its effects, times in seconds."""
    return {"fault": kind, "nodes": n, **run(partial(FAULTS[kind], n), seed)}


async def peak_kb_s(fleet, since):
    """Return the most KB that a proxy sent and received in one second, up to 5 s after the fault."""
    await sleep_us(5 * SECOND)
    return max(
        size / 1000
        for (node, second), size in fleet.meter.by_second.items()
        if node.startswith("mdproxy") and second > since // SECOND
    )


async def rack_failure(n, world):
    """Kill a tenth of the proxies at once."""
    fleet = HollowFleet(world, n)
    await fleet.start()
    begun = monotonic_us()
    for host in list(world.application)[: n // 10]:
        world.kill(f"mdproxy@{host}")
    took, _ = await fleet.change(CHANGED_WAIT_US)
    await fleet.wait_until(fleet.all_listed)
    return {
        "hit": f"{n // 10} proxies killed at once",
        "change_s": took,
        "lists_right_s": (monotonic_us() - begun) / SECOND,
        "peak_kb_s": await peak_kb_s(fleet, begun),
    }


def cut_off_zones(world, zones):
    """Cut some zones off from the others; return their hosts."""
    away = {host for host, zone in world.zones.items() if zone in zones}
    pairs = {(inside, outside) for inside in away for outside in world.zones if outside not in away}
    world.web.cuts |= pairs | {(outside, inside) for inside, outside in pairs}
    return away


async def partitioned_zones(zones, lasting, n, world):
    """Cut some zones off for a time, and change the configuration meanwhile."""
    fleet = HollowFleet(world, n)
    await fleet.start()
    begun = monotonic_us()
    away = cut_off_zones(world, zones)
    inside = [proxy for proxy in fleet.proxies() if proxy.settings.host not in away]
    store = next(k for k, host in enumerate(world.core[:VOTERS]) if host not in away)
    took, version = await fleet.change(CHANGED_WAIT_US, store, inside)
    await sleep_us(begun + lasting - monotonic_us())
    healed = monotonic_us()
    world.web.heal()
    back = await fleet.wait_until(partial(fleet.in_force, version))
    await fleet.wait_until(fleet.all_listed)
    return {
        "hit": f"zones {','.join(zones)} ({len(away)} of {len(world.zones)} machines) "
        f"cut off for {lasting // SECOND} s",
        "change_s": took,
        "everywhere_after_heal_s": back / SECOND,
        "lists_right_s": (monotonic_us() - healed) / SECOND,
        "peak_kb_s": await peak_kb_s(fleet, begun),
    }


async def rolling_restart(n, world):
    """Restart a fifth of the proxies, one after another; change the configuration midway."""
    fleet = HollowFleet(world, n)
    await fleet.start()
    begun, slowest = monotonic_us(), 0
    hosts = list(world.application)[::5]
    for index, host in enumerate(hosts):
        await world.stop(f"mdproxy@{host}")
        if index == len(hosts) // 2:
            slowest, _ = await fleet.change(CHANGED_WAIT_US)
        await fleet.start_proxy(host)
    over = monotonic_us()
    await fleet.wait_until(fleet.all_listed)
    return {
        "hit": f"{len(hosts)} proxies stopped and started, one after another",
        "change_s": slowest,
        "lists_right_s": (monotonic_us() - over) / SECOND,
        "peak_kb_s": await peak_kb_s(fleet, begun),
    }


FAULTS = {
    "rack": rack_failure,
    "zone": partial(partitioned_zones, "a", 10 * SECOND),
    "regions": partial(partitioned_zones, "def", 30 * SECOND),
    "rolling": rolling_restart,
}
