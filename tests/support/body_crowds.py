"""Clients that send large bodies of legal size to services beside, elsewhere, nowhere, or full.

One core machine and three sidecars run as real processes. The clients ask the proxy of the first:
`desk` has its endpoint beside it, `ledger` at the second machine, `full` at the third, whose only slot
is taken, and `nowhere` has none.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

from crowds import APP, CONTROL, OUTBOUND, Deployment, Limits
from faulty_endpoints import PIECE_BYTES, AnswerReader, RawEndpoint, Received, request_bytes

from meadowdock.logs import events as log_events
from meadowdock.simulator.standin.endless import OK_LINE

PREFIXES = {"beside": "/r/", "elsewhere": "/l/", "nowhere": "/n/", "full": "/f/"}
SERVICES = {"beside": "desk", "elsewhere": "ledger", "nowhere": "nowhere", "full": "full"}
ROUTE_TIMEOUT = "300s"
LARGE_CHUNK_BYTES = 65_536
SHORT_STAY_S = 0.3  # that a client stays which has stopped a byte short
OCCUPIED_S = 280  # for which the slot of the full endpoint is taken
MARGIN_S = 5  # after a deadline, for an answer to be read


def head_of(path: str, deadline_s: float, framing: bytes, method: str = "POST") -> bytes:
    """Return the head of a request with a body."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {os.urandom(8).hex()}\r\n"
        f"Deadline-Remaining: {int(deadline_s * 1000)}\r\n"
    ).encode() + framing


@dataclass(frozen=True)
class BodyForm:
    """How a body is sent.

    :ivar name: "length", "chunks" or "one-byte chunks".
    :ivar size: bytes of the body.
    """

    name: str
    size: int

    @property
    def framing(self) -> bytes:
        """The header line that frames the body, and the end of the head."""
        if self.name == "length":
            return b"Content-Length: %d\r\n\r\n" % self.size
        return b"Transfer-Encoding: chunked\r\n\r\n"

    def parts(self) -> Iterator[bytes]:
        """Yield the body as it is sent, in pieces."""
        if self.name == "length":
            piece, count, end = b"x" * LARGE_CHUNK_BYTES, self.size // LARGE_CHUNK_BYTES, b""
        elif self.name == "chunks":
            piece = b"%x\r\n%b\r\n" % (LARGE_CHUNK_BYTES, b"x" * LARGE_CHUNK_BYTES)
            count, end = self.size // LARGE_CHUNK_BYTES, b"0\r\n\r\n"
        else:
            piece = b"1\r\nx\r\n" * LARGE_CHUNK_BYTES
            count, end = self.size // LARGE_CHUNK_BYTES, b"0\r\n\r\n"
        yield from itertools.repeat(piece, count)
        yield end

    def short_parts(self) -> Iterator[bytes]:
        """Yield all but the last byte of what `parts` yields."""
        held = b""
        for part in self.parts():
            if not part:
                continue
            if held:
                yield held
            held = part
        yield held[:-1]


class HeadEndpoint(RawEndpoint):
    """An endpoint that answers or rests as soon as it has read the head of a request with a body.

    :ivar answers_early: it answers before it reads the body; otherwise it reads nothing further.
    """

    def __init__(self, address: tuple[str, int], instance: str, answers_early: bool) -> None:
        self.answers_early = answers_early
        self.ended = threading.Event()
        super().__init__(address, instance)

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        with contextlib.suppress(OSError), sock:
            reader = AnswerReader(sock)
            while (lines := reader.read_until(b"\r\n\r\n")) is not None:
                self.serve_head(sock, reader, lines)
        self.connections.discard(sock)

    def serve_head(self, sock: socket.socket, reader: AnswerReader, lines: bytes) -> None:
        """Serve the request of a head."""
        first, *fields = lines.split(b"\r\n")
        by_name = {
            name.strip().lower(): value.strip()
            for name, _, value in (field.partition(b":") for field in fields)
        }
        length = int(by_name.get(b"content-length", b"0"))
        if first.startswith(b"GET /health "):
            sock.sendall(
                OK_LINE
                + b"Instance-Id: %s\r\nServer-Load: 0,0,16\r\n" % self.instance.encode()
                + b"Content-Length: 0\r\n\r\n"
            )
            return
        self.runs += 1
        if length and not self.answers_early:
            self.ended.wait(OCCUPIED_S)
            return
        self.answer(sock, by_name.get(b"attempt-id", b""))
        reader.skip(length)

    def close(self) -> None:
        """Stop listening, and end all connections."""
        self.ended.set()
        super().close()


