"""Endpoints that answer without end, or with large sound answers, and a deployment around them.

One core machine and two sidecars run as real processes. The endpoint of `desk` beside the first is
faulty; that of `ledger` beside the second is sound. Callers of both ask through either proxy.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import resource
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from crowds import (
    APP,
    CONTROL,
    OUTBOUND,
    READY,
    Deployment,
    Limits,
)

from meadowdock.simulator.standin.endless import (
    CHUNKED,
    ENDLESS,
    FILLER,
    OK_LINE,
    PIECE_BYTES,
    chunk,
)

TRICKLE_BYTES = 4_096
DEADLINE_S = 8  # of the faulty endpoint's callers
ORDINARY_DEADLINE_S = 3
ORDINARY_INTERVAL_S = 0.1
# after its deadline, for a caller to see that its connection has ended
MARGIN_S = 2


def head(call_id: bytes) -> bytes:
    """Return the head of a sound answer, without its last line."""
    return OK_LINE + identity(call_id)


def identity(call_id: bytes) -> bytes:
    """Return the header lines by which an answer proves to which request it belongs."""
    return b"Attempt-Id: %s\r\nResponse-Stamp: s.%s\r\n" % (call_id, call_id)


def read_request(sock: socket.socket) -> tuple[bytes, bytes] | None:
    """Read a request without its body's content; return its first line and its call id."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(PIECE_BYTES)
        if not more:
            return None
        data += more
    lines, _, body = data.partition(b"\r\n\r\n")
    first, *fields = lines.split(b"\r\n")
    by_name = {
        name.strip().lower(): value.strip()
        for name, _, value in (f.partition(b":") for f in fields)
    }
    left = int(by_name.get(b"content-length", b"0")) - len(body)
    while left > 0:
        left -= len(sock.recv(min(left, PIECE_BYTES))) or left
    return first, by_name.get(b"attempt-id", b"")


class RawEndpoint:
    """An endpoint whose answers are raw bytes, with a thread for each connection.

    :ivar answer: sends the answer to a request; it may raise OSError once the connection has ended.
    :ivar runs: how many requests it began to answer.
    :ivar sent_bytes: of all answers.
    """

    def __init__(self, address: tuple[str, int], instance: str) -> None:
        self.instance = instance
        self.answer: Callable[[socket.socket, bytes], None] = self.answer_soundly
        self.runs = self.sent_bytes = 0
        self.listener = socket.create_server(address, backlog=256)
        self.connections: set[socket.socket] = set()
        threading.Thread(target=self.accept_forever, daemon=True).start()

    def accept_forever(self) -> None:
        """Serve each connection in a thread of its own."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections.add(sock)
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer the requests of one connection."""
        with contextlib.suppress(OSError), sock:
            while (request := read_request(sock)) is not None:
                first, call_id = request
                if first.startswith(b"GET /health "):
                    sock.sendall(
                        OK_LINE
                        + b"Instance-Id: %s\r\nServer-Load: 0,0,16\r\n" % self.instance.encode()
                        + b"Content-Length: 0\r\n\r\n"
                    )
                    continue
                self.runs += 1
                self.answer(sock, call_id)
        self.connections.discard(sock)

    def answer_soundly(self, sock: socket.socket, call_id: bytes) -> None:
        """Send a small sound answer."""
        sock.sendall(head(call_id) + b"Content-Length: 2\r\n\r\nok")

    def answer_endlessly(self, kind: str) -> None:
        """Send bytes of a kind without end from now on."""

        def send_all(sock: socket.socket, call_id: bytes) -> None:
            endless = ENDLESS[kind](identity(call_id))
            sock.sendall(endless.opening)
            while True:
                sock.sendall(endless.piece)
                self.sent_bytes += len(endless.piece)

        self.answer = send_all

    def answer_with(self, size: int, is_chunked: bool = False) -> None:
        """Send sound answers of a size from now on."""

        def send_body(sock: socket.socket, call_id: bytes) -> None:
            framing = CHUNKED if is_chunked else b"Content-Length: %d\r\n\r\n" % size
            sock.sendall(head(call_id) + framing)
            for start in range(0, size, PIECE_BYTES):
                data = FILLER[: size - start]
                sock.sendall(chunk(data) if is_chunked else data)
                self.sent_bytes += len(data)
            if is_chunked:
                sock.sendall(b"0\r\n\r\n")

        self.answer = send_body

    def end_connections(self) -> None:
        """Reset all connections, as when the process is replaced."""
        for sock in list(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop listening, and end all connections."""
        self.listener.close()
        self.end_connections()


@dataclass
class Received:
    """What one caller received for a request.

    :ivar status: 0 if there was no status line.
    :ivar is_whole: the answer was complete.
    :ivar seconds: from the request to the end of the answer or of the connection.
    """

    status: int
    body_bytes: int
    is_whole: bool
    seconds: float


@dataclass
class Tally:
    """What callers received."""

    received: list[Received] = field(default_factory=list)

    def statuses(self) -> Counter[tuple[int, bool]]:
        """Return how often there was which status, and whether the answer was whole."""
        return Counter((each.status, each.is_whole) for each in self.received)


class AnswerReader:
    """Reads one answer from a socket, counting its body instead of keeping it."""

    def __init__(self, sock: socket.socket, bytes_a_read: int = PIECE_BYTES) -> None:
        self.sock, self.bytes_a_read = sock, bytes_a_read
        self.data = b""
        self.pause_s = 0.0  # before each read of a body

    def fill(self) -> bool:
        """Receive more, and return whether there was any."""
        if self.pause_s:
            time.sleep(self.pause_s)
        more = self.sock.recv(self.bytes_a_read)
        self.data += more
        return bool(more)

    def read_until(self, mark: bytes) -> bytes | None:
        """Return what comes before a mark, or None if the connection ends first."""
        while mark not in self.data:
            if not self.fill():
                return None
        before, _, self.data = self.data.partition(mark)
        return before

    def skip(self, count: int) -> int:
        """Drop bytes, and return how many there were before the connection ended."""
        left = count
        while left > 0:
            if not self.data and not self.fill():
                break
            taken = min(left, len(self.data))
            self.data = self.data[taken:]
            left -= taken
        return count - left

    def read(self) -> tuple[int, int, bool]:
        """Return the status, the size of the body, and whether the answer was complete."""
        lines = self.read_until(b"\r\n\r\n")
        if lines is None:
            return 0, 0, False
        status = int(lines.split(b" ", 2)[1])
        lower = lines.lower()
        if b"transfer-encoding: chunked" in lower:
            return status, *self.read_chunks()
        _, _, length = lower.partition(b"content-length: ")
        expected = int(length.split(b"\r\n")[0] or b"0")
        size = self.skip(expected)
        return status, size, size == expected

    def read_chunks(self) -> tuple[int, bool]:
        """Return the size of a body in chunks, and whether it was complete."""
        total = 0
        while (line := self.read_until(b"\r\n")) is not None:
            size = int(line.split(b";")[0], 16)
            taken = self.skip(size)
            total += taken
            if taken < size or self.read_until(b"\r\n") is None:
                return total, False
            if not size:
                return total, True
        return total, False


def request_bytes(method: str, path: str, deadline_s: float) -> bytes:
    """Return a request with an id of its own."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {os.urandom(8).hex()}\r\n"
        f"Deadline-Remaining: {int(deadline_s * 1000)}\r\n"
    )
    body = "Content-Length: 4\r\n\r\nbody" if method == "POST" else "\r\n"
    return (head + body).encode()


