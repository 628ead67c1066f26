"""Random days: load, operators and faults from one seed, then calm, then the checks."""

from __future__ import annotations

import json
import random
from contextlib import contextmanager
from functools import partial

import trio

from meadowdock import audit
from meadowdock.admin_http import RouteTable
from meadowdock.client import Endpoint, ExecutionRecord
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    MemoryDisk,
    deadline_scope,
    monotonic_us,
    sleep_us,
)
from meadowdock.simulator.checkers import verify
from meadowdock.simulator.faults import KINDS, draw
from meadowdock.simulator.history import Asked, History, Operated, Ran
from meadowdock.simulator.net import SimNet
from meadowdock.simulator.world import run

CALM = 17 * SECOND
BUSY, QUIET = 60 * MILLISECOND, 150 * MILLISECOND  # mean gap between calls at one machine
KNOBS = {"took_us": 15 * MILLISECOND, "garbage": 0.0}  # of a healthy endpoint
LOOK = 25 * MILLISECOND
# never what was asked for; beside these an answer may be another call's, header and all
GARBAGE = [b'{"uid": ', b"", b'{"uid": "x"} {}', b"\xff\xfe", b"NaN"]
REPAIR = 12 * SECOND  # a blank disk is a member again by then


def manifest(mark, ways=0):
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
        "services": [
            {"name": n, "identity": True, "echo": True, "record": True} for n in ("desk", "paper")
        ],
        "budgets": [{"name": "std", **stages(1_500_000)}],
        "ways": [
            way("balances", "desk", ["guest"], "GET", "safe"),
            way("withdrawals", "desk", ["guest"], "POST", "once"),
            way("ledger", "desk", ["paper"], "GET", "safe"),
            way("statements", "paper", ["guest"], "GET", "safe"),
            way(mark, "paper", ["guest"], "GET", "safe", f"/mark/{mark}"),
            *(way(f"w{n}", "paper", ["guest"], "GET", "safe", f"/many/w{n}") for n in range(ways)),
        ],
    }


def broken(mark, how):
    """Manifests that must be refused, each in another way."""
    facts = manifest(mark)
    wrong = [
        b"{" + json.dumps(facts).encode(),
        json.dumps(facts | {"zones": []}).encode(),
        json.dumps(facts | {"budgets": []}).encode(),
        json.dumps(facts | {"ways": facts["ways"] + facts["ways"][:1]}).encode(),
        json.dumps(facts | {"load": {"phi": 0.9, "omega": 0.5}}).encode(),
        b"[" * 5000,
    ]
    return wrong[how % len(wrong)]


class Odd(Endpoint):
    """An endpoint that may answer with what belongs to another call, header and all."""

    # Invariant: what is spoiled is spoiled on its way out; the endpoint's record holds its true answer
    table = RouteTable()
    table.exact = Endpoint.table.exact
    last = spoilt = None  # (headers, body) of the last answer; what the next answer is instead

    @table.set_fallback
    async def handle_request(self, request):
        reply = await super().handle_request(request)
        spoilt, self.spoilt = self.spoilt, None
        if isinstance(spoilt, tuple):
            reply.headers, reply.body = spoilt
        elif spoilt is not None:
            reply.body = spoilt
        self.last = reply.headers, reply.body
        return reply