class BodyDeployment(Deployment):
    """A core machine and three sidecars, whose clients send bodies.

    :param head_endpoints: whether the endpoint of a service answers early, for those services whose
        endpoint is a HeadEndpoint.
    """

    def __init__(
        self, folder: Path, limits: Limits, head_endpoints: Mapping[str, bool] | None = None
    ) -> None:
        super().__init__(folder, limits=limits)
        self.endpoint.server_close()  # of the simple deployment
        net = self.core.rpartition(".")[0]
        self.second, self.third = f"{net}.12", f"{net}.13"
        self.hosts = {"desk": self.side, "ledger": self.second, "full": self.third}
        self.endpoints: dict[str, RawEndpoint] = {}
        for service, host in self.hosts.items():
            address, instance = (host, APP), f"i-{service}"
            answers_early = (head_endpoints or {}).get(service)
            self.endpoints[service] = (
                RawEndpoint(address, instance)
                if answers_early is None
                else HeadEndpoint(address, instance, answers_early)
            )
        self.capacities = {"desk": 16, "ledger": 16, "full": 1}
        self.sequence_numbers = itertools.count(1)

    def begin(self) -> None:
        """Start all, configure, wait until both ordinary services answer, and take the full slot."""
        for role, host in (("mdconf", self.core), ("mdreg", self.core)):
            self.start(role, host)
        for service, host in self.hosts.items():
            self.start("mdproxy", host, name=self.proxy_name(service), service=service)
        self.wait_for(self.configure)
        threading.Thread(target=self.beat_forever, daemon=True).start()
        for prefix in ("/r/x", "/l/x", "/f/x"):
            self.wait_for(lambda p=prefix: self.ask(p, 3).status == 200)
        self.occupy()

    def proxy_name(self, service: str) -> str:
        """Return the name of the process beside the endpoint of a service."""
        return "mdproxy" if service == "desk" else f"mdproxy-{service}"

    def occupy(self) -> None:
        """Take the only slot of the full endpoint, until the deployment ends."""
        full = self.endpoints["full"]
        full.answer = lambda sock, call_id: self.stopping.wait(OCCUPIED_S)
        runs = full.runs
        threading.Thread(target=self.ask, args=("/f/x", OCCUPIED_S), daemon=True).start()
        self.wait_for(lambda: full.runs > runs)

    def end(self) -> None:
        """End all processes and endpoints."""
        self.stopping.set()
        for watched in self.watched.values():
            watched.process.kill()
            watched.process.wait()
        for endpoint in self.endpoints.values():
            endpoint.close()

    def route_entries(self) -> list[tuple[str, str, dict[str, object]]]:
        """Return a route and a service for each place."""
        entries = []
        for place, prefix in PREFIXES.items():
            route = {
                "host": "a.example",
                "pathPrefix": prefix,
                "routeType": "non_idempotent",
                "timeout": ROUTE_TIMEOUT,
                "targetLatency": "1s",
                "priority": 1,
                "service": SERVICES[place],
                "retryCount": 2,
            }
            service = {
                "healthCheckPath": "/health",
                "maxConnections": 100,
                "protocol": "h1",
                "tlsEnabled": False,
            }
            entries.append(("routeTable", place, route))
            entries.append(("serviceTable", SERVICES[place], service))
        return entries

    def beat(self) -> bool:
        """Send a heartbeat of each endpoint; return whether all were acknowledged."""
        return all(map(self.beat_of, self.hosts))

    def beat_of(self, service: str) -> bool:
        """Send a heartbeat of an endpoint; return whether it was acknowledged."""
        host = self.hosts[service]
        beat = {
            "service": service,
            "address": f"{host}:{APP}",
            "zone": "a",
            "configVersion": "v1",
            "capacitySlots": self.capacities[service],
            "state": "ready",
            "warmupLeft": "0ms",
            "callSequence": next(self.sequence_numbers),
        }
        path = f"/api/instances/i-{service}/heartbeat"
        return self.call((host, CONTROL), "POST", path, json.dumps(beat)) == 200

    def ask(self, path: str, deadline_s: float) -> Received:
        """Send a request without a body on a connection of its own; return what was received."""
        started = time.monotonic()
        status, size, is_whole = 0, 0, False
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.settimeout(deadline_s + MARGIN_S)
            sock.connect((self.side, OUTBOUND))
            sock.sendall(request_bytes("GET", path, deadline_s))
            status, size, is_whole = AnswerReader(sock, PIECE_BYTES).read()
        return Received(status, size, is_whole, time.monotonic() - started)

    def send_whole(
        self, place: str, form: BodyForm, deadline_s: float, method: str = "POST"
    ) -> int:
        """Send a whole body on a connection of its own; return the status, 0 without an answer."""
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.settimeout(deadline_s + MARGIN_S)
            sock.connect((self.side, OUTBOUND))
            sock.sendall(head_of(PREFIXES[place] + "x", deadline_s, form.framing, method))
            # what the other side answers before it has read all is read as well
            with contextlib.suppress(OSError):
                for part in form.parts():
                    sock.sendall(part)
            return AnswerReader(sock, PIECE_BYTES).read()[0]
        return 0

    def send_short(self, place: str, form: BodyForm, deadline_s: float) -> socket.socket:
        """Send a body but for its last byte on a connection, and return that, still open."""
        sock = socket.socket()
        sock.settimeout(deadline_s + MARGIN_S)
        with contextlib.suppress(OSError):
            sock.connect((self.side, OUTBOUND))
            sock.sendall(head_of(PREFIXES[place] + "x", deadline_s, form.framing))
            for part in form.short_parts():
                sock.sendall(part)
        return sock

    def check_limits(self) -> None:
        """Check that no process has ended or grown over its memory."""
        for role in self.watched:
            self.check(role)

    def memory_kb(self) -> dict[str, int]:
        """Return the private memory of each process now."""
        return {name: watched.memory_kb() for name, watched in self.watched.items()}

    def lost_links(self) -> int:
        """Return how many links between nodes were lost, as the proxies' logs say."""
        mark = f'"number": {log_events.CONNECTION_LOST},'
        logs = (self.folder / f"{self.proxy_name(service)}.log" for service in self.hosts)
        return sum(log.read_text().count(mark) for log in logs)

    def check_ordinary_callers(self) -> None:
        """Check that ordinary callers of both services, endpoints and operators are answered."""
        for path in ("/r/x", "/l/x"):
            self.wait_for(lambda p=path: self.ask(p, 3).status == 200)
        self.wait_for(self.beat)
        self.wait_for(self.is_ready)
        self.wait_for(self.configure)


