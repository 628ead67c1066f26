"""A world of processes under one seed. `run` gives the same trace for the same seed."""

from __future__ import annotations

import contextvars
import io
import json
import random
from functools import partial

import trio

from meadowdock.client import Client, Endpoint
from meadowdock.config_store.server import ConfigStore
from meadowdock.forwarding import Dialect, Reactor
from meadowdock.logs import Log
from meadowdock.process import Node
from meadowdock.proxy.gateway import GatewayProxy
from meadowdock.proxy.server import ProxyServer
from meadowdock.registry.server import RegistryServer
from meadowdock.rpc import ConnectionFailed
from meadowdock.runtime import MILLISECOND, SECOND, Runtime, monotonic_us, sleep_us
from meadowdock.settings import validate_settings
from meadowdock.simulator.disk import SimDisk
from meadowdock.simulator.net import SimNet, Web
from meadowdock.simulator.standin import RequestAudit, StandIn, StandInCaller

PARTS = {"mdproxy": ProxyServer, "mdreg": RegistryServer, "mdconf": ConfigStore}
KEY = "5a" * 32
GATE_PORT, LINKS_OF_GATES = 7440, 7402
DIALECT = Dialect(deadline_unit_us=1000, stamp=b"md-stamp")
WALL = 1_700_000_000 * SECOND


class Clock(trio.abc.Clock):
    """Virtual time. Trio asks how long to sleep only when no task can run: then it is the next
    deadline at once. (trio's MockClock takes a whole idle round of the scheduler for each.)"""

    def __init__(self):
        self.at = 0.0

    def start_clock(self):
        pass

    def current_time(self):
        return self.at

    def deadline_to_sleep_time(self, deadline):
        if deadline == float("inf"):
            return deadline
        self.at = max(self.at, deadline)
        return 0


async def inline(work, *args):
    await trio.lowlevel.checkpoint()
    return work(*args)


class Trace(io.StringIO):
    """Takes the processes' log lines, with the virtual time."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def write(self, text):
        if text.strip():
            self.lines.append((monotonic_us(), json.loads(text)))

    def events(self, *numbers):
        return [(at, line) for at, line in self.lines if line["number"] in numbers]


# Which process a task belongs to. Tasks inherit it; a request's task at the other side sets it.
owner = contextvars.ContextVar("owner", default=None)


def hook_scheduler():
    """Let a task of a frozen process wait: its wake-ups are kept until the process goes on. Trio
    has no public door for this, so the simulator, and it alone, wraps its scheduler."""
    runner = trio._core._run.Runner
    if getattr(runner, "md_hooked", False):
        return
    original = runner.reschedule

    def reschedule(self, task, *outcome):
        process = task.context.get(owner)
        if process is not None and process.frozen is not None:
            task._abort_func = None  # woken already: nothing may wake it again
            process.frozen.append((task, outcome))
        elif process is not None and process.processors is not None:
            task._abort_func = None
            process.processors.take(process, task, outcome)
        else:
            original(self, task, *outcome)

    def resume(self, task, outcome):
        """The turn has come: as reschedule, without the process' processor."""
        if self.frozen is not None:
            self.frozen.append((task, outcome))
        else:
            original(trio._core._run.GLOBAL_RUN_CONTEXT.runner, task, *outcome)

    Process.resume = resume
    runner.reschedule, runner.md_hooked = reschedule, True


class GateProxy(GatewayProxy):
    dialect = DIALECT


class Process:
    """Invariants: scope is the whole process; once it is cancelled its net is gone. frozen is
    None, or the wake-ups that came since the freeze, in order."""

    def __init__(self, world, name, host):
        self.world, self.name, self.host = world, name, host
        self.net = SimNet(world.web, host)
        self.net.belongs = partial(owner.set, self)
        self.scope = trio.CancelScope()
        self.up, self.over = trio.Event(), trio.Event()
        self.node = None
        self.frozen = None
        self.processors, self.busy_until = None, 0  # of overload.py: whose turns cost time

    async def run(self, work):
        owner.set(self)
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.net.home = nursery
                await work(self, nursery)
        self.net.vanish()
        self.over.set()

    def enter(self, work):
        """Call a function as a turn of this process: tasks that it starts are of it."""

        def turn():
            owner.set(self)
            return work()

        return contextvars.copy_context().run(turn)

    def kill(self):
        self.net.vanish()
        self.scope.cancel()
        self.wake()

    def freeze(self):
        """As SIGSTOP: nothing of it runs, its clock goes on, its sockets take what fits."""
        if self.frozen is None:
            self.frozen = []

    def wake(self):
        paused_tasks, self.frozen = self.frozen or [], None
        for task, outcome in paused_tasks:
            trio.lowlevel.reschedule(task, *outcome)


