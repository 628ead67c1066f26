"""A simulated deployment: processes, machines, network and disks under one seed.

`run` produces the same trace for the same seed.
"""

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

DAEMON_CLASSES = {"mdproxy": ProxyServer, "mdreg": RegistryServer, "mdconf": ConfigStore}
KEY = "5a" * 32
GATE_PORT, GATEWAY_LINK_PORT = 7440, 7402
DIALECT = Dialect(deadline_unit_us=1000, stamp=b"md-stamp")
WALL = 1_700_000_000 * SECOND


class Clock(trio.abc.Clock):
    """Virtual time that jumps to the next deadline whenever no task can run.

    Trio asks for the time to sleep only when all tasks are blocked, so the clock can be advanced
    right there. trio's MockClock needs a full idle round of the scheduler for each jump.
    """

    def __init__(self):
        self.now_s = 0.0

    def start_clock(self):
        pass

    def current_time(self):
        return self.now_s

    def deadline_to_sleep_time(self, deadline):
        if deadline == float("inf"):
            return deadline
        self.now_s = max(self.now_s, deadline)
        return 0


async def run_inline(work, *args):
    """Run a function at once, in place of the worker thread that a real process would use."""
    await trio.lowlevel.checkpoint()
    return work(*args)


class Trace(io.StringIO):
    """A log stream that keeps each line of the processes with its virtual time."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def write(self, text):
        if text.strip():
            self.lines.append((monotonic_us(), json.loads(text)))

    def events(self, *numbers):
        """Return the (time, line) pairs of the events with these numbers."""
        return [(logged_at, line) for logged_at, line in self.lines if line["number"] in numbers]


# The process that a task belongs to. Child tasks inherit it; a task that serves a request on the
# receiving side sets it.
owner = contextvars.ContextVar("owner", default=None)


def hook_scheduler():
    """Wrap trio's scheduler so that tasks of a frozen or slowed process wait.

    Wake-ups of a frozen process are kept until it is resumed. Trio has no public interface for
    this, so the simulator replaces a method of its scheduler.
    """
    runner = trio._core._run.Runner
    if getattr(runner, "md_hooked", False):
        return
    original = runner.reschedule

    def reschedule(self, task, *outcome):
        process = task.context.get(owner)
        if process is not None and process.frozen is not None:
            task._abort_func = None  # already woken: a cancellation must not wake it again
            process.frozen.append((task, outcome))
        elif process is not None and process.processors is not None:
            task._abort_func = None
            process.processors.schedule(process, task, outcome)
        else:
            original(self, task, *outcome)

    def resume(self, task, outcome):
        """Reschedule a task whose turn on the simulated processor is over."""
        if self.frozen is not None:
            self.frozen.append((task, outcome))
        else:
            original(trio._core._run.GLOBAL_RUN_CONTEXT.runner, task, *outcome)

    Process.resume = resume
    runner.reschedule, runner.md_hooked = reschedule, True


class GateProxy(GatewayProxy):
    dialect = DIALECT


class Process:
    """A simulated operating-system process.

    Invariants: scope covers all tasks of the process, and once it is cancelled the process's
    network is gone. frozen is None, or the wake-ups since the freeze in their order.
    """

    def __init__(self, world, name, host):
        self.world, self.name, self.host = world, name, host
        self.net = SimNet(world.web, host)
        self.net.set_task_owner = partial(owner.set, self)
        self.scope = trio.CancelScope()
        self.up, self.over = trio.Event(), trio.Event()
        self.node = None
        self.frozen = None
        # set by overload.py: processors on which each turn of this process takes time
        self.processors, self.busy_until = None, 0

    async def run(self, work):
        owner.set(self)
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.net.home = nursery
                await work(self, nursery)
        self.net.vanish()
        self.over.set()

    def enter(self, work):
        """Call a function as this process: the tasks that it starts belong to the process."""

        def run_as_process():
            owner.set(self)
            return work()

        return contextvars.copy_context().run(run_as_process)

    def kill(self):
        """Kill the process as SIGKILL does: its connections are reset."""
        self.net.vanish()
        self.scope.cancel()
        self.wake()

    def freeze(self):
        """Stop the process as SIGSTOP does.

        None of its tasks run, its clock advances, and its sockets accept data until their buffers
        are full.
        """
        if self.frozen is None:
            self.frozen = []

    def wake(self):
        """Continue a frozen process as SIGCONT does."""
        paused_tasks, self.frozen = self.frozen or [], None
        for task, outcome in paused_tasks:
            trio.lowlevel.reschedule(task, *outcome)


class World:
    """A simulated deployment with its processes, disks, network and stand-ins.

    Invariant: all randomness comes from generators under the seed, all time from the virtual clock.
    """

    def __init__(self, seed, nursery):
        self.seed, self.nursery = seed, nursery
        self.rng = random.Random(seed)
        self.web = Web(random.Random(f"web{seed}"))
        self.trace = Trace()
        self.disks, self.processes = {}, {}
        self.core, self.application = [], {}
        self.zones = {}
        self.gated, self.proxy_boot_settings = False, {}
        self.request_audit = RequestAudit(DIALECT)
        # method -> None: calls of it are lost on the way; or by how many us they are delayed
        self.meddle = {}
        self.start_count = 0

    def place(self, core=3, application=("desk", "desk"), gate=False, **proxy_boot_settings):
        """Assign hosts, services and zones.

        :param gate: whether each mdproxy is a GatewayProxy, and the register's first members come
            from the seeds.
        :param proxy_boot_settings: further boot settings of every mdproxy.
        """
        self.gated, self.proxy_boot_settings = gate, proxy_boot_settings
        self.core = [f"10.0.0.{n}" for n in range(1, core + 1)]
        self.application = {f"10.0.1.{n}": s for n, s in enumerate(application, 1)}
        hosts = [*self.core, *self.application]
        self.zones = {host: "abc"[index % 3] for index, host in enumerate(hosts)}

    def boot(self, role, host):
        """Return the validated boot settings of a daemon."""
        settings = {
            "host": host,
            "hall": self.zones[host],
            "seeds": [f"{h}:7411" for h in self.core[:3]],
            "fleet_key": KEY,
            "nodes_expected": max(1, len(self.application)),
        }
        if self.gated:
            settings["seeds"] = [f"{h}:7421" for h in self.core[:3]]
        if role == "mdconf":
            members = [] if self.gated else [f"{h}:7421" for h in self.core]
            losses = (len(self.core) - 1) // 2  # a single core machine tolerates no loss
            settings |= {"data": "sim", "members": members, "losses": min(losses, 2)}
        elif role == "mdproxy" and self.gated:
            settings |= {
                "gate": f"{host}:{GATE_PORT}",
                "gate_port": GATEWAY_LINK_PORT,
                **self.proxy_boot_settings,
            }
            if self.application.get(host):
                settings["service"] = self.application[host]
        return validate_settings(role, settings)

    def launch(self, name, host, work):
        """Start a process that runs work(process, nursery)."""
        process = self.processes[name] = Process(self, name, host)
        self.nursery.start_soon(process.run, work)
        return process

    async def start(self, role, host):
        """Start a daemon on the disk of its role and host, and wait until it is up."""
        boot = self.boot(role, host)
        disk = self.disks.setdefault((role, host), SimDisk(random.Random(f"{host}{self.seed}")))
        self.start_count += 1
        rng = random.Random(f"{role}{host}{self.start_count}{self.seed}")

        async def work(process, nursery):
            wall_us = lambda: WALL + monotonic_us()  # noqa: E731
            runtime = Runtime(process.net, disk, rng, offload=run_inline, wall_us=wall_us)
            process.node = Node(
                boot, runtime, nursery, Log(boot.node_name, self.trace, timed=False)
            )
            self.listen(process.node.rpc)
            disk.on_loss = process.kill
            is_gateway = self.gated and role == "mdproxy"
            await nursery.start(process.node.run, GateProxy if is_gateway else DAEMON_CLASSES[role])
            process.up.set()

        process = self.launch(f"{role}@{host}", host, work)
        await process.up.wait()
        return process

    def listen(self, links):
        """Wrap a process's outgoing calls: record spills, and lose or delay calls as set in meddle."""
        original = links.call

        async def call(address, method, args, due):
            if method == "call.run":
                self.web.sendings.append((monotonic_us(), "spill", args["id"]))
            if method in self.meddle:
                delay_us = self.meddle[method]
                if delay_us is None:
                    raise ConnectionFailed(True, "lost on the way")
                await sleep_us(delay_us)
            return await original(address, method, args, due)

        links.call = call

    async def stop(self, name):
        """Stop a process gracefully, as the platform's SIGTERM does; return the time in us."""
        process = self.processes.pop(name)
        begun = monotonic_us()
        process.node.shutdown.requested.set()
        await process.over.wait()
        return monotonic_us() - begun

    def kill(self, name):
        self.processes.pop(name).kill()

    def power_off(self, role, host):
        """Kill a daemon and cut the power of its disk."""
        self.processes.pop(f"{role}@{host}").kill()
        self.disks[role, host].power_off()

    def lose_disk(self, role, host):
        del self.disks[role, host]

    async def start_all(self):
        """Start all daemons, and wait until they are up."""
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
        """Start an endpoint of the client library and wait until its proxy knows it.

        :param wait: whether to wait for its enrolment.
        :param kind: the class of the endpoint.
        :param record: its record of executed keys, or None.
        """
        address = f"{host}:{port}"
        self.start_count += 1
        endpoint = kind(
            None,
            service,
            address,
            f"{host}:7400",
            f"i{self.start_count}",
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
        """Start a raw-byte endpoint that sends heartbeats to the proxy of its machine."""
        self.start_count += 1
        address = f"{host}:{port}"
        service = service or self.application[host]
        endpoint = StandIn(service, address, f"i{self.start_count}", DIALECT, **terms)
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

    def heartbeat(self, host, endpoint, sequence, **overrides):
        """Hand a heartbeat of a raw-byte endpoint to the proxy of its machine, if that runs."""
        proxy = self.processes.get(f"mdproxy@{host}")
        if proxy is None or proxy.frozen is not None or proxy.node is None:
            return
        heartbeat = {
            "service": endpoint.service,
            "address": endpoint.address,
            "instance": endpoint.instance.decode(),
            "capacity": endpoint.slots,
            "draining": endpoint.draining,
            "warm_us": 0,
            "sequence": sequence,
            **overrides,
        }
        if proxy.node.daemon is not None:
            proxy.enter(lambda: proxy.node.daemon.endpoint_heartbeat(heartbeat))

    async def caller(self, host, address=None):
        """Connect a caller on this machine to its gateway.

        The caller's `failed` is set if no connection was established.
        """
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
        """Change the configuration by items; return the new version."""
        status, answer = await self.operate("POST", "/items", {"items": items}, core)
        assert status == 200, answer
        return answer["version"]

    def client(self, host, token=None):
        net = SimNet(self.web, host)
        net.home = self.nursery
        return Client(net, f"{host}:7400", token)

    async def http(self, host, method, address, path, facts=None, headers=()):
        """Send one plain request; return (status, headers, decoded JSON body)."""
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
        """Plan and confirm a manifest; return its version."""
        status, planned = await self.operate("POST", "/plan", manifest, core)
        assert status == 200, planned
        status, answer = await self.operate("POST", "/confirm", {"plan": planned["plan"]}, core)
        assert status == 200, answer
        return answer["version"]

    async def eventually(self, check, within=10 * SECOND, every=20 * MILLISECOND):
        """Wait, in virtual time, until check() is true; return how long that took in us."""
        begun = monotonic_us()
        while not check():
            if monotonic_us() - begun > within:
                raise AssertionError(f"not true within {within} us: {check.__name__}")
            await sleep_us(every)
        return monotonic_us() - begun


def run(scenario, seed=1, **layout):
    """Run `scenario(world)` under a seed on the virtual clock; return its result.

    :param layout: the arguments of World.place.
    """
    hook_scheduler()
    scheduler = trio._core._run  # trio has no public interface to its scheduler's randomness
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(seed, nursery)
            world.place(**layout)
            try:
                return await scenario(world)
            finally:
                for process in world.processes.values():
                    process.wake()  # a frozen process cannot end
                    process.processors = None
                for disk in world.disks.values():
                    if disk.stalled is not None:
                        disk.stalled.set()  # nor can a process that waits for its disk
                nursery.cancel_scope.cancel()

    return trio.run(main, clock=Clock())


__all__ = ["World", "run"]