@contextlib.contextmanager
def body_deployment(
    folder: Path, limits: Limits, head_endpoints: Mapping[str, bool] | None = None
) -> Iterator[BodyDeployment]:
    """Run a deployment that serves, whose clients send bodies."""
    running = BodyDeployment(folder, limits, head_endpoints)
    try:
        running.begin()
        yield running
    finally:
        running.end()


class BodyClients:
    """Clients that each send bodies behind each other, every one on a new connection.

    :ivar statuses: of the answers to whole bodies, 0 for a connection that was closed.
    """

    def __init__(
        self,
        running: BodyDeployment,
        place: str,
        form: BodyForm,
        is_whole: bool,
        deadline_s: float,
    ) -> None:
        self.running, self.place, self.form = running, place, form
        self.is_whole, self.deadline_s = is_whole, deadline_s
        self.statuses: Counter[int] = Counter()
        self.open: list[socket.socket] = []

    def run(self, clients: int, rounds: int) -> None:
        """Have clients send their bodies at once, and close what is left open afterwards."""
        threads = [threading.Thread(target=self.send, args=(rounds,)) for _ in range(clients)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if self.open:
            time.sleep(SHORT_STAY_S)
        for sock in self.open:
            sock.close()

    def send(self, rounds: int) -> None:
        """Send bodies, one after another."""
        for _ in range(rounds):
            if self.is_whole:
                status = self.running.send_whole(self.place, self.form, self.deadline_s)
                self.statuses[status] += 1
            else:
                self.open.append(self.running.send_short(self.place, self.form, self.deadline_s))


class Passers:
    """Clients that come, send a part of a body of random size, and leave, until they are stopped."""

    def __init__(self, running: BodyDeployment, place: str, form: BodyForm, seed: int) -> None:
        self.running, self.place, self.form = running, place, form
        self.random = random.Random(seed)

    def run(self, clients: int, rounds: int) -> None:
        """Have clients come and go."""
        threads = [threading.Thread(target=self.pass_by, args=(rounds,)) for _ in range(clients)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def pass_by(self, rounds: int) -> None:
        """Send parts of bodies, one after another; some of them are whole."""
        for _ in range(rounds):
            left = self.random.randint(0, self.form.size + LARGE_CHUNK_BYTES)
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.settimeout(MARGIN_S)
                sock.connect((self.running.side, OUTBOUND))
                path = PREFIXES[self.place] + "x"
                sock.sendall(head_of(path, MARGIN_S, self.form.framing))
                for part in self.form.parts():
                    if left <= 0:
                        break
                    sock.sendall(part[:left])
                    left -= len(part)
