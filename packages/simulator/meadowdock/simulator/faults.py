"""The kinds of faults that are injected into a simulated day.

Each fault undoes itself by the end of its duration. The name of its function is the fault's kind.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import trio

from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

FAULTS_SPAN_US = 20 * SECOND
# kind -> (weight in the random choice, function of (day, pick, duration_us))
KINDS = {}
# faults that may interrupt service on many machines at once; each is also tested alone
MAJOR = ("black_out", "kill_all", "power_all_conf", "lose_zone", "lose_zones", "cut_core")


def fault_kind(weight):
    def register(inject):
        KINDS[inject.__name__] = weight, inject
        return inject

    return register


@dataclass(frozen=True)
class Fault:
    start_us: int  # since the day's faults began
    kind: str
    pick: int  # selects the target, modulo the number of candidates
    duration_us: int

    def __str__(self):
        return (
            f"{self.start_us / SECOND:6.2f} s  {self.kind} {self.pick} "
            f"for {self.duration_us / SECOND:.2f} s"
        )


def draw_faults(seed, max_faults=6):
    """Return the random faults of a day, ordered by start."""
    rng = random.Random(f"faults{seed}")
    kinds = [name for name, (weight, _) in KINDS.items() for _ in range(weight)]
    return tuple(
        sorted(
            (
                Fault(
                    rng.randrange(0, FAULTS_SPAN_US * 3 // 4),
                    rng.choice(kinds),
                    rng.randrange(60),
                    rng.randrange(300 * MILLISECOND, 5 * SECOND),
                )
                for _ in range(rng.randint(1, max_faults))
            ),
            key=lambda fault: fault.start_us,
        )
    )


@fault_kind(3)
async def kill_proxy(day, pick, duration_us):
    await day.stop_and_restart_one(day.proxy_targets(), pick, duration_us, day.kill)


@fault_kind(2)
async def kill_reg(day, pick, duration_us):
    await day.stop_and_restart_one(day.registry_targets(), pick, duration_us, day.kill)


@fault_kind(3)
async def power_conf(day, pick, duration_us):
    await day.stop_and_restart_one(day.config_store_targets(), pick, duration_us, day.power_off)


@fault_kind(2)
async def power_machine(day, pick, duration_us):
    """Power off one machine, core or application, with everything that runs on it."""
    hosts = day.all_hosts()
    await day.stop_and_restart(
        day.targets_on([hosts[pick % len(hosts)]]), duration_us, day.power_off
    )


@fault_kind(1)
async def power_all_conf(day, pick, duration_us):
    await day.stop_and_restart(day.config_store_targets(), duration_us, day.power_off)


@fault_kind(1)
async def kill_all(day, pick, duration_us):
    await day.stop_and_restart(
        [*day.proxy_targets(), *day.registry_targets()], duration_us, day.kill
    )


@fault_kind(1)
async def black_out(day, pick, duration_us):
    await day.stop_and_restart(day.targets_on(day.all_hosts()), duration_us, day.power_off)


@fault_kind(1)
async def lose_zone(day, pick, duration_us):
    await day.stop_and_restart(day.targets_on(day.hosts_in_zone(pick)), duration_us, day.power_off)


@fault_kind(1)
async def lose_zones(day, pick, duration_us):
    """Power off two zones, the second a little later."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            day.stop_and_restart,
            day.targets_on(day.hosts_in_zone(pick)),
            duration_us,
            day.power_off,
        )
        await sleep_us(duration_us // 3)
        await day.stop_and_restart(
            day.targets_on(day.hosts_in_zone(pick + 1)), duration_us // 2, day.power_off
        )


@fault_kind(2)
async def hit_collector(day, pick, duration_us):
    """Kill or freeze the registry that holds the collector's duty at this moment."""
    collectors = [
        ("mdreg", h)
        for h in day.world.core
        if f"mdreg@{h}" in day.world.processes
        and day.world.daemon("mdreg", h).election.epoch is not None
    ]
    injection = (
        day.stop_and_restart_one(collectors, 0, duration_us, day.kill)
        if pick % 2
        else day.freeze(collectors, 0, duration_us)
    )
    await injection


@fault_kind(3)
async def stop_proxy(day, pick, duration_us):
    await day.restart_gracefully(day.proxy_targets(), pick, duration_us)


@fault_kind(1)
async def stop_reg(day, pick, duration_us):
    await day.restart_gracefully(day.registry_targets(), pick, duration_us)


@fault_kind(2)
async def stop_conf(day, pick, duration_us):
    await day.restart_gracefully(day.config_store_targets(), pick, duration_us)


@fault_kind(1)
async def swap_member(day, pick, duration_us):
    """Replace a core machine by a new one, under load."""
    with day.reserve([("mdconf", h) for h in day.world.core], pick) as chosen:
        reg = chosen and ("mdreg", chosen[1])
        if chosen is None or reg in day.reserved:
            return
        world, old = day.world, chosen[1]
        day.replacement_count += 1
        new = f"10.0.2.{day.replacement_count}"
        world.zones[new] = world.zones[old]
        day.reserved |= {("mdconf", new), ("mdreg", new), reg}
        await world.start("mdreg", new)
        await world.start("mdconf", new)
        request = {"old": f"{old}:7421", "new": f"{new}:7421"}
        changed = False
        with deadline_scope(monotonic_us() + 6 * SECOND):
            while not changed:
                core = next((i for i, h in enumerate(world.core) if h != old), 0)
                changed = await day.try_members_change(request, core)
                await sleep_us(300 * MILLISECOND)
        if changed:
            world.core[world.core.index(old)] = new
        removed = old if changed else new
        for role in ("mdreg", "mdconf"):
            if f"{role}@{removed}" in world.processes:
                world.kill(f"{role}@{removed}")
        day.reserved -= {("mdconf", new), ("mdreg", new), reg}


async def replace(day, pick, duration_us, service_of):
    """Kill an endpoint; start one of another service there for 2 s if service_of says so.

    The machine's own endpoint is started again in the end.
    """
    with day.reserve(day.endpoint_targets(), pick) as chosen:
        if chosen is None:
            return
        host = chosen[1]
        day.world.kill(f"endpoint@{host}:8000")
        await sleep_us(duration_us)
        own = day.world.application[host]
        other = service_of(own)
        if other != own:
            await day.place_endpoint(host, other, wait=False)
            await sleep_us(2 * SECOND)
            day.world.kill(f"endpoint@{host}:8000")
        await day.place_endpoint(host, own, wait=False)


@fault_kind(3)
async def kill_endpoint(day, pick, duration_us):
    await replace(day, pick, duration_us, lambda own: own)


@fault_kind(2)
async def reuse_address(day, pick, duration_us):
    """Give an endpoint's address to another service almost at once, and give it back later."""
    await replace(day, pick, duration_us // 50, lambda own: "paper" if own == "desk" else "desk")


@fault_kind(3)
async def drain(day, pick, duration_us):
    with day.reserve(day.endpoint_targets(), pick) as chosen:
        if chosen is None:
            return
        host = chosen[1]
        endpoint = day.endpoints[host]
        endpoint.draining = True
        with deadline_scope(monotonic_us() + 3 * SECOND):
            while endpoint.token is None:
                await sleep_us(50 * MILLISECOND)
            status, _ = await endpoint.post_to_proxy(
                "/md/beat",
                {"token": endpoint.token, "capacity": endpoint.capacity, "draining": True},
            )
            if status == 200:
                day.history.drains[endpoint.incarnation] = monotonic_us()
        await sleep_us(max(duration_us, 3 * SECOND))
        day.world.kill(f"endpoint@{host}:8000")
        await day.place_endpoint(host, day.world.application[host], wait=False)


@fault_kind(2)
async def slow(day, pick, duration_us):
    await day.degrade_endpoints([pick], duration_us, took_us=600 * MILLISECOND)


@fault_kind(2)
async def overload(day, pick, duration_us):
    """Make every endpoint so slow that the load exceeds the total capacity."""
    await day.degrade_endpoints(
        range(len(day.endpoint_behaviour)), duration_us, took_us=900 * MILLISECOND
    )


@fault_kind(3)
async def garbage(day, pick, duration_us):
    await day.degrade_endpoints([pick], duration_us, garbage=0.5)


@fault_kind(1)
async def garbage_all(day, pick, duration_us):
    await day.degrade_endpoints(range(len(day.endpoint_behaviour)), duration_us, garbage=0.5)


@fault_kind(3)
async def lose_answers(day, pick, duration_us):
    address = sorted(day.endpoint_behaviour)[pick % len(day.endpoint_behaviour)]
    day.world.web.losing[address] = 0.5
    await sleep_us(duration_us)
    day.world.web.losing.pop(address, None)


def between(local, remote):
    return {p for a in local for b in remote if a != b for p in ((a, b), (b, a))}


async def cut(day, pairs, duration_us):
    day.world.web.cuts |= pairs
    await sleep_us(duration_us)
    day.world.web.heal_links(pairs)


@fault_kind(3)
async def cut_core(day, pick, duration_us):
    """Partition one core machine, or a minority of the core, from all other machines."""
    core = list(day.world.core)
    side = core[: 1 + pick % (len(core) // 2)]
    await cut(day, between(side, set(day.all_hosts()) - set(side)), duration_us)


@fault_kind(2)
async def cut_off_core(day, pick, duration_us):
    """Partition all application machines, or every second one, from the whole core."""
    application = list(day.world.application)
    await cut(day, between(application[:: 1 + pick % 2], day.world.core), duration_us)


@fault_kind(2)
async def one_way(day, pick, duration_us):
    hosts = day.all_hosts()
    chosen = hosts[pick % len(hosts)]
    await cut(day, {(h, chosen) for h in hosts if h != chosen}, duration_us)


@fault_kind(3)
async def isolate(day, pick, duration_us):
    application = list(day.world.application)
    chosen = application[pick % len(application)]
    await cut(day, between([chosen], day.all_hosts()), duration_us)


@fault_kind(2)
async def cut_zones(day, pick, duration_us):
    """Partition the application machines of one zone from the others; all still reach the core."""
    inside = set(day.hosts_in_zone(pick)) & set(day.world.application)
    await cut(day, between(inside, set(day.world.application) - inside), duration_us)


@fault_kind(2)
async def reset_links(day, pick, duration_us):
    """Reset every connection of one machine at once."""
    host = day.all_hosts()[pick % len(day.all_hosts())]
    for process in list(day.world.processes.values()):
        if process.host == host:
            process.net.reset()
    await sleep_us(0)


@fault_kind(2)
async def slow_links(day, pick, duration_us):
    """Delay every message to or from one machine by a random 20 to 120 ms."""
    host = day.all_hosts()[pick % len(day.all_hosts())]
    day.world.web.slow[host] = 20 * MILLISECOND, 120 * MILLISECOND
    await sleep_us(duration_us)
    day.world.web.slow.pop(host, None)


@fault_kind(2)
async def late_lists(day, pick, duration_us):
    """Delay or lose all load lists."""
    day.world.meddle["load.list"] = None if pick % 2 else 700 * MILLISECOND
    await sleep_us(duration_us)
    day.world.meddle.pop("load.list", None)


@fault_kind(3)
async def freeze_proxy(day, pick, duration_us):
    await day.freeze(day.proxy_targets(), pick, duration_us)


@fault_kind(2)
async def freeze_reg(day, pick, duration_us):
    await day.freeze(day.registry_targets(), pick, duration_us)


@fault_kind(2)
async def freeze_conf(day, pick, duration_us):
    await day.freeze(day.config_store_targets(), pick, duration_us)


@fault_kind(2)
async def freeze_endpoint(day, pick, duration_us):
    await day.freeze(day.endpoint_targets(), pick, duration_us)


@fault_kind(1)
async def freeze_zone(day, pick, duration_us):
    async with trio.open_nursery() as nursery:
        for process in day.targets_on(day.hosts_in_zone(pick)):
            nursery.start_soon(day.freeze, [process], 0, duration_us)


@fault_kind(2)
async def lose_disk(day, pick, duration_us):
    """Power off a config store and lose its disk; it restarts with a blank one."""
    await day.lose_disks(1, pick, duration_us)


@fault_kind(1)
async def lose_minority(day, pick, duration_us):
    """Lose as many disks at once as the register tolerates."""
    await day.lose_disks((len(day.world.core) - 1) // 2, pick, duration_us)


@fault_kind(2)
async def rot(day, pick, duration_us):
    """Corrupt a file of the register, or a range file, under the running process."""
    with day.reserve(day.config_store_targets(), pick) as chosen:
        disk = chosen and day.world.disks[chosen]
        names = sorted(n for n in disk.files if n[:4] in ("key/", "blob")) if disk else []
        if not names:
            return
        disk.rot(names[pick % len(names)])
        await sleep_us(duration_us)
        if pick % 2:  # then restart the process on the corrupt file
            await day.stop_and_restart([chosen], SECOND, day.kill, already_reserved=True)
            await day.wait_until_repaired(chosen[1])


@fault_kind(2)
async def stall_disk(day, pick, duration_us):
    with day.reserve([("disk", host) for host in day.world.core], pick) as chosen:
        if chosen is None:
            return
        disk = day.world.disks["mdconf", chosen[1]]
        disk.stalled = trio.Event()
        await sleep_us(duration_us)
        stalled, disk.stalled = disk.stalled, None
        stalled.set()


@fault_kind(2)
async def slow_disk(day, pick, duration_us):
    disk = day.world.disks["mdconf", day.world.core[pick % len(day.world.core)]]
    disk.step_us = 40 * MILLISECOND
    await sleep_us(duration_us)
    disk.step_us = 300


@fault_kind(2)
async def full_disk(day, pick, duration_us):
    disk = day.world.disks["mdconf", day.world.core[pick % len(day.world.core)]]
    disk.full = True
    await sleep_us(duration_us)
    disk.full = False


@fault_kind(2)
async def broken_manifest(day, pick, duration_us):
    """Submit invalid manifests, racing with the operators' own changes."""
    for number in range(3):
        await day.submit_invalid_manifest(pick + number)
        await sleep_us(duration_us // 3)


@fault_kind(1)
async def large_manifest(day, pick, duration_us):
    """Configure a manifest of 600 routes, racing with small changes."""
    await day.change_configuration(
        f"large{pick}-{monotonic_us()}", pick % len(day.world.core), ways=600
    )
