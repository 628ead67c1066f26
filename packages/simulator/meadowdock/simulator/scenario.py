"""Simulated days: load, operators and faults from one seed, a calm period, then the checks."""

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
from meadowdock.simulator.faults import KINDS, draw_faults
from meadowdock.simulator.history import Asked, Execution, History, Operated
from meadowdock.simulator.net import SimNet
from meadowdock.simulator.world import run

CALM_US = 17 * SECOND  # without faults, at the day's end
# mean gap between calls at one machine, during the faults and in the calm after them
BUSY_GAP_US, QUIET_GAP_US = 60 * MILLISECOND, 150 * MILLISECOND
HEALTHY_ENDPOINT = {"took_us": 15 * MILLISECOND, "garbage": 0.0}
WATCH_INTERVAL_US = 25 * MILLISECOND
# bodies that are no call's valid response; a faulty endpoint may also repeat its last response
GARBAGE = [b'{"uid": ', b"", b'{"uid": "x"} {}', b"\xff\xfe", b"NaN"]
REPAIR_WITHIN_US = 12 * SECOND  # for a member whose disk was lost to vote again


def manifest(mark, ways=0):
    """Return a manifest with the routes of the stand-ins, identified by the route named mark.

    :param ways: how many further routes it has.
    """

    def stages(endpoint_us):
        return {
            "arrival": {"wait_us": 200_000, "tries": 1},
            "spill": {"wait_us": 200_000, "tries": 1},
            "endpoint": {"wait_us": endpoint_us, "tries": 1},
        }

    def route(name, service, callers, method, repeat, path=None):
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
            route("balances", "desk", ["guest"], "GET", "safe"),
            route("withdrawals", "desk", ["guest"], "POST", "once"),
            route("ledger", "desk", ["paper"], "GET", "safe"),
            route("statements", "paper", ["guest"], "GET", "safe"),
            route(mark, "paper", ["guest"], "GET", "safe", f"/mark/{mark}"),
            *(
                route(f"w{n}", "paper", ["guest"], "GET", "safe", f"/many/w{n}")
                for n in range(ways)
            ),
        ],
    }


def invalid_manifest(mark, variant):
    """Return a manifest that must be refused; each variant is invalid in another way."""
    valid = manifest(mark)
    invalid = [
        b"{" + json.dumps(valid).encode(),
        json.dumps(valid | {"zones": []}).encode(),
        json.dumps(valid | {"budgets": []}).encode(),
        json.dumps(valid | {"ways": valid["ways"] + valid["ways"][:1]}).encode(),
        json.dumps(valid | {"load": {"phi": 0.9, "omega": 0.5}}).encode(),
        b"[" * 5000,
    ]
    return invalid[variant % len(invalid)]


class FaultyEndpoint(Endpoint):
    """An endpoint that may answer with garbage, or with another call's headers and body.

    Invariant: a response is replaced only on its way out; the endpoint's record keeps the true one.
    """

    table = RouteTable()
    table.exact = Endpoint.table.exact
    last_response = None  # (headers, body)
    replacement = None  # a body, or (headers, body), to be sent in place of the next response

    @table.set_fallback
    async def handle_request(self, request):
        response = await super().handle_request(request)
        replacement, self.replacement = self.replacement, None
        if isinstance(replacement, tuple):
            response.headers, response.body = replacement
        elif replacement is not None:
            response.body = replacement
        self.last_response = response.headers, response.body
        return response