class World:
    """Invariant: everything random comes from rng, everything timed from the virtual clock."""

    def __init__(self, seed, nursery):
        self.seed, self.nursery = seed, nursery
        self.rng = random.Random(seed)
        self.web = Web(random.Random(f"web{seed}"))
        self.trace = Trace()
        self.disks, self.processes = {}, {}
        self.core, self.application = [], {}
        self.zones = {}
        self.gated, self.boots = False, {}
        self.request_audit = RequestAudit(DIALECT)
        self.meddle = {}  # method -> None, it is lost on its way, or how much later it leaves
        self.started = 0

    # ------------------------------------------------------------ places

    def place(self, core=3, application=("desk", "desk"), gate=False, **boots):
        """gate: mdproxies are GatewayProxies, the register is founded by the seeds. boots: further facts
        of every boot of a mdproxy."""
        self.gated, self.boots = gate, boots
        self.core = [f"10.0.0.{n}" for n in range(1, core + 1)]
        self.application = {f"10.0.1.{n}": s for n, s in enumerate(application, 1)}
        hosts = [*self.core, *self.application]
        self.zones = {host: "abc"[index % 3] for index, host in enumerate(hosts)}

    def boot(self, role, host):
        facts = {
            "host": host,
            "hall": self.zones[host],
            "seeds": [f"{h}:7411" for h in self.core[:3]],
            "fleet_key": KEY,
            "nodes_expected": max(1, len(self.application)),
        }
        if self.gated:
            facts["seeds"] = [f"{h}:7421" for h in self.core[:3]]
        if role == "mdconf":
            members = [] if self.gated else [f"{h}:7421" for h in self.core]
            losses = (len(self.core) - 1) // 2  # a lone core machine can bear none
            facts |= {"data": "sim", "members": members, "losses": min(losses, 2)}
        elif role == "mdproxy" and self.gated:
            facts |= {"gate": f"{host}:{GATE_PORT}", "gate_port": LINKS_OF_GATES, **self.boots}
            if self.application.get(host):
                facts["service"] = self.application[host]
        return validate_settings(role, facts)

    # ------------------------------------------------------------ processes

    def launch(self, name, host, work):
        process = self.processes[name] = Process(self, name, host)
        self.nursery.start_soon(process.run, work)
        return process

    async def start(self, role, host):
        boot = self.boot(role, host)
        disk = self.disks.setdefault((role, host), SimDisk(random.Random(f"{host}{self.seed}")))
        self.started += 1
        rng = random.Random(f"{role}{host}{self.started}{self.seed}")

        async def work(process, nursery):
            wall = lambda: WALL + monotonic_us()  # noqa: E731
            runtime = Runtime(process.net, disk, rng, offload=inline, wall_us=wall)
            process.node = Node(
                boot, runtime, nursery, Log(boot.node_name, self.trace, timed=False)
            )
            self.listen(process.node.rpc)
            disk.on_loss = process.kill
            gated = self.gated and role == "mdproxy"
            await nursery.start(process.node.run, GateProxy if gated else PARTS[role])
            process.up.set()

        process = self.launch(f"{role}@{host}", host, work)
        await process.up.wait()
        return process

    def listen(self, links):
        """Stands where a process' calls over links leave it: notes spills, and meddles."""
        original = links.call

        async def call(address, method, args, due):
            if method == "call.run":
                self.web.sendings.append((monotonic_us(), "spill", args["id"]))
            if method in self.meddle:
                late = self.meddle[method]
                if late is None:
                    raise ConnectionFailed(True, "lost on the way")
                await sleep_us(late)
            return await original(address, method, args, due)

        links.call = call

    async def stop(self, name):
        """As the platform's polite signal."""
        process = self.processes.pop(name)
        begun = monotonic_us()
        process.node.shutdown.requested.set()
        await process.over.wait()
        return monotonic_us() - begun

    def kill(self, name):
        self.processes.pop(name).kill()

    def power_off(self, role, host):
        self.processes.pop(f"{role}@{host}").kill()
        self.disks[role, host].power_off()

    def lose_disk(self, role, host):
        del self.disks[role, host]

    async def start_all(self):
        async with trio.open_nursery() as nursery:
            for host in self.core:
                nursery.start_soon(self.start, "mdreg", host)
                nursery.start_soon(self.start, "mdconf", host)
            for host in self.application:
                nursery.start_soon(self.start, "mdproxy", host)

    def node(self, role, host):
        return self.processes[f"{role}@{host}"].node

    def daemon(self, role, host):
        return self.node(role, host).daemon

    # ------------------------------------------------------------ endpoints and callers

    async def endpoint(
        self,
        host,
        service,
        handler,
        port=8000,
        capacity=4,
        load=None,
        wait=True,
        kind=Endpoint,
        record=None,
    ):
        address = f"{host}:{port}"
        self.started += 1
        endpoint = kind(
            None,
            service,
            address,
            f"{host}:7400",
            f"i{self.started}",
            handler,
            capacity,
            load,
            record,
        )

        async def work(process, nursery):
            endpoint.net = process.net
            await nursery.start(endpoint.serve, trio.Event())
            process.up.set()
            nursery.start_soon(endpoint.run)

        process = self.launch(f"endpoint@{address}", host, work)
        await process.up.wait()
        if wait:
            await endpoint.enrolled.wait()
        return endpoint

    async def stand_in(self, host, service=None, port=8000, sends_heartbeats=True, **terms):
        """An endpoint of raw bytes that sends heartbeats to the proxy of its machine."""
        self.started += 1
        address = f"{host}:{port}"
        service = service or self.application[host]
        endpoint = StandIn(service, address, f"i{self.started}", DIALECT, **terms)
        self.request_audit.endpoints.append(endpoint)

        async def work(process, nursery):
            endpoint.process = process
            await nursery.start(endpoint.serve, process.net, nursery)
            process.up.set()
            if sends_heartbeats:
                await self.heartbeat_loop(host, endpoint)

        process = self.launch(f"endpoint@{address}", host, work)
        await process.up.wait()
        return endpoint

    async def heartbeat_loop(self, host, endpoint, every=500 * MILLISECOND):
        sequence = 0
        while not endpoint.left:
            sequence += 1
            self.heartbeat(host, endpoint, sequence)
            await sleep_us(every)

    def heartbeat(self, host, endpoint, sequence, **facts):
        proxy = self.processes.get(f"mdproxy@{host}")
        if proxy is None or proxy.frozen is not None or proxy.node is None:
            return
        facts_sent = {
            "service": endpoint.service,
            "address": endpoint.address,
            "instance": endpoint.instance.decode(),
            "capacity": endpoint.slots,
            "draining": endpoint.draining,
            "warm_us": 0,
            "sequence": sequence,
            **facts,
        }
        if proxy.node.daemon is not None:
            proxy.enter(lambda: proxy.node.daemon.endpoint_heartbeat(facts_sent))

    async def caller(self, host, address=None):
        """A caller's connection from this machine to its gate; failed is set if it came to none."""
        net = SimNet(self.web, host)
        reactor = Reactor()
        wires = net.wires(self.nursery, reactor)
        self.nursery.start_soon(reactor.run)
        caller = StandInCaller(self.request_audit, host, self.application.get(host))
        self.request_audit.callers.append(caller)
        wires.dial(address or f"{host}:{GATE_PORT}", monotonic_us() + SECOND, caller)
        await caller.opened.wait()
        return caller

    async def set_items(self, items, core=0):
        """A change by items; gives its version."""
        status, answer = await self.operate("POST", "/items", {"items": items}, core)
        assert status == 200, answer
        return answer["version"]

    def client(self, host, token=None):
        net = SimNet(self.web, host)
        net.home = self.nursery
        return Client(net, f"{host}:7400", token)

    async def http(self, host, method, address, path, facts=None, headers=()):
        """One plain request; gives (status, headers, facts)."""
        net = SimNet(self.web, host)
        net.home = self.nursery
        body = facts if isinstance(facts, bytes) else json.dumps(facts).encode() if facts else b""
        status, lines, answer = await net.http_connection(address).request(
            method, path, list(headers), body
        )
        return status, dict(lines), json.loads(answer) if answer else None

    async def operate(self, method, path, facts=None, core=0):
        host = self.core[core]
        status, _, answer = await self.http(host, method, f"{host}:7420", path, facts)
        return status, answer

    async def configure(self, manifest, core=0):
        """Plan and confirm; gives the version."""
        status, planned = await self.operate("POST", "/plan", manifest, core)
        assert status == 200, planned
        status, answer = await self.operate("POST", "/confirm", {"plan": planned["plan"]}, core)
        assert status == 200, answer
        return answer["version"]

    async def eventually(self, check, within=10 * SECOND, every=20 * MILLISECOND):
        """Wait, in virtual time, until check() is true; gives how long that took."""
        begun = monotonic_us()
        while not check():
            if monotonic_us() - begun > within:
                raise AssertionError(f"not within {within} us: {check.__name__}")
            await sleep_us(every)
        return monotonic_us() - begun


def run(scenario, seed=1, **places):
    """Run `scenario(world)` under a seed; gives what it gives. Nothing here takes real time."""
    hook_scheduler()
    order = trio._core._run  # trio has no public door to its scheduler's randomness
    order._ALLOW_DETERMINISTIC_SCHEDULING = True
    order._r.seed(seed)

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(seed, nursery)
            world.place(**places)
            try:
                return await scenario(world)
            finally:
                for process in world.processes.values():
                    process.wake()  # who is frozen can't end
                    process.processors = None
                for disk in world.disks.values():
                    if disk.stalled is not None:
                        disk.stalled.set()  # nor who waits for a disk
                nursery.cancel_scope.cancel()

    return trio.run(main, clock=Clock())


__all__ = ["World", "run"]
