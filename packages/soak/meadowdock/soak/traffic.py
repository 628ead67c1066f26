"""The two ends of a soak's traffic, in the driver's own process, over real sockets: endpoints that
beat and may lose answers, callers of requests that may and that may not be repeated, and an
operator that changes the configuration all the time."""

from __future__ import annotations

import json
import random
import socket
import struct

import trio

from meadowdock.forwarding import Reactor, SocketNetwork
from meadowdock.forwarding.sockets import SocketConnection
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    Net,
    deadline_scope,
    monotonic_us,
    sleep_us,
)
from meadowdock.simulator.standin import RequestAudit, StandIn, StandInCaller
from meadowdock.soak.daemon import DIALECT, HEARTBEATS_PORT
from meadowdock.soak.fleet import GATE_PORT, SERVICE, SLOTS

HEARTBEAT_INTERVAL = 250 * MILLISECOND
ORDER_EVERY = 400 * MILLISECOND
ORDER_WAIT = SECOND
DEADLINE_MS = 800
AIM_US, TIMEOUT_US = 400 * MILLISECOND, 2 * SECOND
WORK_US = 140 * MILLISECOND  # of 24 slots in all, 17 are in use when all is well
LOSING = ("reset", "close", "short", "silence", "own_503", "twice_late")
ROUTES = {"safe": ("safe", 1), "once": ("once", 0)}  # name: repeat, priority


def route(name: str, version: int) -> dict:
    """A route's item."""
    repeat, priority = ROUTES[name]
    spec = {
        "host": "h.example",
        "prefix": f"/{name}/",
        "repeat": repeat,
        "timeout_us": TIMEOUT_US,
        "aim_us": AIM_US,
        "priority": priority,
        "tries": 2,
        "split": [[SERVICE, 1]],
    }
    return {"kind": "route", "name": name, "version": version, "spec": spec, "source": str(version)}


def first_items() -> list[dict]:
    """The configuration that a soak begins with."""
    service = {"health": "/health", "connections": 100}
    return [
        {"kind": "service", "name": SERVICE, "version": 1, "spec": service, "source": "1"},
        *(route(name, 1) for name in ROUTES),
    ]


class ResettableWire(SocketConnection):
    """A connection that can be reset, as a faulty endpoint resets it."""

    __slots__ = ()

    def abort(self) -> None:
        """Close with a reset."""
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()


class RealNet:
    """What a stand-in asks of a network, on real sockets from one host."""

    def __init__(self, host: str) -> None:
        self.host = host

    def wires(self, nursery: trio.Nursery, reactor: Reactor) -> SocketNetwork:
        """Connections of this host."""
        return SocketNetwork(self.host, nursery, reactor, ResettableWire)