class Day:
    """One simulated day with its load, operators and faults.

    A target of a fault is a pair (role, host). Invariants: reserved holds the targets of current
    faults, so that none is hit by two at once; every fault is undone before the calm begins;
    blank_disks holds the core machines whose disk was lost and that have not voted since.
    """

    def __init__(self, world, faults):
        self.world, self.faults = world, faults
        self.rng = random.Random(f"day{world.seed}")
        self.history = History()
        self.endpoint_behaviour = {}  # address -> {"took_us", "garbage"}
        self.endpoints = {}  # host -> its endpoint
        self.reserved, self.blank_disks = set(), set()
        self.ready = {}  # host -> whether its proxy last reported to be ready
        self.records = {}  # (host, service) -> the disk with its endpoint's record of keys
        self.injectors = {name: partial(inject, self) for name, (_, inject) in KINDS.items()}
        self.replacement_count = 0
        self.faults_begun = 0
        self.finished = False
        self.call_count = 0

    async def place_endpoint(self, host, service, wait=True):
        """Start an endpoint whose behaviour faults can change."""
        address = f"{host}:8000"
        behaviour = self.endpoint_behaviour.setdefault(address, dict(HEALTHY_ENDPOINT))
        endpoint = None

        async def handle(request):
            kind, uid = request.path.strip("/").split("/")[:2]
            self.history.ran.append(
                Execution(
                    uid,
                    kind,
                    request.caller,
                    monotonic_us(),
                    service,
                    address,
                    endpoint.incarnation,
                )
            )
            await sleep_us(int(behaviour["took_us"] * self.rng.uniform(0.5, 1.5)))
            if self.rng.random() < behaviour["garbage"]:
                endpoint.replacement = self.rng.choice(
                    [*GARBAGE, endpoint.last_response or GARBAGE[0]]
                )
            return 200, {"uid": uid, "caller": request.caller, "whole": True}

        record = ExecutionRecord(self.records.setdefault((host, service), MemoryDisk()))
        endpoint = await self.world.endpoint(
            host, service, handle, capacity=6, wait=wait, kind=FaultyEndpoint, record=record
        )
        self.endpoints[host] = endpoint
        return endpoint

    async def call(self, host, kind, caller, token=None):
        """Make one call, and sometimes a repeat by its key if its outcome is unknown."""
        self.call_count += 1
        uid = f"u{self.call_count}"
        keyed = kind == "withdrawals" and self.rng.random() < 0.7
        call = await self.send(uid, host, kind, caller, token, keyed)
        if keyed and call.verdict == "may-have-run" and self.rng.random() < 0.8:
            # the caller repeats the call under its key, at the same machine or another
            await sleep_us(self.rng.randrange(50 * MILLISECOND, 3 * SECOND))
            desks = [h for h, service in self.world.application.items() if service == "desk"]
            second_host = host if self.rng.random() < 0.5 else self.rng.choice(desks)
            await self.send(uid, second_host, kind, caller, token, keyed, repeat=True)

    async def send(self, uid, host, kind, caller, token, keyed, repeat=False):
        """Send one request to the host's proxy; return its record in the history."""
        call = Asked(uid, host, kind, caller, monotonic_us())
        self.history.asked.append(call)
        net = SimNet(self.world.web, host)
        net.home = self.world.nursery
        runs_once = kind == "withdrawals"
        headers = [(b"md-token", token.encode())] if token else []
        headers += [(b"md-key", uid.encode())] if keyed else []
        headers += [(b"md-repeat", b"1")] if repeat else []
        body = b'{"amount": 1}' if runs_once else b""
        sent = False

        def started():
            nonlocal sent
            sent = True

        with deadline_scope(monotonic_us() + 6 * SECOND):
            try:
                response = await net.http_connection(f"{host}:7400").request(
                    "POST" if runs_once else "GET", f"/{kind}/{uid}", headers, body, started
                )
                call.heard(*response)
            except HttpConnectionFailed:
                call.broke(sent or repeat)
        call.answered = monotonic_us()
        return call

    async def probe(self, host):
        """Probe a proxy's readiness once a second, as the platform does.

        No callers are sent to a proxy that is not ready.
        """
        while not self.finished:
            self.ready[host] = False
            try:
                with deadline_scope(monotonic_us() + SECOND):
                    status, _, _ = await self.world.http(host, "GET", f"{host}:7400", "/ready")
                    self.ready[host] = status == 200
            except HttpConnectionFailed:
                pass
            await sleep_us(SECOND)

    async def send_calls(self, host):
        """Make random calls at a machine until the day ends, while its proxy is ready."""
        while not self.finished:
            gap_us = QUIET_GAP_US if self.history.calm_from else BUSY_GAP_US
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

    async def change_configuration(self, mark, core, ways=0):
        """Plan and confirm a manifest as an operator, and record the outcome."""
        base = 0
        start = monotonic_us()
        operation = Operated("confirm", start, start, "refused", mark=mark)
        try:
            with deadline_scope(monotonic_us() + 15 * SECOND):
                status, answer = await self.world.operate(
                    "POST", "/plan", manifest(mark, ways), core
                )
                if status != 200 or not answer["plan"]:
                    return
                base = answer["base"]
                operation.start, operation.outcome, operation.base = monotonic_us(), "unclear", base
                self.history.operated.append(operation)
                status, answer = await self.world.operate(
                    "POST", "/confirm", {"plan": answer["plan"]}, core
                )
                if status == 200:
                    operation.outcome, operation.version = "ok", answer["version"]
                elif status in (409, 503, 404):
                    operation.outcome = "refused"
        except HttpConnectionFailed:
            pass
        finally:
            operation.end = monotonic_us()

    async def read(self, core):
        operation = Operated("read", monotonic_us(), 0, "refused")
        try:
            with deadline_scope(monotonic_us() + 8 * SECOND):
                status, answer = await self.world.operate("GET", "/manifest", core=core)
                if status == 200:
                    operation.outcome, operation.version = "ok", answer["version"]
                    marks = [
                        w["name"] for w in answer["manifest"]["ways"] if w["path"][:6] == "/mark/"
                    ]
                    operation.mark = marks[0] if marks else ""
        except HttpConnectionFailed:
            pass
        operation.end = monotonic_us()
        self.history.operated.append(operation)
        return operation.outcome == "ok"

    async def submit_invalid_manifest(self, variant):
        mark = f"broken{variant}-{monotonic_us()}"
        try:
            with deadline_scope(monotonic_us() + 8 * SECOND):
                status, answer = await self.world.operate(
                    "POST", "/plan", invalid_manifest(mark, variant), variant % len(self.world.core)
                )
                self.history.broken.append((mark, status))
        except HttpConnectionFailed:
            pass

    async def try_members_change(self, request, core):
        """Try a change of members once; return whether it was accepted."""
        try:
            status, _ = await self.world.operate("POST", "/members", request, core)
            return status == 200
        except HttpConnectionFailed:
            return False

    async def verify_audit_trail(self, core):
        status, answer = await self.world.operate("GET", "/audit", core=core)
        if status == 200:
            self.history.trail = audit.verify(
                answer["records"], answer["key"], answer["version"], answer["anchor"]
            )

    async def operate(self):
        """Change and read the configuration at random until the day ends."""
        number = 0
        cores = len(self.world.core)
        while not self.finished:
            for _ in range(self.rng.choice([1, 1, 2])):  # sometimes two changes at once
                number += 1
                self.world.nursery.start_soon(
                    self.change_configuration, f"m{number}", self.rng.randrange(cores)
                )
            self.world.nursery.start_soon(self.read, self.rng.randrange(cores))
            await sleep_us(self.rng.randrange(SECOND, 4 * SECOND))

    async def inject_faults(self):
        async with trio.open_nursery() as nursery:
            for fault in self.faults:
                nursery.start_soon(self.inject, fault)

    async def inject(self, fault):
        await sleep_us(self.faults_begun + fault.start_us - monotonic_us())
        await self.injectors[fault.kind](fault.pick, fault.duration_us)

    @contextmanager
    def reserve(self, candidates, pick):
        """Choose a target that no other fault has reserved, and reserve it; yield it, or None."""
        free = [target for target in candidates if target not in self.reserved]
        chosen = free[pick % len(free)] if free else None
        self.reserved |= {chosen} - {None}
        yield chosen
        self.reserved.discard(chosen)

    def endpoint_targets(self):
        return [("endpoint", host) for host in self.endpoints]

    def proxy_targets(self):
        return [("mdproxy", h) for h in self.world.application]

    def registry_targets(self):
        return [("mdreg", h) for h in self.world.core]

    def config_store_targets(self):
        return [("mdconf", h) for h in self.world.core]

    def all_hosts(self):
        return [*self.world.core, *self.world.application]

    def hosts_in_zone(self, pick):
        return [h for h in self.all_hosts() if self.world.zones[h] == "abc"[pick % 3]]

    def targets_on(self, hosts):
        """Return everything that runs on the hosts; endpoints last, as they need their proxy."""
        targets = [
            *self.registry_targets(),
            *self.config_store_targets(),
            *self.proxy_targets(),
            *self.endpoint_targets(),
        ]
        return [target for target in targets if target[1] in hosts]

    def process_name(self, role, host):
        return f"{role}@{host}:8000" if role == "endpoint" else f"{role}@{host}"

    def kill(self, role, host):
        self.world.kill(self.process_name(role, host))

    def power_off(self, role, host):
        self.kill(role, host)
        if role == "mdconf":
            self.world.disks[role, host].power_off()

    async def start(self, role, host):
        if role == "endpoint":
            await self.place_endpoint(host, self.world.application[host], wait=False)
        else:
            await self.world.start(role, host)

    async def stop_and_restart(self, targets, duration_us, stop, already_reserved=False):
        """Stop processes by `stop`, and start them again after a while."""
        stopped = [t for t in targets if already_reserved or t not in self.reserved]
        self.reserved |= set(stopped)
        for role, host in stopped:
            stop(role, host)
        await sleep_us(duration_us)
        async with trio.open_nursery() as nursery:
            for role, host in stopped:
                nursery.start_soon(self.start, role, host)
        if not already_reserved:
            self.reserved -= set(stopped)

    async def stop_and_restart_one(self, candidates, pick, duration_us, stop):
        with self.reserve(candidates, pick) as chosen:
            if chosen:
                await self.stop_and_restart([chosen], duration_us, stop, already_reserved=True)

    async def restart_gracefully(self, candidates, pick, duration_us):
        """Stop a process gracefully and start it again; record stops of proxies."""
        with self.reserve(candidates, pick) as chosen:
            if chosen is None:
                return
            begun = monotonic_us()
            await self.world.stop(self.process_name(*chosen))
            if chosen[0] == "mdproxy":
                self.history.stops.append((chosen[1], begun, monotonic_us()))
            await sleep_us(duration_us // 4)
            await self.start(*chosen)

    async def freeze(self, candidates, pick, duration_us):
        """Freeze a process for a time."""
        with self.reserve(candidates, pick) as chosen:
            if chosen is None:
                return
            process = self.world.processes[self.process_name(*chosen)]
            process.freeze()
            await sleep_us(duration_us)
            process.wake()

    async def degrade_endpoints(self, picks, duration_us, **changes):
        """Change the behaviour of some endpoints for a time."""
        addresses = sorted(self.endpoint_behaviour)
        degraded = [self.endpoint_behaviour[addresses[pick % len(addresses)]] for pick in picks]
        for behaviour in degraded:
            behaviour.update(changes)
        await sleep_us(duration_us)
        for behaviour in degraded:
            # back to healthy values, also if an overlapping fault changed them
            behaviour.update({name: HEALTHY_ENDPOINT[name] for name in changes})

    async def lose_disks(self, count, pick, duration_us):
        """Lose the disks of up to `count` members, but never of a majority.

        Disks that are still blank after earlier faults count as lost.
        """
        core = len(self.world.core)
        candidates = [("mdconf", h) for h in self.world.core[pick % core :] + self.world.core]
        allowed = min(count, (core - 1) // 2 - len(self.blank_disks))
        free = [target for target in dict.fromkeys(candidates) if target not in self.reserved]
        chosen = free[: max(0, allowed)]
        self.reserved |= set(chosen)
        self.blank_disks |= {host for _, host in chosen}
        for role, host in chosen:
            self.power_off(role, host)
            self.world.lose_disk(role, host)
        await sleep_us(duration_us)
        async with trio.open_nursery() as nursery:
            for role, host in chosen:
                nursery.start_soon(self.world.start, role, host)
        for _, host in chosen:
            await self.wait_until_repaired(host)
        self.reserved -= set(chosen)

    async def wait_until_repaired(self, host):
        """Wait until a member whose disk was lost votes again.

        Invariant: a host stays in blank_disks until then, however long that takes.
        """
        with deadline_scope(monotonic_us() + REPAIR_WITHIN_US) as limit:
            while (await self.unready_reasons(host)) != []:
                await sleep_us(200 * MILLISECOND)
        if limit.cancelled_caught:
            self.history.unrepaired.append(host)
        else:
            self.blank_disks.discard(host)

    async def unready_reasons(self, host):
        try:
            _, _, answer = await self.world.http(host, "GET", f"{host}:7420", "/ready")
            return answer["why"]
        except HttpConnectionFailed:
            return None

    def connected(self, a, b):
        cuts = self.world.web.cuts
        return a == b or ((a, b) not in cuts and (b, a) not in cuts)

    def is_running(self, role, host):
        process = self.world.processes.get(f"{role}@{host}")
        return process is not None and process.frozen is None and process.up.is_set()

    def working_members(self):
        """Return the members whose process runs on a usable disk."""
        return [
            h
            for h in self.world.core
            if self.is_running("mdconf", h)
            and h not in self.blank_disks
            and self.world.disks["mdconf", h].stalled is None
            and not self.world.disks["mdconf", h].full
        ]

    def can_reach_quorum(self, host):
        """Return whether the host's proxy can reach a member that can reach a majority."""
        members, majority = self.working_members(), len(self.world.core) // 2 + 1
        return self.is_running("mdproxy", host) and any(
            self.connected(host, member)
            and sum(self.connected(member, m) for m in members) >= majority
            for member in members
        )

    async def record_partitions(self):
        """Keep history.away up to date by polling.

        The intervals around a partition, in which it began or ended, count as part of it.
        """
        last_poll = monotonic_us()
        while True:
            for host in self.world.application:
                partitions = self.history.away.setdefault(host, [])
                if self.can_reach_quorum(host):
                    continue
                if partitions and partitions[-1][1] >= last_poll:
                    partitions[-1][1] = monotonic_us() + WATCH_INTERVAL_US
                else:
                    partitions.append([last_poll, monotonic_us() + WATCH_INTERVAL_US])
            last_poll = monotonic_us()
            await sleep_us(WATCH_INTERVAL_US)

    async def run(self):
        """Start the deployment, play the day and return its history."""
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
        self.faults_begun = monotonic_us()
        self.history.sendings = world.web.sendings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.record_partitions)
            for host in world.application:
                nursery.start_soon(self.probe, host)
                nursery.start_soon(self.send_calls, host)
            nursery.start_soon(self.operate)
            await self.inject_faults()
            self.history.calm_from = monotonic_us()
            await sleep_us(CALM_US)
            self.finished = True
            nursery.cancel_scope.cancel()
        await sleep_us(5 * SECOND)
        for core in range(len(world.core)):
            if await self.read(core):
                await self.verify_audit_trail(core)
                break
        self.history.end = monotonic_us()
        return self.history


TOPOLOGIES = [
    {"core": 3, "application": ("desk", "desk", "desk", "paper", "paper")},
    {"core": 5, "application": ("desk", "desk", "paper", "paper")},
]


def run_day(seed, faults=None):
    """Run one day; return (breaches, history, trace lines).

    The result depends only on the seed and the faults.
    """
    faults = draw_faults(seed) if faults is None else faults
    worlds = []

    async def scenario(world):
        worlds.append(world)
        return await Day(world, faults).run()

    history = run(scenario, seed, **TOPOLOGIES[seed % len(TOPOLOGIES)])
    return verify(history), history, worlds[0].trace.lines


def shorten(seed, faults, promise):
    """Remove faults one by one as long as the same promise is still broken; return the rest."""
    index = 0
    while index < len(faults):
        fewer = faults[:index] + faults[index + 1 :]
        if any(b.promise == promise for b in run_day(seed, fewer)[0]):
            faults = fewer
        else:
            index += 1
    return faults
