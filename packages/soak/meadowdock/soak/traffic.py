"""The traffic of a soak run: endpoints, callers and an operator in the driver's own process.

All of them use real sockets. The endpoints send heartbeats and may lose responses; the callers send
idempotent and non-idempotent requests; the operator keeps changing the configuration.
"""

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
from meadowdock.soak.fleet import ENDPOINT_CAPACITY, GATEWAY_PORT, SERVICE

HEARTBEAT_INTERVAL_US = 250 * MILLISECOND
CHANGE_INTERVAL_US = 400 * MILLISECOND
HTTP_TIMEOUT_US = SECOND
DEADLINE_MS = 800
LATENCY_TARGET_US, TIMEOUT_US = 400 * MILLISECOND, 2 * SECOND
WORK_US = 140 * MILLISECOND  # without faults, 17 of all 24 slots are in use
RESPONSE_FAULTS = ("reset", "close", "short", "silence", "own_503", "twice_late")
ROUTES = {"safe": ("safe", 1), "once": ("once", 0)}  # name: (repeat, priority)


def route_item(name: str, version: int) -> dict:
    """Return the configuration item of a route."""
    repeat, priority = ROUTES[name]
    spec = {
        "host": "h.example",
        "prefix": f"/{name}/",
        "repeat": repeat,
        "timeout_us": TIMEOUT_US,
        "aim_us": LATENCY_TARGET_US,
        "priority": priority,
        "tries": 2,
        "split": [[SERVICE, 1]],
    }
    return {"kind": "route", "name": name, "version": version, "spec": spec, "source": str(version)}


def initial_items() -> list[dict]:
    """Return the items of the configuration that a soak run begins with."""
    service = {"health": "/health", "connections": 100}
    return [
        {"kind": "service", "name": SERVICE, "version": 1, "spec": service, "source": "1"},
        *(route_item(name, 1) for name in ROUTES),
    ]


class ResettableConnection(SocketConnection):
    """A connection that a faulty endpoint can reset."""

    __slots__ = ()

    def abort(self) -> None:
        """Close the connection with a TCP reset."""
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()


class RealNet:
    """The network that a stand-in endpoint needs, on real sockets of one host."""

    def __init__(self, host: str) -> None:
        self.host = host

    def wires(self, nursery: trio.Nursery, reactor: Reactor) -> SocketNetwork:
        """Return the socket network of this host."""
        return SocketNetwork(self.host, nursery, reactor, ResettableConnection)