class Day:
    """Invariants: touched holds what a fault is at work on, so that none is hit twice at once;
    every fault's undoing is done by the storm's end; blank holds the core machines whose disk was
    lost and that were not yet seen to vote again."""

    def __init__(self, world, faults):
        self.world, self.faults = world, faults
        self.rng = random.Random(f"day{world.seed}")
        self.history = History()
        self.knobs = {}  # address -> {"took_us", "garbage"}
        self.endpoints = {}  # host -> (mdlib Endpoint, process name)
        self.touched, self.blank = set(), set()
        self.ready = {}
        self.records = {}  # (host, service) -> the disk with its endpoint's record of keys
        self.strikes = {name: partial(strike, self) for name, (_, strike) in KINDS.items()}
        self.newcomers = 0
        self.begun = 0
        self.over = False
        self.uid = 0

    # ------------------------------------------------------------ endpoints

    async def place_endpoint(self, host, service, wait=True):
        address = f"{host}:8000"
        knobs = self.knobs.setdefault(address, dict(KNOBS))
        endpoint = None

        async def handle(got):
            kind, uid = got.path.strip("/").split("/")[:2]
            self.history.ran.append(
                Ran(uid, kind, got.caller, monotonic_us(), service, address, endpoint.incarnation)
            )
            await sleep_us(int(knobs["took_us"] * self.rng.uniform(0.5, 1.5)))
            if self.rng.random() < knobs["garbage"]:
                endpoint.spoilt = self.rng.choice([*GARBAGE, endpoint.last or GARBAGE[0]])
            return 200, {"uid": uid, "caller": got.caller, "whole": True}

        record = ExecutionRecord(self.records.setdefault((host, service), MemoryDisk()))
        endpoint = await self.world.endpoint(
            host, service, handle, capacity=6, wait=wait, kind=Odd, record=record
        )
        self.endpoints[host] = endpoint
        return endpoint

    # ------------------------------------------------------------ callers

    async def call(self, host, kind, caller, token=None):
        self.uid += 1
        uid = f"u{self.uid}"
        keyed = kind == "withdrawals" and self.rng.random() < 0.7
        asked = await self.send(uid, host, kind, caller, token, keyed)
        if keyed and asked.verdict == "may-have-run" and self.rng.random() < 0.8:
            # the caller wants to know: at the same machine or another, soon or later
            await sleep_us(self.rng.randrange(50 * MILLISECOND, 3 * SECOND))
            desks = [h for h, service in self.world.application.items() if service == "desk"]
            again = host if self.rng.random() < 0.5 else self.rng.choice(desks)
            await self.send(uid, again, kind, caller, token, keyed, repeat=True)

    async def send(self, uid, host, kind, caller, token, keyed, repeat=False):
        asked = Asked(uid, host, kind, caller, monotonic_us())
        self.history.asked.append(asked)
        net = SimNet(self.world.web, host)
        net.home = self.world.nursery
        once = kind == "withdrawals"
        lines = [(b"md-token", token.encode())] if token else []
        lines += [(b"md-key", uid.encode())] if keyed else []
        lines += [(b"md-repeat", b"1")] if repeat else []
        body = b'{"amount": 1}' if once else b""
        sent = False

        def started():
            nonlocal sent
            sent = True

        with deadline_scope(monotonic_us() + 6 * SECOND):
            try:
                status, headers, answer = await net.http_connection(f"{host}:7400").request(
                    "POST" if once else "GET", f"/{kind}/{uid}", lines, body, started
                )
                asked.heard(status, headers, answer)
            except HttpConnectionFailed:
                asked.broke(sent or repeat)
        asked.answered = monotonic_us()
        return asked

    async def probe(self, host):
        """As the platform: asks ready once a second, and sends nobody to who is not."""
        while not self.over:
            self.ready[host] = False
            try:
                with deadline_scope(monotonic_us() + SECOND):
                    status, _, _ = await self.world.http(host, "GET", f"{host}:7400", "/ready")
                    self.ready[host] = status == 200
            except HttpConnectionFailed:
                pass
            await sleep_us(SECOND)

    async def callers(self, host):
        while not self.over:
            gap_us = QUIET if self.history.calm_from else BUSY
            await sleep_us(int(self.rng.expovariate(1 / gap_us)))
            if not self.ready.get(host, True):
                continue
            service = self.world.application[host]
            endpoint = self.endpoints.get(host)
            kinds = ["balances", "withdrawals"] if service == "desk" else ["statements"]
            name, token = "guest", None
            if service == "paper" and endpoint and endpoint.token and self.rng.random() < 0.3:
                kinds, name, token = ["ledger"], "paper", endpoint.token
            self.world.nursery.start_soon(self.call, host, self.rng.choice(kinds), name, token)

    # ------------------------------------------------------------ operators

    async def change(self, mark, core, ways=0):
        base = 0
        start = monotonic_us()
        done = Operated("confirm", start, start, "refused", mark=mark)
        try:
            with deadline_scope(monotonic_us() + 15 * SECOND):
                status, answer = await self.world.operate(
                    "POST", "/plan", manifest(mark, ways), core
                )
                if status != 200 or not answer["plan"]:
                    return
                base = answer["base"]
                done.start, done.outcome, done.base = monotonic_us(), "unclear", base
                self.history.operated.append(done)
                status, answer = await self.world.operate(
                    "POST", "/confirm", {"plan": answer["plan"]}, core
                )
                if status == 200:
                    done.outcome, done.version = "ok", answer["version"]
                elif status in (409, 503, 404):
                    done.outcome = "refused"
        except HttpConnectionFailed:
            pass
        finally:
            done.end = monotonic_us()

    async def read(self, core):
        done = Operated("read", monotonic_us(), 0, "refused")
        try:
            with deadline_scope(monotonic_us() + 8 * SECOND):
                status, answer = await self.world.operate("GET", "/manifest", core=core)
                if status == 200:
                    done.outcome, done.version = "ok", answer["version"]
                    marks = [
                        w["name"] for w in answer["manifest"]["ways"] if w["path"][:6] == "/mark/"
                    ]
                    done.mark = marks[0] if marks else ""
        except HttpConnectionFailed:
            pass
        done.end = monotonic_us()
        self.history.operated.append(done)
        return done.outcome == "ok"

    async def break_manifest(self, how):
        mark = f"broken{how}-{monotonic_us()}"
        try:
            with deadline_scope(monotonic_us() + 8 * SECOND):
                status, answer = await self.world.operate(
                    "POST", "/plan", broken(mark, how), how % len(self.world.core)
                )
                self.history.broken.append((mark, status))
        except HttpConnectionFailed:
            pass

    async def members_accepted(self, facts, core):
        """One try of a member change; is it done?"""
        try:
            status, _ = await self.world.operate("POST", "/members", facts, core)
            return status == 200
        except HttpConnectionFailed:
            return False

    async def check_trail(self, core):
        status, answer = await self.world.operate("GET", "/audit", core=core)
        if status == 200:
            self.history.trail = audit.verify(
                answer["records"], answer["key"], answer["version"], answer["anchor"]
            )

    async def operators(self):
        number = 0
        cores = len(self.world.core)
        while not self.over:
            for _ in range(self.rng.choice([1, 1, 2])):  # two at once, now and then
                number += 1
                self.world.nursery.start_soon(self.change, f"m{number}", self.rng.randrange(cores))
            self.world.nursery.start_soon(self.read, self.rng.randrange(cores))
            await sleep_us(self.rng.randrange(SECOND, 4 * SECOND))

    # ------------------------------------------------------------ faults

    async def storm(self):
        async with trio.open_nursery() as nursery:
            for fault in self.faults:
                nursery.start_soon(self.strike, fault)

    async def strike(self, fault):
        await sleep_us(self.begun + fault.at - monotonic_us())
        await self.strikes[fault.kind](fault.place, fault.span)

    @contextmanager
    def hold(self, options, place):
        """The place's turn among what is free, held against other faults; or None."""
        free = [o for o in options if o not in self.touched]
        chosen = free[place % len(free)] if free else None
        self.touched |= {chosen} - {None}
        yield chosen
        self.touched.discard(chosen)

    def placed(self):
        return [("endpoint", host) for host in self.endpoints]

    def proxies(self):
        return [("mdproxy", h) for h in self.world.application]

    def regs(self):
        return [("mdreg", h) for h in self.world.core]

    def confs(self):
        return [("mdconf", h) for h in self.world.core]

    def everybody(self):
        return [*self.world.core, *self.world.application]

    def zone(self, place):
        return [h for h in self.everybody() if self.world.zones[h] == "abc"[place % 3]]

    def on(self, hosts):
        """All that runs on these machines; endpoints last, as they need their proxy."""
        every = [*self.regs(), *self.confs(), *self.proxies(), *self.placed()]
        return [rh for rh in every if rh[1] in hosts]

    def name(self, role, host):
        return f"{role}@{host}:8000" if role == "endpoint" else f"{role}@{host}"

    def kill(self, role, host):
        self.world.kill(self.name(role, host))

    def power(self, role, host):
        self.kill(role, host)
        if role == "mdconf":
            self.world.disks[role, host].power_off()

    async def start(self, role, host):
        if role == "endpoint":
            await self.place_endpoint(host, self.world.application[host], wait=False)
        else:
            await self.world.start(role, host)

    async def down_and_up(self, roles_hosts, span, end, already_touched=False):
        """End processes, and start them again after a while."""
        mine = [rh for rh in roles_hosts if already_touched or rh not in self.touched]
        self.touched |= set(mine)
        for role, host in mine:
            end(role, host)
        await sleep_us(span)
        async with trio.open_nursery() as nursery:
            for role, host in mine:
                nursery.start_soon(self.start, role, host)
        if not already_touched:
            self.touched -= set(mine)

    async def one(self, options, place, span, end):
        with self.hold(options, place) as chosen:
            if chosen:
                await self.down_and_up([chosen], span, end, already_touched=True)

    async def restart(self, options, place, span):
        with self.hold(options, place) as chosen:
            if chosen is None:
                return
            begun = monotonic_us()
            await self.world.stop(self.name(*chosen))
            if chosen[0] == "mdproxy":
                self.history.stops.append((chosen[1], begun, monotonic_us()))
            await sleep_us(span // 4)
            await self.start(*chosen)

    async def freeze(self, options, place, span):
        with self.hold(options, place) as chosen:
            if chosen is None:
                return
            process = self.world.processes[self.name(*chosen)]
            process.freeze()
            await sleep_us(span)
            process.wake()

    async def turn(self, places, span, **changes):
        addresses = sorted(self.knobs)
        turned = [self.knobs[addresses[place % len(addresses)]] for place in places]
        for knobs in turned:
            knobs.update(changes)
        await sleep_us(span)
        for knobs in turned:
            knobs.update({name: KNOBS[name] for name in changes})  # whoever else turned them

    async def lose_disks(self, count, place, span):
        """Only as many as leave a majority of whole disks, whatever else is blank already."""
        core = len(self.world.core)
        options = [("mdconf", h) for h in self.world.core[place % core :] + self.world.core]
        most = min(count, (core - 1) // 2 - len(self.blank))
        chosen = [rh for rh in dict.fromkeys(options) if rh not in self.touched][: max(0, most)]
        self.touched |= set(chosen)
        self.blank |= {host for _, host in chosen}
        for role, host in chosen:
            self.power(role, host)
            self.world.lose_disk(role, host)
        await sleep_us(span)
        async with trio.open_nursery() as nursery:
            for role, host in chosen:
                nursery.start_soon(self.world.start, role, host)
        for _, host in chosen:
            await self.repaired(host)
        self.touched -= set(chosen)

    async def repaired(self, host):
        """Wait until a member whose disk was lost votes again. Invariant: a host stays in blank
        until then, however long that takes."""
        with deadline_scope(monotonic_us() + REPAIR) as limit:
            while (await self.why_not(host)) != []:
                await sleep_us(200 * MILLISECOND)
        if limit.cancelled_caught:
            self.history.unrepaired.append(host)
        else:
            self.blank.discard(host)

    async def why_not(self, host):
        try:
            _, _, answer = await self.world.http(host, "GET", f"{host}:7420", "/ready")
            return answer["why"]
        except HttpConnectionFailed:
            return None

    # ------------------------------------------------------------ who is kept from whom

    def linked(self, a, b):
        cuts = self.world.web.cuts
        return a == b or ((a, b) not in cuts and (b, a) not in cuts)

    def works(self, role, host):
        process = self.world.processes.get(f"{role}@{host}")
        return process is not None and process.frozen is None and process.up.is_set()

    def members(self):
        return [
            h
            for h in self.world.core
            if self.works("mdconf", h)
            and h not in self.blank
            and self.world.disks["mdconf", h].stalled is None
            and not self.world.disks["mdconf", h].full
        ]

    def in_contact(self, host):
        """Does this run let the proxy there reach a member that reaches a majority?"""
        members, most = self.members(), len(self.world.core) // 2 + 1
        return self.works("mdproxy", host) and any(
            self.linked(host, member) and sum(self.linked(member, m) for m in members) >= most
            for member in members
        )

    async def watch(self):
        """Keeps history.away: looks often, and takes a doubtful moment as away."""
        last = monotonic_us()
        while True:
            for host in self.world.application:
                spans = self.history.away.setdefault(host, [])
                if self.in_contact(host):
                    continue
                if spans and spans[-1][1] >= last:
                    spans[-1][1] = monotonic_us() + LOOK
                else:
                    spans.append([last, monotonic_us() + LOOK])
            last = monotonic_us()
            await sleep_us(LOOK)

    # ------------------------------------------------------------ the day

    async def live(self):
        world = self.world
        await world.start_all()
        await world.eventually(lambda: not world.node("mdconf", world.core[0]).unready_reasons())
        start = monotonic_us()
        version = await world.configure(manifest("m0"))
        self.history.operated.append(
            Operated("confirm", start, monotonic_us(), "ok", version, "m0")
        )
        for host, service in world.application.items():
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())
            await self.place_endpoint(host, service)
        await sleep_us(SECOND)
        self.begun = monotonic_us()
        self.history.sendings = world.web.sendings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch)
            for host in world.application:
                nursery.start_soon(self.probe, host)
                nursery.start_soon(self.callers, host)
            nursery.start_soon(self.operators)
            await self.storm()
            self.history.calm_from = monotonic_us()
            await sleep_us(CALM)
            self.over = True
            nursery.cancel_scope.cancel()
        await sleep_us(5 * SECOND)
        for core in range(len(world.core)):
            if await self.read(core):
                await self.check_trail(core)
                break
        self.history.end = monotonic_us()
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
