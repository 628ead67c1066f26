"""A small deployment of real processes, and crowds of clients that don't behave.

One core machine and one proxy run on loopback addresses, with low limits, beside a stand-in endpoint.
A crowd opens connections, sends what it is told to, reads nothing unless told otherwise, and stays.
"""

from __future__ import annotations

import contextlib
import http.client
import http.server
import itertools
import json
import os
import re
import resource
import selectors
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from fleets import free_net

ROOT = Path(__file__).parents[2]
MEMORY_MB = 80  # memoryMb; an idle process uses about a third of it
DESCRIPTORS = 400  # maxFileDescriptors
HEADER_BYTES = 16_384
BODY_BYTES = 2 << 20
PATIENCE = "600s"  # headerTimeout and idleTimeout: no time-out thins the crowd
ANSWERED_WITHIN_S = 60
READY, OUTBOUND, INBOUND, CONTROL, APP = 18140, 18141, 18142, 18146, 18147
PORTS = [17660, 17675]
# the internal ports at which processes of a machine listen
INTERNAL_PORTS = {"core": (17660, 17661, 17664, 17665), "sidecar": (17662, 17663, 17666)}
SEND_BYTES = 65_536

SETTINGS = """
[localNode]
nodeName = "{role}"
nodeRole = "{role}"
machineClass = "{machine_class}"
ipAddress = "{host}"
zone = "a"
bootstrap = true
dataDirectory = "{folder}/{role}"
service = "{service}"
appAddress = "{host}:{app}"
[localNode.limits]
memoryMb = {memory_mb}
maxFileDescriptors = {descriptors}
diskMb = 256
[network]
internalPortRange = {ports}
seedNodes = ["{core}:{control}"]
[network.listenAddresses]
inboundProxy = "{host}:{inbound}"
outboundProxy = "{host}:{outbound}"
readiness = "{host}:{ready}"
controlPlane = "{host}:{control}"
[network.zones]
a = "r"
[platform]
heartbeatInterval = "1000ms"
[policyTerms.faultTolerance]
machineFailures = 0
zones = 0
regionFailures = 0
[policyTerms.ruleBounds]
contact = "3000ms"
ackTimeout = "4000ms"
gracePeriod = "6s"
"""


class StandInEndpoint(http.server.BaseHTTPRequestHandler):
    """Answers every request of the proxy beside it."""

    protocol_version = "HTTP/1.1"
    instance = "i-1"

    def answer(self) -> None:
        """Read the body and answer."""
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        self.send_response(200)
        attempt = self.headers.get("Attempt-Id", "")
        for name, value in (
            ("Attempt-Id", attempt),
            ("Response-Stamp", f"s.{attempt}"),
            ("Instance-Id", self.instance),
            ("Content-Length", "2"),
        ):
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(b"ok")

    do_GET = do_POST = answer  # noqa: N815

    def log_message(self, *_: object) -> None:
        """Log nothing."""


@dataclass(frozen=True)
class Limits:
    """The limits of each process.

    :ivar memory_mb: private memory, as memoryMb.
    :ivar descriptors: as maxFileDescriptors, and RLIMIT_NOFILE.
    :ivar address_space_mb: RLIMIT_AS, or None for no limit.
    :ivar header_bytes: maxHeaderBytes.
    :ivar body_bytes: maxBodyBytes.
    """

    memory_mb: int = MEMORY_MB
    descriptors: int = DESCRIPTORS
    address_space_mb: int | None = None
    header_bytes: int = HEADER_BYTES
    body_bytes: int = BODY_BYTES

    def apply(self) -> None:
        """Limit the calling process."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))
        if self.address_space_mb is not None:
            size = self.address_space_mb * 1_000_000
            resource.setrlimit(resource.RLIMIT_AS, (size, size))


LOW_LIMITS = Limits()
# of a sidecar machine in the example of the users' pages
MACHINE_LIMITS = Limits(300, 4_100, None, 65_536, 64 << 20)


@dataclass
class Peak:
    """The most that a process has used.

    :ivar memory_kb: private memory, without pages of files.
    """

    memory_kb: int = 0
    descriptors: int = 0


@dataclass
class Watched:
    """A process whose use of memory and descriptors is watched until it is ended."""

    process: subprocess.Popen
    peak: Peak = field(default_factory=Peak)

    def status(self, name: str) -> int:
        """Return a field of the status of the process, in kB; 0 once it has ended."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        value = re.search(rf"^{name}:\s*(\d+)", text, re.MULTILINE)
        return int(value[1]) if value else 0

    def memory_kb(self) -> int:
        """Return the private memory of the process now."""
        return self.status("RssAnon")

    def address_space_bytes(self) -> int:
        """Return the address space of the process now."""
        return self.status("VmSize") * 1024

    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def watch(self) -> None:
        """Take samples until the process ends."""
        while self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.peak.memory_kb = max(self.peak.memory_kb, self.memory_kb())
                self.peak.descriptors = max(self.peak.descriptors, self.descriptors())
            time.sleep(0.005)