class Traffic:
    """All endpoints, callers and the operator of a soak run.

    Invariant: request_audit holds every request and every execution; acknowledged_version is the
    highest version of the route "safe" whose acceptance was acknowledged to the operator.
    """

    def __init__(self, core: list[str], proxies: list[str], seed: int) -> None:
        self.core, self.proxies = core, proxies
        self.rng = random.Random(f"traffic{seed}")
        self.request_audit = RequestAudit(DIALECT)
        self.endpoints: dict[str, StandIn] = {}
        self.hosts_losing_responses: set[str] = set()
        self.sent_version = self.acknowledged_version = 1
        self.changes_sent = self.changes_acknowledged = 0
        self.change_interval_us = CHANGE_INTERVAL_US
        self.stopping = trio.Event()

    async def start_endpoint(self, nursery: trio.Nursery, host: str) -> None:
        """Start the endpoint of a host; it runs until the nursery is cancelled."""
        stand_in = StandIn(
            SERVICE,
            f"{host}:8000",
            f"i-{host}",
            DIALECT,
            ENDPOINT_CAPACITY,
            4 * ENDPOINT_CAPACITY,
            WORK_US,
        )
        self.endpoints[host] = stand_in
        self.request_audit.endpoints.append(stand_in)
        await nursery.start(stand_in.serve, RealNet(host), nursery)
        nursery.start_soon(self.send_heartbeats, host, stand_in)
        nursery.start_soon(self.inject_response_faults, host, stand_in)

    async def send_heartbeats(self, host: str, stand_in: StandIn) -> None:
        """Send the heartbeats of an endpoint to the proxy of its host."""
        sequence = 0
        while True:
            sequence += 1
            heartbeat = {
                "service": SERVICE,
                "address": stand_in.address,
                "instance": stand_in.instance.decode(),
                "capacity": ENDPOINT_CAPACITY,
                "draining": False,
                "warm_us": 0,
                "sequence": sequence,
            }
            await self.send_http_request(
                host, f"{host}:{HEARTBEATS_PORT}", "POST", "/beat", heartbeat
            )
            await sleep_us(HEARTBEAT_INTERVAL_US)

    async def inject_response_faults(self, host: str, stand_in: StandIn) -> None:
        """Give an endpoint faults for its next responses while hosts_losing_responses has its host.

        On average three of four of these responses get a fault of RESPONSE_FAULTS.
        """
        while True:
            if host in self.hosts_losing_responses:
                stand_in.faults["*"] = [
                    self.rng.choice((*RESPONSE_FAULTS, None, None)) for _ in range(3)
                ]
            await sleep_us(50 * MILLISECOND)

    async def call(self, nursery: trio.Nursery, host: str, name: str, number: int) -> object | None:
        """Send one request over a connection of its own.

        Return the exchange, also if it got no response; None if the connection could not be opened.
        """
        reactor = Reactor()
        network = SocketNetwork(host, nursery, reactor)
        with trio.CancelScope() as scope:
            nursery.start_soon(self.run_reactor, reactor, scope)
            caller = StandInCaller(self.request_audit, host, SERVICE)
            self.request_audit.callers.append(caller)
            network.dial(f"{host}:{GATEWAY_PORT}", monotonic_us() + SECOND, caller)
            await caller.opened.wait()
            if caller.failed is not None:
                self.request_audit.callers.remove(caller)
                return None
            exchange = caller.ask(
                b"/%s/%d" % (name.encode(), number), due_ms=DEADLINE_MS * MILLISECOND
            )
            with trio.move_on_after(2 * DEADLINE_MS / 1000):
                await exchange.done.wait()
            if not exchange.done.is_set():
                caller.hang_up()
            elif caller.wire is not None:
                caller.wire.close()
        return exchange

    async def run_reactor(self, reactor: Reactor, scope: trio.CancelScope) -> None:
        """Run the reactor of one caller; the time limit is longer than that of its call."""
        with trio.move_on_after(3 * DEADLINE_MS / 1000):
            await reactor.run()

    async def send_calls(self, nursery: trio.Nursery, per_s: float) -> None:
        """Send requests to random hosts at random intervals, whether or not others are served."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            host = self.rng.choice(self.proxies)
            nursery.start_soon(self.call, nursery, host, self.rng.choice(list(ROUTES)), number)
            await sleep_us(int(self.rng.expovariate(per_s) * SECOND))

    async def send_http_request(
        self, source: str | None, address: str, method: str, path: str, content: object = None
    ) -> tuple[int, dict]:
        """Send one HTTP request with a JSON body and return the status and the body's value.

        Return (0, {}) if there is no response within HTTP_TIMEOUT_US.
        """
        connection = Net(source).http_connection(address)
        body = json.dumps(content).encode() if content is not None else b""
        try:
            with deadline_scope(monotonic_us() + HTTP_TIMEOUT_US):
                status, _, response = await connection.request(method, path, [], body)
                return status, json.loads(response)
        except (HttpConnectionFailed, ValueError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()
        return 0, {}

    async def send_change(self, items: list[dict]) -> bool:
        """Send a change to one core machine after another and return whether it was acknowledged.

        Each machine is tried four times at most.
        """
        self.changes_sent += 1
        for attempt in range(4 * len(self.core)):
            host = self.core[(self.changes_sent + attempt) % len(self.core)]
            status, _ = await self.send_http_request(
                None, f"{host}:7420", "POST", "/items", {"items": items}
            )
            if status == 200:
                self.changes_acknowledged += 1
                return True
            await sleep_us(100 * MILLISECOND)
        return False

    async def change_route_repeatedly(self) -> None:
        """Change the route "safe" again and again, each time with a higher version."""
        while not self.stopping.is_set():
            self.sent_version += 1
            if await self.send_change([route_item("safe", self.sent_version)]):
                self.acknowledged_version = self.sent_version
            await sleep_us(self.change_interval_us)

    async def read_route_version(self) -> int:
        """Return the version of the route "safe" as a quorum knows it; 0 if no member answers."""
        for host in self.core:
            status, body = await self.send_http_request(None, f"{host}:7420", "GET", "/items")
            if status == 200:
                versions = (item["version"] for item in body["items"] if item["name"] == "safe")
                return next(versions, 0)
        return 0
