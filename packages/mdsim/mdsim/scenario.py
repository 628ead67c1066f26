"""Random days: load, operators and faults from one seed, then calm, then the checks."""

from __future__ import annotations

import random
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from mdseam import MILLI, SECOND, HttpBreakdown, now, rest, until
from mdsim.checkers import verify
from mdsim.history import Asked, History, Operated, Ran
from mdsim.net import SimNet
from mdsim.world import run

STORM, CALM = 20 * SECOND, 19 * SECOND
KINDS = {
    "kill_proxy": 3,
    "kill_endpoint": 3,
    "reuse_address": 2,
    "kill_reg": 2,
    "power_conf": 3,
    "kill_all": 1,
    "power_all_conf": 1,
    "lose_hall": 1,
    "cut_core": 3,
    "one_way": 2,
    "isolate": 3,
    "freeze_proxy": 3,
    "freeze_reg": 2,
    "freeze_conf": 2,
    "freeze_endpoint": 2,
    "slow": 2,
    "garbage": 2,
    "lose_answers": 3,
    "drain": 3,
    "stop_proxy": 3,
    "stall_disk": 2,
    "slow_disk": 2,
    "full_disk": 1,
}


KNOBS = {"took_us": 15 * MILLI, "garbage": 0.0}  # of a healthy endpoint


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
    kinds = [kind for kind, weight in KINDS.items() for _ in range(weight)]
    return tuple(
        sorted(
            (
                Fault(
                    rng.randrange(0, STORM * 3 // 4),
                    rng.choice(kinds),
                    rng.randrange(60),
                    rng.randrange(300 * MILLI, 5 * SECOND),
                )
                for _ in range(rng.randint(1, most))
            ),
            key=lambda fault: fault.at,
        )
    )


def manifest(mark):
    def stages(endpoint_us):
        return {
            "arrival": {"wait_us": 200_000, "tries": 1},
            "spill": {"wait_us": 200_000, "tries": 1},
            "endpoint": {"wait_us": endpoint_us, "tries": 1},
        }

    def way(name, service, callers, method, repeat, path=None):
        return {
            "name": name,
            "callers": callers,
            "service": service,
            "methods": [method],
            "path": path or f"/{name}",
            "repeat": repeat,
            "budget": "std",
        }

    return {
        "services": [{"name": n, "identity": True, "echo": True} for n in ("desk", "paper")],
        "budgets": [{"name": "std", **stages(1_500_000)}],
        "ways": [
            way("balances", "desk", ["guest"], "GET", "safe"),
            way("withdrawals", "desk", ["guest"], "POST", "once"),
            way("ledger", "desk", ["paper"], "GET", "safe"),
            way("statements", "paper", ["guest"], "GET", "safe"),
            way(mark, "paper", ["guest"], "GET", "safe", f"/mark/{mark}"),
        ],
    }


class Day:
    """Invariants: touched holds what a fault is at work on, so that none is hit twice at once;
    every fault's undoing is done by the storm's end."""

    def __init__(self, world, faults):
        self.world, self.faults = world, faults
        self.rng = random.Random(f"day{world.seed}")
        self.history = History()
        self.knobs = {}  # address -> {"took_us", "garbage"}
        self.endpoints = {}  # host -> (mdlib Endpoint, process name)
        self.touched = set()
        self.begun = 0
        self.over = False
        self.uid = 0

    # ------------------------------------------------------------ endpoints

    async def place_endpoint(self, host, service, wait=True):
        address = f"{host}:8000"
        knobs = self.knobs.setdefault(address, dict(KNOBS))
        holder = {}

        async def handle(got):
            kind, uid = got.path.strip("/").split("/")[:2]
            made = holder["endpoint"]
            self.history.ran.append(
                Ran(uid, kind, got.caller, now(), service, address, made.incarnation)
            )
            await rest(int(knobs["took_us"] * self.rng.uniform(0.5, 1.5)))
            if self.rng.random() < knobs["garbage"]:
                return 200, self.rng.choice([b'{"uid": ', b"", b'{"uid": "x"} {}'])
            return 200, {"uid": uid, "caller": got.caller, "whole": True}

        async def handle_placed(got):
            while not holder:
                await rest(MILLI)
            return await handle(got)

        holder["endpoint"] = made = await self.world.endpoint(
            host, service, handle_placed, capacity=6, wait=wait
        )
        self.endpoints[host] = made
        return made

    # ------------------------------------------------------------ callers

    async def call(self, host, kind, caller, token=None):
        self.uid += 1
        asked = Asked(f"u{self.uid}", host, kind, caller, now())
        self.history.asked.append(asked)
        net = SimNet(self.world.web, host)
        net.home = self.world.nursery
        once = kind == "withdrawals"
        lines = [(b"md-token", token.encode())] if token else []
        lines += [(b"md-key", asked.uid.encode())] if once and self.rng.random() < 0.5 else []
        body = b'{"amount": 1}' if once else b""
        sent = False

        def started():
            nonlocal sent
            sent = True

        with until(now() + 6 * SECOND):
            try:
                status, headers, answer = await net.http(f"{host}:7400").request(
                    "POST" if once else "GET", f"/{kind}/{asked.uid}", lines, body, started
                )
                asked.heard(status, headers, answer)
            except HttpBreakdown:
                asked.broke(sent)
        asked.answered = now()

    async def callers(self, host, gap_us):
        while not self.over:
            await rest(int(self.rng.expovariate(1 / gap_us)))
            service = self.world.application[host]
            endpoint = self.endpoints.get(host)
            kinds = ["balances", "withdrawals"] if service == "desk" else ["statements"]
            name, token = "guest", None
            if service == "paper" and endpoint and endpoint.token and self.rng.random() < 0.3:
                kinds, name, token = ["ledger"], "paper", endpoint.token
            self.world.nursery.start_soon(self.call, host, self.rng.choice(kinds), name, token)

    # ------------------------------------------------------------ operators

    async def change(self, number, core):
        mark = f"m{number}"
        base = 0
        start = now()
        done = Operated("confirm", start, start, "refused", mark=mark)
        try:
            with until(now() + 15 * SECOND):
                status, told = await self.world.operate("POST", "/plan", manifest(mark), core)
                if status != 200 or not told["plan"]:
                    return
                base = told["base"]
                done.start, done.outcome, done.base = now(), "unclear", base
                self.history.operated.append(done)
                status, told = await self.world.operate(
                    "POST", "/confirm", {"plan": told["plan"]}, core
                )
                if status == 200:
                    done.outcome, done.version = "ok", told["version"]
                elif status in (409, 503, 404):
                    done.outcome = "refused"
        except HttpBreakdown:
            pass
        finally:
            done.end = now()

    async def read(self, core):
        done = Operated("read", now(), 0, "refused")
        try:
            with until(now() + 8 * SECOND):
                status, told = await self.world.operate("GET", "/manifest", core=core)
                if status == 200:
                    done.outcome, done.version = "ok", told["version"]
                    marks = [
                        w["name"] for w in told["manifest"]["ways"] if w["path"][:6] == "/mark/"
                    ]
                    done.mark = marks[0] if marks else ""
        except HttpBreakdown:
            pass
        done.end = now()
        self.history.operated.append(done)
        return done.outcome == "ok"

    async def operators(self):
        number = 0
        cores = len(self.world.core)
        while not self.over:
            for _ in range(self.rng.choice([1, 1, 2])):  # two at once, now and then
                number += 1
                self.world.nursery.start_soon(self.change, number, self.rng.randrange(cores))
            self.world.nursery.start_soon(self.read, self.rng.randrange(cores))
            await rest(self.rng.randrange(SECOND, 4 * SECOND))

    # ------------------------------------------------------------ faults

    async def storm(self):
        async with trio.open_nursery() as nursery:
            for fault in self.faults:
                nursery.start_soon(self.strike, fault)

    async def strike(self, fault):
        await rest(self.begun + fault.at - now())
        await getattr(self, fault.kind)(fault.place, fault.span)

    def pick(self, options, place):
        """The place's turn among what no other fault holds, or None."""
        free = [o for o in options if o not in self.touched]
        return free[place % len(free)] if free else None

    @contextmanager
    def hold(self, options, place):
        """The place's turn among what is free, held against other faults; or None."""
        chosen = self.pick(options, place)
        self.touched |= {chosen} - {None}
        yield chosen
        self.touched.discard(chosen)

    def placed(self):
        return [("endpoint", host) for host in self.endpoints]

    async def down_and_up(self, roles_hosts, span, end):
        """End processes, and start them again after a while."""
        mine = [rh for rh in roles_hosts if rh not in self.touched]
        self.touched |= set(mine)
        for role, host in mine:
            end(role, host)
        await rest(span)
        async with trio.open_nursery() as nursery:
            for role, host in mine:
                nursery.start_soon(self.world.start, role, host)
        self.touched -= set(mine)

    def kill(self, role, host):
        self.world.kill(f"{role}@{host}")

    def power(self, role, host):
        self.world.power_off(role, host)

    def proxies(self):
        return [("mdproxy", h) for h in self.world.application]

    def regs(self):
        return [("mdreg", h) for h in self.world.core]

    def confs(self):
        return [("mdconf", h) for h in self.world.core]

    async def one(self, options, place, span, end):
        chosen = self.pick(options, place)
        if chosen:
            await self.down_and_up([chosen], span, end)

    async def kill_proxy(self, place, span):
        await self.one(self.proxies(), place, span, self.kill)

    async def kill_reg(self, place, span):
        await self.one(self.regs(), place, span, self.kill)

    async def power_conf(self, place, span):
        await self.one(self.confs(), place, span, self.power)

    async def power_all_conf(self, place, span):
        await self.down_and_up(self.confs(), span, self.power)

    async def kill_all(self, place, span):
        await self.down_and_up([*self.proxies(), *self.regs()], span, self.kill)

    async def lose_hall(self, place, span):
        hall = "abc"[place % 3]
        there = [
            rh
            for rh in [*self.proxies(), *self.regs(), *self.confs()]
            if self.world.halls[rh[1]] == hall
        ]
        await self.down_and_up(
            there, span, lambda r, h: self.power(r, h) if r == "mdconf" else self.kill(r, h)
        )

    async def replace_endpoint(self, place, span, service_of):
        with self.hold(self.placed(), place) as chosen:
            if chosen is None:
                return
            host = chosen[1]
            self.world.kill(f"endpoint@{host}:8000")
            await rest(span)
            own = self.world.application[host]
            other = service_of(own)
            if other != own:
                await self.place_endpoint(host, other, wait=False)
                await rest(2 * SECOND)
                self.world.kill(f"endpoint@{host}:8000")
            await self.place_endpoint(host, own, wait=False)

    async def kill_endpoint(self, place, span):
        await self.replace_endpoint(place, span, lambda own: own)

    async def reuse_address(self, place, span):
        """The address passes to another service at once, and later back."""
        await self.replace_endpoint(
            place, span // 50, lambda own: "paper" if own == "desk" else "desk"
        )

    async def drain(self, place, span):
        with self.hold(self.placed(), place) as chosen:
            if chosen is None:
                return
            host = chosen[1]
            endpoint = self.endpoints[host]
            endpoint.draining = True
            with until(now() + 3 * SECOND):
                while endpoint.token is None:
                    await rest(50 * MILLI)
                status, _ = await endpoint.tell(
                    "/md/beat",
                    {"token": endpoint.token, "capacity": endpoint.capacity, "draining": True},
                )
                if status == 200:
                    self.history.drains[endpoint.incarnation] = now()
            await rest(max(span, 3 * SECOND))
            self.world.kill(f"endpoint@{host}:8000")
            await self.place_endpoint(host, self.world.application[host], wait=False)

    async def stop_proxy(self, place, span):
        with self.hold(self.proxies(), place) as chosen:
            if chosen is None:
                return
            await self.world.stop(f"mdproxy@{chosen[1]}")
            await rest(span // 4)
            await self.world.start(*chosen)

    async def cut(self, pairs, span):
        self.world.web.cuts |= pairs
        await rest(span)
        self.world.web.mend(pairs)

    def everybody(self):
        return [*self.world.core, *self.world.application]

    async def cut_core(self, place, span):
        """One core machine, or a side of the core, away from all the rest."""
        core = self.world.core
        side = core[: 1 + place % (len(core) // 2)]
        rest_of = [h for h in self.everybody() if h not in side]
        await self.cut({p for a in side for b in rest_of for p in ((a, b), (b, a))}, span)

    async def one_way(self, place, span):
        hosts = self.everybody()
        chosen = hosts[place % len(hosts)]
        await self.cut({(h, chosen) for h in hosts if h != chosen}, span)

    async def isolate(self, place, span):
        chosen = list(self.world.application)[place % len(self.world.application)]
        others = [h for h in self.everybody() if h != chosen]
        await self.cut({p for h in others for p in ((h, chosen), (chosen, h))}, span)

    async def freeze(self, options, place, span):
        with self.hold(options, place) as chosen:
            if chosen is None:
                return
            port = ":8000" if chosen[0] == "endpoint" else ""
            process = self.world.processes[f"{chosen[0]}@{chosen[1]}{port}"]
            process.freeze()
            await rest(span)
            process.wake()

    async def freeze_proxy(self, place, span):
        await self.freeze(self.proxies(), place, span)

    async def freeze_reg(self, place, span):
        await self.freeze(self.regs(), place, span)

    async def freeze_conf(self, place, span):
        await self.freeze(self.confs(), place, span)

    async def freeze_endpoint(self, place, span):
        await self.freeze(self.placed(), place, span)

    async def turn(self, place, span, **changes):
        addresses = sorted(self.knobs)
        knobs = self.knobs[addresses[place % len(addresses)]]
        knobs.update(changes)
        await rest(span)
        knobs.update({name: KNOBS[name] for name in changes})  # whoever else turned them

    async def slow(self, place, span):
        await self.turn(place, span, took_us=600 * MILLI)

    async def garbage(self, place, span):
        await self.turn(place, span, garbage=0.5)

    async def lose_answers(self, place, span):
        address = sorted(self.knobs)[place % len(self.knobs)]
        self.world.web.losing[address] = 0.5
        await rest(span)
        self.world.web.losing.pop(address, None)

    async def stall_disk(self, place, span):
        with self.hold([("disk", host) for host in self.world.core], place) as chosen:
            if chosen is None:
                return
            disk = self.world.disks["mdconf", chosen[1]]
            disk.stalled = trio.Event()
            await rest(span)
            stalled, disk.stalled = disk.stalled, None
            stalled.set()

    async def slow_disk(self, place, span):
        disk = self.world.disks["mdconf", self.world.core[place % len(self.world.core)]]
        disk.step_us = 40 * MILLI
        await rest(span)
        disk.step_us = 300

    async def full_disk(self, place, span):
        disk = self.world.disks["mdconf", self.world.core[place % len(self.world.core)]]
        disk.full = True
        await rest(span)
        disk.full = False

    # ------------------------------------------------------------ the day

    async def live(self):
        world = self.world
        await world.whole()
        await world.eventually(lambda: not world.node("mdconf", world.core[0]).not_ready())
        start = now()
        version = await world.configure(manifest("m0"))
        self.history.operated.append(Operated("confirm", start, now(), "ok", version, "m0"))
        for host, service in world.application.items():
            await world.eventually(lambda h=host: not world.node("mdproxy", h).not_ready())
            await self.place_endpoint(host, service)
        await rest(SECOND)
        self.begun = now()
        async with trio.open_nursery() as nursery:
            for host in world.application:
                nursery.start_soon(self.callers, host, 60 * MILLI)
            nursery.start_soon(self.operators)
            with trio.CancelScope():
                await self.storm()
            self.history.calm_from = now()
            await rest(CALM)
            self.over = True
            nursery.cancel_scope.cancel()
        await rest(7 * SECOND)
        for core in range(len(world.core)):
            if await self.read(core):
                break
        self.history.end = now()
        return self.history


PLACES = [
    {"core": 3, "application": ("desk", "desk", "desk", "paper", "paper")},
    {"core": 5, "application": ("desk", "desk", "paper", "paper")},
]


def live(seed, faults=None):
    """One day: (breaches, history, trace lines). The same seed and faults give the same."""
    faults = draw(seed) if faults is None else faults
    kept = {}

    async def scenario(world):
        kept["world"] = world
        return await Day(world, faults).live()

    history = run(scenario, seed, **PLACES[seed % len(PLACES)])
    return verify(history), history, kept["world"].trace.lines


def shorten(seed, faults, promise):
    """Leave out faults as long as the same promise is still broken."""
    index = 0
    while index < len(faults):
        fewer = faults[:index] + faults[index + 1 :]
        if any(b.promise == promise for b in live(seed, fewer)[0]):
            faults = fewer
        else:
            index += 1
    return faults