class Deployment:
    """One core machine, and one proxy beside a stand-in endpoint."""

    def __init__(
        self, folder: Path, idle_timeout: str = PATIENCE, limits: Limits = LOW_LIMITS
    ) -> None:
        self.folder, self.idle_timeout, self.limits = folder, idle_timeout, limits
        net = free_net()
        self.core, self.side = f"{net}.1", f"{net}.11"
        self.watched: dict[str, Watched] = {}
        self.sequence = itertools.count(1)
        self.stopping = threading.Event()
        self.endpoint = http.server.ThreadingHTTPServer((self.side, APP), StandInEndpoint)

    def start(self, role: str, host: str, name: str = "", service: str = "desk") -> None:
        """Start a role, and watch it.

        :param name: of the process, if the role has several.
        """
        name = name or role
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                role=name,
                service=service,
                machine_class="sidecar" if role == "mdproxy" else "core",
                host=host,
                core=self.core,
                folder=self.folder,
                app=APP,
                memory_mb=self.limits.memory_mb,
                descriptors=self.limits.descriptors,
                ports=PORTS,
                control=CONTROL,
                inbound=INBOUND,
                outbound=OUTBOUND,
                ready=READY,
            )
        )
        code = f"from platform_adapter.main import main; main({role!r})"
        with open(self.folder / f"{name}.log", "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-c", code],
                env={
                    **os.environ,
                    "MEADOWDOCK_CONFIG": str(path),
                    "PYTHONPATH": str(ROOT / "platform"),
                },
                stdout=log,
                stderr=log,
                preexec_fn=self.limits.apply,
            )
        self.watched[name] = Watched(process)
        threading.Thread(target=self.watched[name].watch, daemon=True).start()

    def begin(self) -> None:
        """Start all, configure, and wait until a request is answered."""
        threading.Thread(target=self.endpoint.serve_forever, daemon=True).start()
        for role, host in (("mdconf", self.core), ("mdreg", self.core), ("mdproxy", self.side)):
            self.start(role, host)
        self.wait_for(self.configure)
        threading.Thread(target=self.beat_forever, daemon=True).start()
        self.wait_for(lambda: self.request("GET"))

    def wait_for(self, succeeds) -> None:
        """Call a function until it returns a true value.

        :raises AssertionError: it doesn't in time.
        """
        deadline = time.monotonic() + ANSWERED_WITHIN_S
        while not succeeds():
            assert time.monotonic() < deadline, f"not in time: {succeeds}"
            time.sleep(0.1)

    def call(self, address: tuple[str, int], method: str, path: str, body=None, **headers) -> int:
        """Make one call on a connection of its own; return the status, or 0 without an answer."""
        connection = http.client.HTTPConnection(*address, timeout=3)
        try:
            named = {name.replace("_", "-"): value for name, value in headers.items()}
            connection.request(method, path, body, named)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def route_entries(self) -> list[tuple[str, str, dict[str, object]]]:
        """Return the routes and services of the configuration: kind, name and specification."""
        return [
            (
                "routeTable",
                "r",
                {
                    "host": "a.example",
                    "pathPrefix": "/r/",
                    "routeType": "non_idempotent",
                    "timeout": "5s",
                    "targetLatency": "1s",
                    "priority": 1,
                    "service": "desk",
                    "retryCount": 2,
                },
            ),
            (
                "serviceTable",
                "desk",
                {
                    "healthCheckPath": "/health",
                    "maxConnections": 100,
                    "protocol": "h1",
                    "tlsEnabled": False,
                },
            ),
        ]

    def configure(self, version: int = 7) -> bool:
        """Send the configuration; return whether it was acknowledged."""
        entries = [
            *self.route_entries(),
            (
                "limits",
                "",
                {
                    "maxHeaderBytes": self.limits.header_bytes,
                    "maxBodyBytes": self.limits.body_bytes,
                    "headerTimeout": PATIENCE,
                    "idleTimeout": self.idle_timeout,
                },
            ),
        ]
        resources = [
            {
                "resourceType": kind,
                "metadata": {"name": name, "configVersion": f"r{version}"},
                "specification": specification,
            }
            for kind, name, specification in entries
        ]
        order = {"upsert": {"resourceList": resources}, "remove": {"routeTable": []}}
        address = self.core, CONTROL
        return self.call(address, "POST", "/api/config/modify", json.dumps(order)) == 200

    def beat(self) -> bool:
        """Send a heartbeat of the endpoint; return whether it was acknowledged."""
        beat = {
            "service": "desk",
            "address": f"{self.side}:{APP}",
            "zone": "a",
            "configVersion": "v1",
            "capacitySlots": 16,
            "state": "ready",
            "warmupLeft": "0ms",
            "callSequence": next(self.sequence),
        }
        path = "/api/instances/i-1/heartbeat"
        return self.call((self.side, CONTROL), "POST", path, json.dumps(beat)) == 200

    def beat_forever(self) -> None:
        """Send heartbeats until the deployment ends."""
        while not self.stopping.wait(1.0):
            self.beat()

    def request(self, method: str, body: bytes | None = None) -> bool:
        """Send one ordinary request; return whether an endpoint answered it."""
        headers = {
            "Host": "a.example",
            "Attempt_Id": os.urandom(8).hex(),
            "Deadline_Remaining": "3000",
        }
        return self.call((self.side, OUTBOUND), method, "/r/x", body, **headers) == 200

    def is_ready(self) -> bool:
        """Return whether the proxy says that it is ready."""
        return self.call((self.side, READY), "GET", "/api/readiness") == 200

    def check(self, role: str) -> None:
        """Check that a process lives, within its memory and its descriptors."""
        watched = self.watched[role]
        status, peak = watched.process.poll(), watched.peak
        assert status is None, f"the process has ended with status {status}, after {peak}"
        assert peak.memory_kb <= self.limits.memory_mb * 1000, f"{peak.memory_kb} kB"
        assert peak.descriptors < self.limits.descriptors, f"{peak.descriptors} descriptors"

    def check_ordinary_callers(self) -> None:
        """Check that ordinary callers, the endpoint, the platform and the operator are answered."""
        self.wait_for(lambda: self.request("GET"))
        self.wait_for(lambda: self.request("POST", bytes(1_000)))
        self.wait_for(self.beat)
        self.wait_for(self.is_ready)
        self.wait_for(self.configure)

    def end(self) -> None:
        """End all processes that were started."""
        self.stopping.set()
        for watched in self.watched.values():
            watched.process.kill()
            watched.process.wait()
        self.endpoint.shutdown()
        self.endpoint.server_close()


