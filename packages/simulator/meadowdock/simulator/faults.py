"""Kinds of faults that strike a day. Each undoes itself after its span, or sooner."""

from __future__ import annotations

import random
from dataclasses import dataclass

import trio

from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

STORM = 20 * SECOND
# kind -> (weight in the draw, what it does with (day, place, span))
KINDS = {}
# what may take service away from many at once; each is also tried alone
MAJOR = ("black_out", "kill_all", "power_all_conf", "lose_zone", "lose_zones", "cut_core")


def kind(weight):
    def register(strike):
        KINDS[strike.__name__] = weight, strike
        return strike

    return register


@dataclass(frozen=True)
class Fault:
    at: int  # from the storm's begin
    kind: str
    place: int  # which machine, modulo their number
    span: int

    def __str__(self):
        return f"{self.at / SECOND:6.2f} s  {self.kind} {self.place} for {self.span / SECOND:.2f} s"


def draw(seed, most=6):
    rng = random.Random(f"faults{seed}")
    kinds = [name for name, (weight, _) in KINDS.items() for _ in range(weight)]
    return tuple(
        sorted(
            (
                Fault(
                    rng.randrange(0, STORM * 3 // 4),
                    rng.choice(kinds),
                    rng.randrange(60),
                    rng.randrange(300 * MILLISECOND, 5 * SECOND),
                )
                for _ in range(rng.randint(1, most))
            ),
            key=lambda fault: fault.at,
        )
    )


@kind(3)
async def kill_proxy(day, place, span):
    await day.one(day.proxies(), place, span, day.kill)


@kind(2)
async def kill_reg(day, place, span):
    await day.one(day.regs(), place, span, day.kill)


@kind(3)
async def power_conf(day, place, span):
    await day.one(day.confs(), place, span, day.power)


@kind(2)
async def power_machine(day, place, span):
    """All that runs on one machine, core or application, at once."""
    hosts = day.everybody()
    await day.down_and_up(day.on([hosts[place % len(hosts)]]), span, day.power)


@kind(1)
async def power_all_conf(day, place, span):
    await day.down_and_up(day.confs(), span, day.power)


@kind(1)
async def kill_all(day, place, span):
    await day.down_and_up([*day.proxies(), *day.regs()], span, day.kill)


@kind(1)
async def black_out(day, place, span):
    await day.down_and_up(day.on(day.everybody()), span, day.power)


@kind(1)
async def lose_zone(day, place, span):
    await day.down_and_up(day.on(day.zone(place)), span, day.power)


@kind(1)
async def lose_zones(day, place, span):
    """Two zones, the second a little later."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(day.down_and_up, day.on(day.zone(place)), span, day.power)
        await sleep_us(span // 3)
        await day.down_and_up(day.on(day.zone(place + 1)), span // 2, day.power)


@kind(2)
async def hit_collector(day, place, span):
    """The one that holds the duty at this moment, killed or frozen."""
    holders = [
        ("mdreg", h)
        for h in day.world.core
        if f"mdreg@{h}" in day.world.processes
        and day.world.daemon("mdreg", h).election.epoch is not None
    ]
    hit = day.one(holders, 0, span, day.kill) if place % 2 else day.freeze(holders, 0, span)
    await hit


@kind(3)
async def stop_proxy(day, place, span):
    await day.restart(day.proxies(), place, span)


@kind(1)
async def stop_reg(day, place, span):
    await day.restart(day.regs(), place, span)


@kind(2)
async def stop_conf(day, place, span):
    await day.restart(day.confs(), place, span)


@kind(1)
async def swap_member(day, place, span):
    """A core machine's place is taken by a new one, under load."""
    with day.hold([("mdconf", h) for h in day.world.core], place) as chosen:
        reg = chosen and ("mdreg", chosen[1])
        if chosen is None or reg in day.touched:
            return
        world, old = day.world, chosen[1]
        day.newcomers += 1
        new = f"10.0.2.{day.newcomers}"
        world.zones[new] = world.zones[old]
        day.touched |= {("mdconf", new), ("mdreg", new), reg}
        await world.start("mdreg", new)
        await world.start("mdconf", new)
        facts = {"old": f"{old}:7421", "new": f"{new}:7421"}
        changed = False
        with deadline_scope(monotonic_us() + 6 * SECOND):
            while not changed:
                core = next((i for i, h in enumerate(world.core) if h != old), 0)
                changed = await day.members_accepted(facts, core)
                await sleep_us(300 * MILLISECOND)
        if changed:
            world.core[world.core.index(old)] = new
        removed = old if changed else new
        for role in ("mdreg", "mdconf"):
            if f"{role}@{removed}" in world.processes:
                world.kill(f"{role}@{removed}")
        day.touched -= {("mdconf", new), ("mdreg", new), reg}


async def replace(day, place, span, service_of):
    with day.hold(day.placed(), place) as chosen:
        if chosen is None:
            return
        host = chosen[1]
        day.world.kill(f"endpoint@{host}:8000")
        await sleep_us(span)
        own = day.world.application[host]
        other = service_of(own)
        if other != own:
            await day.place_endpoint(host, other, wait=False)
            await sleep_us(2 * SECOND)
            day.world.kill(f"endpoint@{host}:8000")
        await day.place_endpoint(host, own, wait=False)


@kind(3)
async def kill_endpoint(day, place, span):
    await replace(day, place, span, lambda own: own)


@kind(2)
async def reuse_address(day, place, span):
    """The address passes to another service at once, and later back."""
    await replace(day, place, span // 50, lambda own: "paper" if own == "desk" else "desk")


@kind(3)
async def drain(day, place, span):
    with day.hold(day.placed(), place) as chosen:
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
        await sleep_us(max(span, 3 * SECOND))
        day.world.kill(f"endpoint@{host}:8000")
        await day.place_endpoint(host, day.world.application[host], wait=False)


@kind(2)
async def slow(day, place, span):
    await day.turn([place], span, took_us=600 * MILLISECOND)


@kind(2)
async def overload(day, place, span):
    """Every endpoint so slow that all calls together are beyond all capacity."""
    await day.turn(range(len(day.knobs)), span, took_us=900 * MILLISECOND)


@kind(3)
async def garbage(day, place, span):
    await day.turn([place], span, garbage=0.5)


@kind(1)
async def garbage_all(day, place, span):
    await day.turn(range(len(day.knobs)), span, garbage=0.5)


@kind(3)
async def lose_answers(day, place, span):
    address = sorted(day.knobs)[place % len(day.knobs)]
    day.world.web.losing[address] = 0.5
    await sleep_us(span)
    day.world.web.losing.pop(address, None)


def between(local, remote):
    return {p for a in local for b in remote if a != b for p in ((a, b), (b, a))}


async def cut(day, pairs, span):
    day.world.web.cuts |= pairs
    await sleep_us(span)
    day.world.web.heal_links(pairs)


@kind(3)
async def cut_core(day, place, span):
    """One core machine, or a side of the core, away from all the rest."""
    core = list(day.world.core)
    side = core[: 1 + place % (len(core) // 2)]
    await cut(day, between(side, set(day.everybody()) - set(side)), span)


@kind(2)
async def cut_off_core(day, place, span):
    """All application machines, or every second one, away from the whole core."""
    application = list(day.world.application)
    await cut(day, between(application[:: 1 + place % 2], day.world.core), span)


@kind(2)
async def one_way(day, place, span):
    hosts = day.everybody()
    chosen = hosts[place % len(hosts)]
    await cut(day, {(h, chosen) for h in hosts if h != chosen}, span)


@kind(3)
async def isolate(day, place, span):
    application = list(day.world.application)
    chosen = application[place % len(application)]
    await cut(day, between([chosen], day.everybody()), span)


@kind(2)
async def cut_zones(day, place, span):
    """Between the application machines of one zone and the others; all reach the core."""
    inside = set(day.zone(place)) & set(day.world.application)
    await cut(day, between(inside, set(day.world.application) - inside), span)


@kind(2)
async def reset_links(day, place, span):
    """Every connection of one machine breaks at once."""
    host = day.everybody()[place % len(day.everybody())]
    for process in list(day.world.processes.values()):
        if process.host == host:
            process.net.reset()
    await sleep_us(0)


@kind(2)
async def slow_links(day, place, span):
    """A machine whose every message takes 20 to 120 ms more, each another time."""
    host = day.everybody()[place % len(day.everybody())]
    day.world.web.slow[host] = 20 * MILLISECOND, 120 * MILLISECOND
    await sleep_us(span)
    day.world.web.slow.pop(host, None)


@kind(2)
async def late_lists(day, place, span):
    """Load lists that come late, or not at all."""
    day.world.meddle["load.list"] = None if place % 2 else 700 * MILLISECOND
    await sleep_us(span)
    day.world.meddle.pop("load.list", None)


@kind(3)
async def freeze_proxy(day, place, span):
    await day.freeze(day.proxies(), place, span)


@kind(2)
async def freeze_reg(day, place, span):
    await day.freeze(day.regs(), place, span)


@kind(2)
async def freeze_conf(day, place, span):
    await day.freeze(day.confs(), place, span)


@kind(2)
async def freeze_endpoint(day, place, span):
    await day.freeze(day.placed(), place, span)


@kind(1)
async def freeze_zone(day, place, span):
    async with trio.open_nursery() as nursery:
        for process in day.on(day.zone(place)):
            nursery.start_soon(day.freeze, [process], 0, span)


@kind(2)
async def lose_disk(day, place, span):
    """The power goes and with it the disk; the machine comes back with a blank one."""
    await day.lose_disks(1, place, span)


@kind(1)
async def lose_minority(day, place, span):
    """As many disks at once as the register can bear."""
    await day.lose_disks((len(day.world.core) - 1) // 2, place, span)


@kind(2)
async def rot(day, place, span):
    """A file of the register, or a range file, goes bad under the running process."""
    with day.hold(day.confs(), place) as chosen:
        disk = chosen and day.world.disks[chosen]
        names = sorted(n for n in disk.files if n[:4] in ("key/", "blob")) if disk else []
        if not names:
            return
        disk.rot(names[place % len(names)])
        await sleep_us(span)
        if place % 2:  # and then it is started on it
            await day.down_and_up([chosen], SECOND, day.kill, already_touched=True)
            await day.repaired(chosen[1])


@kind(2)
async def stall_disk(day, place, span):
    with day.hold([("disk", host) for host in day.world.core], place) as chosen:
        if chosen is None:
            return
        disk = day.world.disks["mdconf", chosen[1]]
        disk.stalled = trio.Event()
        await sleep_us(span)
        stalled, disk.stalled = disk.stalled, None
        stalled.set()


@kind(2)
async def slow_disk(day, place, span):
    disk = day.world.disks["mdconf", day.world.core[place % len(day.world.core)]]
    disk.step_us = 40 * MILLISECOND
    await sleep_us(span)
    disk.step_us = 300


@kind(2)
async def full_disk(day, place, span):
    disk = day.world.disks["mdconf", day.world.core[place % len(day.world.core)]]
    disk.full = True
    await sleep_us(span)
    disk.full = False


@kind(2)
async def broken_manifest(day, place, span):
    """Invalid ones, racing with what the operators do anyway."""
    for number in range(3):
        await day.break_manifest(place + number)
        await sleep_us(span // 3)


@kind(1)
async def large_manifest(day, place, span):
    """Many hundreds of ways, racing with small changes."""
    await day.change(f"large{place}-{monotonic_us()}", place % len(day.world.core), ways=600)
