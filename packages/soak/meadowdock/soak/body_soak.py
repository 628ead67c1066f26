"""A soak run of clients that send large bodies, whole or stopped short, beside restarts and changes.

All processes have low limits of memory and descriptors, and callers keep using open connections.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import trio

from meadowdock.forwarding import Reactor, SocketNetwork
from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.standin import StandInCaller
from meadowdock.soak.answer_soak import MEMORY_MB, WATCH_INTERVAL_US, LimitedFleet
from meadowdock.soak.daemon import DIALECT
from meadowdock.soak.fleet import GATEWAY_PORT, SERVICE, soak_topology
from meadowdock.soak.planned_work import PlannedWork
from meadowdock.soak.restart_soak import RestartSoak, sighup_ignored
from meadowdock.soak.soak import Plan, Result
from meadowdock.soak.traffic import route_item

BODY_BYTES = 2 << 20
ONE_BYTE_BODY_BYTES = 64 << 10  # in chunks of one byte
PIECE_BYTES = 64 << 10
CLIENTS_MAX = 4  # of one crowd
CROWDS_MAX = 2  # at once
BODY_DEADLINE_MS = 1_000
MIN_DURATION_S, MAX_DURATION_S = 0.4, 2.5
PAUSE_US = 20 * MILLISECOND  # between two requests of a client
WHOLE, NOWHERE = "whole", "nowhere"
SHORT, SHORT_CHUNKS, SHORT_ONE_BYTE_CHUNKS = "short", "short chunks", "short one-byte chunks"
KINDS = (WHOLE, NOWHERE, SHORT, SHORT_CHUNKS, SHORT_ONE_BYTE_CHUNKS)
PREFIX_OF_NOWHERE = "/nowhere/"  # a route of a service without an endpoint


@dataclass(frozen=True)
class BodyCrowd:
    """A time in which clients of a host send bodies.

    :ivar start_s: since the start of the load.
    """

    kind: str
    start_s: float
    duration_s: float
    host: str
    clients: int

    def __str__(self) -> str:
        return (
            f"{self.start_s:5.2f} s {self.clients} clients with bodies, {self.kind}, {self.host} "
            f"for {self.duration_s:.2f} s"
        )

    def overlaps(self, other: BodyCrowd) -> bool:
        """Return whether both are there at some moment."""
        return (
            self.start_s < other.start_s + other.duration_s
            and other.start_s < self.start_s + self.duration_s
        )


def draw_body_crowds(seed: int, seconds: float, hosts: list[str], count: int) -> list[BodyCrowd]:
    """Return the crowds of a run, ordered by their start; CROWDS_MAX of them may overlap with another."""
    rng = random.Random(f"bodies{seed}")
    drawn: list[BodyCrowd] = []
    for _ in range(20 * count):
        if len(drawn) == count:
            break
        new = BodyCrowd(
            rng.choice(KINDS),
            round(rng.uniform(0, max(0.0, seconds - MAX_DURATION_S)), 2),
            round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
            rng.choice(hosts),
            rng.randint(1, CLIENTS_MAX),
        )
        if sum(crowd.overlaps(new) for crowd in drawn) < CROWDS_MAX:
            drawn.append(new)
    return sorted(drawn, key=lambda crowd: crowd.start_s)


def items_of_nowhere() -> list[dict[str, Any]]:
    """Return the items of a route whose service has no endpoint."""
    service = {"health": "/health", "connections": 100}
    route = route_item("once", 1)
    spec = {**route["spec"], "prefix": PREFIX_OF_NOWHERE, "split": [[NOWHERE, 1]]}
    return [
        {"kind": "service", "name": NOWHERE, "version": 1, "spec": service, "source": "1"},
        {**route, "name": NOWHERE, "spec": spec},
    ]


def raw_request(kind: str, call_id: str) -> Iterator[bytes]:
    """Yield the bytes of a request that has no outcome: for no endpoint, or a byte short of its end."""
    path = PREFIX_OF_NOWHERE if kind == NOWHERE else "/once/"
    head = b"POST %b%b HTTP/1.1\r\nHost: h.example\r\n%b: %b\r\n%b: %d\r\n" % (
        path.encode(),
        call_id.encode(),
        DIALECT.call_id,
        call_id.encode(),
        DIALECT.deadline,
        BODY_DEADLINE_MS * MILLISECOND // DIALECT.deadline_unit_us,
    )
    if kind in (NOWHERE, SHORT):
        yield head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        for _ in range(BODY_BYTES // PIECE_BYTES - 1):
            yield bytes(PIECE_BYTES)
        yield bytes(PIECE_BYTES - (kind == SHORT))
        return
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    is_large = kind == SHORT_CHUNKS
    size, total = (PIECE_BYTES, BODY_BYTES) if is_large else (1, ONE_BYTE_BODY_BYTES)
    chunk = b"%x\r\n%b\r\n" % (size, bytes(size))
    a_piece = max(1, PIECE_BYTES // len(chunk))
    for _ in range(total // size // a_piece):
        yield chunk * a_piece
    yield b"0\r\n\r"


class BodySoak(RestartSoak):
    """A soak run with planned work, and clients that send bodies."""

    fleet: LimitedFleet

    def __init__(self, fleet: LimitedFleet, seed: int, plan: Plan) -> None:
        super().__init__(fleet, seed, plan)
        crowds = draw_body_crowds(seed, plan.seconds, self.proxies, plan.faults)
        self.result.faults = [*self.result.faults, *crowds]
        self.call_number = 0
        self.nursery: trio.Nursery | None = None

    def start_traffic(self, nursery: trio.Nursery) -> None:
        """Start the load, the changes, the persistent callers and the watch on memory."""
        super().start_traffic(nursery)
        self.nursery = nursery
        nursery.start_soon(self.watch_memory)

    async def wait_until_served(self, nursery: trio.Nursery) -> None:
        """Wait until a call at each host has been served, and add the route to nowhere."""
        await super().wait_until_served(nursery)
        self.check(await self.traffic.send_change(items_of_nowhere()), "no route to nowhere")

    async def watch_memory(self) -> None:
        """Sample the memory of all processes until cancelled."""
        while True:
            self.fleet.sample_memory()
            await sleep_us(WATCH_INTERVAL_US)

    async def inject(self, work: PlannedWork | BodyCrowd, started_us: int) -> None:
        """Wait for the start of planned work or of a crowd, and carry it out."""
        if isinstance(work, PlannedWork):
            await super().inject(work, started_us)
            return
        await sleep_us(started_us + int(work.start_s * SECOND) - monotonic_us())
        ends_at = monotonic_us() + int(work.duration_s * SECOND)
        async with trio.open_nursery() as clients:
            for _ in range(work.clients):
                clients.start_soon(self.run_client, work, ends_at)

    async def run_client(self, crowd: BodyCrowd, ends_at: int) -> None:
        """Send bodies of one kind, each on a new connection, until a time."""
        while monotonic_us() < ends_at:
            self.call_number += 1
            if crowd.kind == WHOLE:
                await self.send_whole(crowd.host)
            else:
                await self.send_raw(crowd, ends_at)
            await sleep_us(PAUSE_US)

    async def send_whole(self, host: str) -> None:
        """Send a request with a whole body, which is audited like all others."""
        assert self.nursery is not None
        reactor = Reactor()
        network = SocketNetwork(host, self.nursery, reactor)
        audit = self.traffic.request_audit
        with trio.CancelScope() as scope:
            self.nursery.start_soon(self.traffic.run_reactor, reactor, scope)
            caller = StandInCaller(audit, host, SERVICE)
            audit.callers.append(caller)
            network.dial(f"{host}:{GATEWAY_PORT}", monotonic_us() + SECOND, caller)
            await caller.opened.wait()
            if caller.failed is not None:
                audit.callers.remove(caller)
                return
            target = b"/%s/body-%d" % (
                self.traffic.rng.choice((b"safe", b"once")),
                self.call_number,
            )
            exchange = caller.ask(
                target, b"PUT", body=bytes(BODY_BYTES), due_ms=BODY_DEADLINE_MS * MILLISECOND
            )
            with trio.move_on_after(2 * BODY_DEADLINE_MS / 1000):
                await exchange.done.wait()
            if not exchange.done.is_set():
                caller.hang_up()
            elif caller.wire is not None:
                caller.wire.close()

    async def send_raw(self, crowd: BodyCrowd, ends_at: int) -> None:
        """Send a request that never runs, and stay until it is answered or the crowd ends."""
        with (
            contextlib.suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError),
            trio.move_on_after(max(0.0, (ends_at - monotonic_us()) / SECOND)),
        ):
            stream = await trio.open_tcp_stream(crowd.host, GATEWAY_PORT, local_address=crowd.host)
            async with stream:
                for part in raw_request(crowd.kind, f"raw-{self.call_number}"):
                    await stream.send_all(part)
                while await stream.receive_some():
                    pass

    async def check_results(self, healthy_from_us: int) -> None:
        """Check the invariants of every run, that nothing was lost, and the memory of all processes."""
        await super().check_results(healthy_from_us)
        for name, peak_kb in self.fleet.peaks_kb.items():
            self.check(peak_kb <= MEMORY_MB * 1000, f"{name} used {peak_kb} kB of {MEMORY_MB} MB")
        self.result.violations += [
            f"event {event}" for event in self.fleet.log_events(log_events.PROCESS_FAILED)
        ]


def run_body_soak(
    seed: int, plan: Plan, net: str, folder: str, proxies: int = 4, core: int = 3
) -> Result:
    """Run one soak of bodies on a free loopback network, with its files in its own folder."""
    fleet = LimitedFleet(soak_topology(net, proxies, core), folder)
    with sighup_ignored():
        try:
            fleet.start_daemons()
            return trio.run(BodySoak(fleet, seed, plan).run)
        finally:
            fleet.stop_all()