@contextlib.contextmanager
def deployment(
    folder: Path, idle_timeout: str = PATIENCE, limits: Limits = LOW_LIMITS
) -> Iterator[Deployment]:
    """Run a deployment that serves."""
    running = Deployment(folder, idle_timeout, limits)
    try:
        running.begin()
        yield running
    finally:
        running.end()


class Crowd:
    """Connections that are opened together, send all the same, and stay open.

    :ivar sockets: all of them; one that was refused or reset stays in the list.
    """

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self.sockets = []
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                sock.connect(address)
            self.sockets.append(sock)

    def send(self, data: bytes, quiet_s: float = 1.5) -> None:
        """Send data on each connection, as far as the other side takes it.

        It ends once all is sent or refused, or nothing was taken for a while.

        :param quiet_s: seconds in which no connection takes a byte.
        """
        view = memoryview(data)
        left = dict.fromkeys(self.sockets, 0)
        with selectors.DefaultSelector() as selector:
            for sock in self.sockets:
                selector.register(sock, selectors.EVENT_WRITE)
            while left:
                writable = [key.fileobj for key, _ in selector.select(quiet_s)]
                if not writable:
                    return
                for sock in writable:
                    try:
                        left[sock] += sock.send(view[left[sock] : left[sock] + SEND_BYTES])
                        is_done = left[sock] == len(data)
                    except BlockingIOError:
                        continue
                    except OSError:
                        is_done = True  # refused or closed
                    if is_done:
                        selector.unregister(sock)
                        del left[sock]

    def close(self) -> None:
        """Close all connections."""
        for sock in self.sockets:
            sock.close()