class FaultyDeployment(Deployment):
    """A core machine, a sidecar with a raw endpoint of `desk`, and one with a sound `ledger`."""

    def __init__(self, folder: Path, limits: Limits) -> None:
        super().__init__(folder, limits=limits)
        self.endpoint.server_close()  # of the simple deployment
        self.second = self.core.rpartition(".")[0] + ".12"
        self.desk = RawEndpoint((self.side, APP), "i-1")
        self.ledger = RawEndpoint((self.second, APP), "i-2")
        self.sequence_numbers = itertools.count(1)

    def begin(self) -> None:
        """Start all, configure, and wait until requests of both services are answered."""
        for role, host in (("mdconf", self.core), ("mdreg", self.core), ("mdproxy", self.side)):
            self.start(role, host)
        self.start("mdproxy", self.second, name="mdproxy-2", service="ledger")
        self.wait_for(self.configure)
        threading.Thread(target=self.beat_forever, daemon=True).start()
        for host, path in itertools.product((self.side, self.second), ("/r/x", "/l/x")):
            self.wait_for(lambda h=host, p=path: self.ask(h, "GET", p, 3).status == 200)

    def end(self) -> None:
        """End all processes and endpoints."""
        self.stopping.set()
        for watched in self.watched.values():
            watched.process.kill()
            watched.process.wait()
        self.desk.close()
        self.ledger.close()

    def route_entries(self) -> list[tuple[str, str, dict[str, object]]]:
        """Return routes to desk (run-once and repeatable) and to ledger, and both services."""
        entries = []
        for name, prefix, kind, service in (
            ("r", "/r/", "non_idempotent", "desk"),
            ("i", "/i/", "idempotent", "desk"),
            ("l", "/l/", "idempotent", "ledger"),
        ):
            specification = {
                "host": "a.example",
                "pathPrefix": prefix,
                "routeType": kind,
                "timeout": "10s",
                "targetLatency": "1s",
                "priority": 1,
                "service": service,
                "retryCount": 2,
            }
            entries.append(("routeTable", name, specification))
        for service in ("desk", "ledger"):
            specification = {
                "healthCheckPath": "/health",
                "maxConnections": 100,
                "protocol": "h1",
                "tlsEnabled": False,
            }
            entries.append(("serviceTable", service, specification))
        return entries

    def beat(self) -> bool:
        """Send a heartbeat of both endpoints; return whether they were acknowledged."""
        return all(
            [
                self.beat_of(self.side, "desk", "i-1"),
                self.beat_of(self.second, "ledger", "i-2"),
            ]
        )

    def beat_of(self, host: str, service: str, instance: str) -> bool:
        """Send a heartbeat of an endpoint; return whether it was acknowledged."""
        beat = {
            "service": service,
            "address": f"{host}:{APP}",
            "zone": "a",
            "configVersion": "v1",
            "capacitySlots": 16,
            "state": "ready",
            "warmupLeft": "0ms",
            "callSequence": next(self.sequence_numbers),
        }
        path = f"/api/instances/{instance}/heartbeat"
        return self.call((host, CONTROL), "POST", path, json.dumps(beat)) == 200

    def ask(
        self,
        host: str,
        method: str,
        path: str,
        deadline_s: float,
        pause_s: float = 0.0,
        bytes_a_read: int = PIECE_BYTES,
    ) -> Received:
        """Send a request on a connection of its own, and return what was received by the deadline."""
        started = time.monotonic()
        status, size, is_whole = 0, 0, False
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.settimeout(deadline_s + MARGIN_S)
            if pause_s:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, TRICKLE_BYTES)
            sock.connect((host, OUTBOUND))
            sock.sendall(request_bytes(method, path, deadline_s))
            reader = AnswerReader(sock, bytes_a_read)
            reader.pause_s = pause_s
            status, size, is_whole = reader.read()
        return Received(status, size, is_whole, time.monotonic() - started)

    def ask_without_reading(self, host: str, path: str, seconds: float) -> Received:
        """Send a request, read nothing for a while, and close the connection."""
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.connect((host, OUTBOUND))
            sock.sendall(request_bytes("GET", path, seconds))
            time.sleep(seconds)
        return Received(0, 0, False, seconds)

    def is_ready_at(self, host: str) -> bool:
        """Return whether the proxy of a sidecar says that it is ready."""
        return self.call((host, READY), "GET", "/api/readiness") == 200

    def check_limits(self) -> None:
        """Check that no process has ended or grown over its memory."""
        for role in self.watched:
            self.check(role)

    def check_ordinary_callers(self) -> None:
        """Check that ordinary callers at both machines, endpoints and operators are answered."""
        for host, path in itertools.product((self.side, self.second), ("/r/x", "/l/x")):
            self.wait_for(lambda h=host, p=path: self.ask(h, "GET", p, 3).status == 200)
        self.wait_for(self.beat)
        self.wait_for(lambda: self.is_ready_at(self.side) and self.is_ready_at(self.second))
        self.wait_for(self.configure)