class Traffic:
    """Invariant: request_audit holds every request and every run; acknowledged is the highest version of
    the route that the operator was told is accepted."""

    def __init__(self, core: list[str], proxies: list[str], seed: int) -> None:
        self.core, self.proxies = core, proxies
        self.rng = random.Random(f"traffic{seed}")
        self.request_audit = RequestAudit(DIALECT)
        self.endpoints: dict[str, StandIn] = {}
        self.losing: set[str] = set()  # hosts whose endpoint loses answers now
        self.version = self.acknowledged = 1
        self.orders = self.orders_acknowledged = 0
        self.over = trio.Event()

    # ------------------------------------------------------------ endpoints

    async def start_endpoint(self, nursery: trio.Nursery, host: str) -> None:
        """An endpoint beside the proxy of a host."""
        stand_in = StandIn(SERVICE, f"{host}:8000", f"i-{host}", DIALECT, SLOTS, 4 * SLOTS, WORK_US)
        self.endpoints[host] = stand_in
        self.request_audit.endpoints.append(stand_in)
        await nursery.start(stand_in.serve, RealNet(host), nursery)
        nursery.start_soon(self.heartbeats, host, stand_in)
        nursery.start_soon(self.lose_answers, host, stand_in)

    async def heartbeats(self, host: str, stand_in: StandIn) -> None:
        """Its heartbeats."""
        sequence = 0
        while True:
            sequence += 1
            facts = {
                "service": SERVICE,
                "address": stand_in.address,
                "instance": stand_in.instance.decode(),
                "capacity": SLOTS,
                "draining": False,
                "warm_us": 0,
                "sequence": sequence,
            }
            await self.http(host, f"{host}:{HEARTBEATS_PORT}", "POST", "/beat", facts)
            await sleep_us(HEARTBEAT_INTERVAL)

    async def lose_answers(self, host: str, stand_in: StandIn) -> None:
        """While it is told to, a third of its answers go wrong in one way or another."""
        while True:
            if host in self.losing:
                stand_in.faults["*"] = [self.rng.choice((*LOSING, None, None)) for _ in range(3)]
            await sleep_us(50 * MILLISECOND)

    # ------------------------------------------------------------ callers

    async def call(self, nursery: trio.Nursery, host: str, name: str, number: int) -> object | None:
        """One request on a connection of its own; None if none could be opened."""
        reactor = Reactor()
        wires = SocketNetwork(host, nursery, reactor)
        with trio.CancelScope() as scope:
            nursery.start_soon(self.run_reactor, reactor, scope)
            caller = StandInCaller(self.request_audit, host, SERVICE)
            self.request_audit.callers.append(caller)
            wires.dial(f"{host}:{GATE_PORT}", monotonic_us() + SECOND, caller)
            await caller.opened.wait()
            if caller.failed is not None:
                self.request_audit.callers.remove(caller)
                return None
            asked = caller.ask(
                b"/%s/%d" % (name.encode(), number), due_ms=DEADLINE_MS * MILLISECOND
            )
            with trio.move_on_after(2 * DEADLINE_MS / 1000):
                await asked.done.wait()
            if not asked.done.is_set():
                caller.hang_up()
            elif caller.wire is not None:
                caller.wire.close()
        return asked

    async def run_reactor(self, reactor: Reactor, scope: trio.CancelScope) -> None:
        """The turns of one caller, a while longer than its call."""
        with trio.move_on_after(3 * DEADLINE_MS / 1000):
            await reactor.run()

    async def ask_all(self, nursery: trio.Nursery, per_s: float) -> None:
        """Requests at all hosts, as they come."""
        number = 0
        while not self.over.is_set():
            number += 1
            host = self.rng.choice(self.proxies)
            nursery.start_soon(self.call, nursery, host, self.rng.choice(list(ROUTES)), number)
            await sleep_us(int(self.rng.expovariate(per_s) * SECOND))

    # ------------------------------------------------------------ operator

    async def http(
        self, source: str | None, address: str, method: str, path: str, facts: object = None
    ) -> tuple[int, dict]:
        """One plain request; (0, {}) without an answer in time."""
        connection = Net(source).http_connection(address)
        body = json.dumps(facts).encode() if facts is not None else b""
        try:
            with deadline_scope(monotonic_us() + ORDER_WAIT):
                status, _, answer = await connection.request(method, path, [], body)
                return status, json.loads(answer)
        except (HttpConnectionFailed, ValueError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()
        return 0, {}

    async def order(self, items: list[dict]) -> bool:
        """An order, sent to one core machine after the other until it is acknowledged."""
        self.orders += 1
        for turn in range(4 * len(self.core)):
            host = self.core[(self.orders + turn) % len(self.core)]
            status, _ = await self.http(None, f"{host}:7420", "POST", "/items", {"items": items})
            if status == 200:
                self.orders_acknowledged += 1
                return True
            await sleep_us(100 * MILLISECOND)
        return False

    async def order_again_and_again(self) -> None:
        """Changes of one route, each of a higher version."""
        while not self.over.is_set():
            self.version += 1
            if await self.order([route("safe", self.version)]):
                self.acknowledged = self.version
            await sleep_us(ORDER_EVERY)

    async def read_back(self) -> int:
        """The version of the route that a quorum knows; 0 if nobody answers."""
        for host in self.core:
            status, told = await self.http(None, f"{host}:7420", "GET", "/items")
            if status == 200:
                return next(i["version"] for i in told["items"] if i["name"] == "safe")
        return 0