@contextlib.contextmanager
def faulty_deployment(folder: Path, limits: Limits) -> Iterator[FaultyDeployment]:
    """Run a deployment that serves, whose endpoint of desk can be made faulty."""
    running = FaultyDeployment(folder, limits)
    try:
        running.begin()
        yield running
    finally:
        running.end()


class Callers:
    """Callers that ask again and again, each in a thread, until they are stopped."""

    def __init__(self, ask_once: Callable[[int], Received], count: int, pause_s: float = 0.0):
        self.tally, self.stopping = Tally(), threading.Event()
        self.pause_s = pause_s
        self.threads = [
            threading.Thread(target=self.run, args=(ask_once, number), daemon=True)
            for number in range(count)
        ]

    def run(self, ask_once: Callable[[int], Received], number: int) -> None:
        """Ask until stopped."""
        while not self.stopping.is_set():
            self.tally.received.append(ask_once(number))
            time.sleep(self.pause_s)

    def __enter__(self) -> Tally:
        for thread in self.threads:
            thread.start()
        return self.tally

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def ordinary_callers(running: FaultyDeployment, host: str) -> Callers:
    """Return a caller of the sound service through the proxy of a host."""
    return Callers(
        lambda number: running.ask(host, "GET", "/l/x", ORDINARY_DEADLINE_S),
        1,
        ORDINARY_INTERVAL_S,
    )


def faulty_callers(running: FaultyDeployment, host: str, count: int) -> Callers:
    """Return callers of the faulty service, half of them on a route that may be repeated."""
    return Callers(
        lambda number: running.ask(
            host,
            *(("POST", "/r/x") if number % 2 else ("GET", "/i/x")),
            deadline_s=DEADLINE_S,
        ),
        count,
    )


def set_limit(process_id: int, limit: int, soft: int) -> None:
    """Set the soft limit of a running process."""
    _, hard = resource.prlimit(process_id, limit)
    resource.prlimit(process_id, limit, (soft, hard))
