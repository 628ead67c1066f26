"""Generate the content of the golden files in tests/golden from the current code.

They hold stored files, rpc messages, HTTP responses, settings and events.

python tests/support/golden_facts.py --write    # writes all golden files again

The golden files represent what deployed processes have stored and send. Write them again only if a
format is meant to change, and keep the previous disks as a second set: they must stay readable.

Among the tests of the golden files, only this module depends on the names of the code.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import random
import shutil
import tempfile
from contextlib import contextmanager
from pathlib import Path

import trio
import trio.testing
from gates import default_items, wait_until_listed
from item_builders import route, service
from manifests import manifest, manifest_route
from mesh import request_handler, start_configured
from raw_bytes import send_raw_bytes

from meadowdock import audit
from meadowdock.client import EndpointRequest, ExecutionRecord
from meadowdock.config_store.lease_messages import (
    AcquireLease,
    LeaseGranted,
    LeaseRecord,
    ReleaseLease,
    RenewLease,
)
from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import Store
from meadowdock.logs import CATALOGUE
from meadowdock.rpc import (
    ClientConnection,
    ConnectionFailed,
    FrameAuthenticator,
    Peer,
    Rejected,
    serve_connection,
)
from meadowdock.rpc.handlers import Handlers
from meadowdock.rpc.handshake import client_handshake
from meadowdock.rpc.messages import pack, unpack
from meadowdock.runtime import MILLISECOND, SECOND, MemoryDisk, monotonic_us, sleep_us
from meadowdock.settings import InvalidSettings, load_settings
from meadowdock.simulator import SimDisk, run
from meadowdock.simulator.wires import SimWire

GOLDEN = Path(__file__).parents[1] / "golden"
SEED = 7
FLEET_KEY = b"k" * 32
CORE, APPLICATION = 3, ("desk", "desk", "paper")
ROLES = ("mdconf", "mdreg", "mdproxy")
STORING_ROLE = "mdconf"
VOTE_METHOD = "register"  # the rpc method whose third argument names the request to a voter


def readable(value):
    """Return a value in a form that JSON can hold: bytes as {"hex": ...}, tuples as lists."""
    if isinstance(value, bytes | bytearray):
        return {"hex": bytes(value).hex()}
    if isinstance(value, dict):
        return {str(key): readable(inner) for key, inner in value.items()}
    if isinstance(value, frozenset | set):
        return sorted(readable(inner) for inner in value)
    if isinstance(value, list | tuple):
        return [readable(inner) for inner in value]
    return value


def golden_json(name):
    """Return the value of a golden JSON file."""
    return json.loads((GOLDEN / name).read_text())


def as_text(value):
    """Return the text of a golden JSON file with a value."""
    return json.dumps(readable(value), indent=1, sort_keys=True, ensure_ascii=False) + "\n"


def golden_tree(folder):
    """Return {name: bytes} of the files below a golden folder."""
    root = GOLDEN / folder
    return {
        path.relative_to(root).as_posix(): path.read_bytes()
        for path in sorted(root.rglob("*"))
        if path.is_file()
    }


# Values that are stored in each format.
MEMBERSHIP = {
    "version": 7,
    "voters": {"00a1": "10.0.0.1:7421", "00a2": "10.0.0.2:7421", "00a3": "10.0.0.3:7421"},
    "next": {"00a1": "10.0.0.1:7421", "00a2": "10.0.0.2:7421", "00a4": "10.0.0.4:7421"},
    "places": {"00a1": ["a", ""], "00a2": ["b", "north"]},
}
LEASE = LeaseRecord("mdreg@10.0.0.1", 3, 9, 2_000_000)
ACCEPTED = {"head": {"version": 2, "ranges": ["00"], "plan": "11", "history": [[1, "22"]]}}
CHUNK = b"\x01 a chunk's body"
KEYED_CALL = EndpointRequest(
    "POST", "/withdrawals", "a=1", "guest", "key-1", "call-1", 0, {"amount": 5}
)


def discard_log(*_, **__):
    """Discard a log event."""


def audit_chain(length):
    """Return {version: signed record} of an audit log."""
    key, records, previous_hash = audit.signing_key(FLEET_KEY), {}, ""
    for version in range(1, length + 1):
        content = {
            "version": version,
            "plan": f"{version:032x}",
            "base": version - 1,
            "ranges": "r",
            "at": str(1_700_000_000_000_000),
            "former": previous_hash,
        }
        records[version] = audit.sign(key, content)
        previous_hash = audit.record_hash(records[version])
    return records


def new_store(disk):
    """Return a member's store on a disk."""
    return Store(disk, random.Random(SEED), discard_log)


async def stored_formats():
    """Return {file name: bytes} of one file of each format, written by the code that stores it."""
    disk = MemoryDisk()
    store = new_store(disk)
    await store.load()
    await store.adopt(MembershipConfiguration.from_record(MEMBERSHIP))
    await store.put_chunk(CHUNK)
    await store.acceptor.prepare("configuration", (4, "00a1"))
    await store.acceptor.write("configuration", (4, "00a1"), ACCEPTED)
    await store.acceptor.write("lease", (5, "00a2"), LEASE.encode())
    await store.acceptor.prepare("promised-only", (6, "00a3"))
    await store.audit_log.put(audit_chain(66))
    await store.audit_log.seal()
    record_disk = MemoryDisk()
    record = ExecutionRecord(record_disk)

    async def handle(_):
        return 200, {"balance": 5}

    await record.run_once(KEYED_CALL, handle)
    return {
        **{f"member/{name}": data for name, data in disk.files.items()},
        **{f"endpoint/{name}": data for name, data in record_disk.files.items()},
    }


def disk_with(files, folder=""):
    """Return a disk that holds the files below a folder of a tree."""
    disk = MemoryDisk()
    disk.files = {
        name[len(folder) :]: data for name, data in files.items() if name.startswith(folder)
    }
    return disk


async def read_formats(files):
    """Return the content of the files of stored_formats, read by the code that loads them."""
    store = new_store(disk_with(files, "member/"))
    await store.load()
    states = {
        store.acceptor.keys[folder]: [
            state.promised,
            state.accepted,
            state.value,
            state.file_version,
        ]
        for folder, state in store.acceptor.states.items()
    }
    chunks = [await store.read_chunk(name) for name in await store.chunk_names()]
    record = ExecutionRecord(disk_with(files, "endpoint/"))

    async def fail(_):
        raise AssertionError("a recorded call must not run again")

    response = await record.run_once(KEYED_CALL, fail)
    return readable(
        {
            "disk": store.disk_id,
            "membership": store.membership and store.membership.to_record(),
            "voters": sorted(store.members),
            "keys": states,
            "lost": store.acceptor.damaged_key_folders(),
            "chunks": chunks,
            "audit": await store.audit_log.read(audit_chain(66)),
            "anchor": store.audit_log.state().anchor(),
            "lease": LeaseRecord.decode(store.acceptor.read("lease")[1]) == LEASE,
            "recorded_answer": [response.status, response.body],
        }
    )


def lease_messages():
    """Return {name: encoded form} of the lease record and the lease messages."""
    messages = {
        "record": LEASE,
        "released": LeaseRecord("mdreg@10.0.0.1", 3, 10, 2_000_000, True),
        "acquire": AcquireLease("collector", "mdreg@10.0.0.1", 4, 2_000_000, 2),
        "renew": RenewLease("collector", "mdreg@10.0.0.1", 3, 5),
        "release": ReleaseLease("collector", "mdreg@10.0.0.1", 3, 6),
        "granted": LeaseGranted(3, 5),
    }
    for message in messages.values():
        assert type(message).decode(unpack(pack(message.encode()))) == message
    return {name: pack(message.encode()).hex() for name, message in messages.items()}


def canonical(value):
    """Return a value with all maps sorted by key: their order in a message may come from a set."""
    if isinstance(value, dict):
        return {key: canonical(value[key]) for key in sorted(value, key=str)}
    if isinstance(value, list | tuple):
        return [canonical(inner) for inner in value]
    return value


def packed(value):
    """Return a message as hexadecimal digits, with its maps in canonical order."""
    return pack(canonical(value)).hex()


class RpcRecorder:
    """Record the first request, the first response and the rejections of each rpc method."""

    def __init__(self):
        self.requests, self.responses, self.rejections = {}, {}, {}

    def attach(self, connections):
        """Record all calls that a process makes through its connections."""
        original = connections.call

        async def call(address, method, args, deadline):
            name = f"{method} {args[2]}" if method == VOTE_METHOD else method
            self.requests.setdefault(name, packed(args))
            try:
                response = await original(address, method, args, deadline)
            except Rejected as rejected:
                self.rejections.setdefault(name, {})[rejected.code] = sorted(rejected.details)
                raise
            self.responses.setdefault(name, packed(response))
            return response

        connections.call = call

    def entries(self):
        """Return the request, response and rejections of each method."""
        return {
            method: {
                "request": request,
                "answer": self.responses.get(method),
                "refusals": self.rejections.get(method, {}),
            }
            for method, request in sorted(self.requests.items())
        }


def decoded(entry):
    """Return an entry of RpcRecorder.entries with its messages unpacked."""
    messages = {key: entry[key] and bytes.fromhex(entry[key]) for key in ("request", "answer")}
    return {key: data and readable(unpack(data)) for key, data in messages.items()}


class DeploymentRecord:
    """Stored files, rpc messages, HTTP responses and events of a simulated deployment."""

    def __init__(self):
        self.disks, self.rpc, self.http, self.events = {}, {}, {}, {}
        self.methods = {}  # role -> the rpc methods that its processes serve


def second_manifest():
    """Return the second configuration of the simulated deployment."""
    return manifest(
        [
            manifest_route("balances", "/balances"),
            manifest_route("audits", "/audits", service="paper"),
        ]
    )


ITEMS = [service("letters"), route("letters", prefix="/letters/", services=("letters",))]


async def http_response(world, address, method, path, body=None, headers=()):
    """Send a request from the machine of its receiver and return the complete response."""
    host = address.partition(":")[0]
    status, response_headers, content = await world.http(host, method, address, path, body, headers)
    shown = {name.decode(): value.decode("latin-1") for name, value in response_headers.items()}
    return {"status": status, "headers": shown, "body": content}


async def proxy_responses(world, token):
    """Return {case: response} of a proxy's HTTP listener."""
    host = next(iter(world.application))
    requests = {
        "answered": ("GET", "/balances/1", None, ()),
        "answered, with a key": ("POST", "/withdrawals", {"amount": 1}, [(b"md-key", b"k1")]),
        "unknown way": ("GET", "/nowhere", None, ()),
        "forbidden": ("POST", "/balances/1", {"a": 1}, ()),
        "malformed path": ("GET", "/balances/%2e%2e/ledger", None, ()),
        "malformed body": ("POST", "/withdrawals", b"{", ()),
        "too large": ("POST", "/withdrawals", b'"' + b"x" * 300_000 + b'"', ()),
        "malformed due": ("GET", "/balances/1", None, [(b"md-due", b"soon")]),
        "malformed key": ("POST", "/withdrawals", None, [(b"md-key", b"a b")]),
        "due passed": ("GET", "/balances/1", None, [(b"md-due", b"0")]),
        "bad token": ("GET", "/balances/1", None, [(b"md-token", b"zz")]),
        "key mismatch": ("POST", "/withdrawals", {"amount": 2}, [(b"md-key", b"k1")]),
        "key repeated": ("POST", "/withdrawals", {"amount": 1}, [(b"md-key", b"k1")]),
        "key may have run": (
            "POST",
            "/withdrawals",
            {"amount": 1},
            [(b"md-key", b"k2"), (b"md-repeat", b"1")],
        ),
        "beat with a bad token": ("POST", "/md/beat", {"token": "zz", "capacity": 4}, ()),
        "enrol malformed": ("POST", "/md/enrol", {"service": 1}, ()),
        "enrol unknown service": ("POST", "/md/enrol", enrolment(host, "none"), ()),
        "enrol of another machine": ("POST", "/md/enrol", enrolment("10.9.9.9", "desk"), ()),
        "enrol": ("POST", "/md/enrol", enrolment(host, "desk"), ()),
        "beat": ("POST", "/md/beat", {"token": token, "capacity": 4}, ()),
        "status": ("GET", "/md/status", None, ()),
        "live": ("GET", "/live", None, ()),
        "ready": ("GET", "/ready", None, ()),
    }
    return {
        case: await http_response(world, f"{host}:7400", *request)
        for case, request in requests.items()
    }


def enrolment(host, service):
    """Return the body of an enrolment."""
    address = f"{host}:8099"
    return {"service": service, "address": address, "incarnation": "i99", "capacity": 4}


async def operator_responses(world):
    """Return {case: response} of the operators' listener.

    Two of the requests make the second and third change of the deployment.
    """
    address = f"{world.core[0]}:7420"
    responses = {}

    async def ask(case, method, path, body=None):
        responses[case] = await http_response(world, address, method, path, body)
        return responses[case]["body"]

    plan = (await ask("plan", "POST", "/plan", second_manifest()))["plan"]
    await ask("plan not confirmed yet", "GET", f"/plan/{plan}")
    await ask("confirm", "POST", "/confirm", {"plan": plan})
    await ask("confirm again", "POST", "/confirm", {"plan": plan})
    await ask("plan confirmed", "GET", f"/plan/{plan}")
    await ask("plan without changes", "POST", "/plan", second_manifest())
    await ask("plan invalid", "POST", "/plan", {"services": 1})
    await ask("confirm malformed", "POST", "/confirm", {"a": 1})
    await ask("confirm unknown", "POST", "/confirm", {"plan": "0" * 32})
    await ask("plan unknown", "GET", "/plan/" + "0" * 32)
    await ask("manifest", "GET", "/manifest")
    await ask("items changed", "POST", "/items", {"items": ITEMS})
    await ask("items", "GET", "/items")
    await ask("items invalid", "POST", "/items", {"items": [{"kind": "none"}]})
    await ask("members malformed", "POST", "/members", {"a": 1})
    await ask("audit", "GET", "/audit")
    await ask("status", "GET", "/status")
    await ask("unknown path", "GET", "/nowhere")
    await ask("unknown method", "POST", "/audit", {"a": 1})
    return responses


async def forward_calls(world):
    """Send a proxy more calls than its endpoint can take, so that it forwards some to others."""
    client = world.client(next(iter(world.application)))
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(client.call, "GET", "/balances/1")


async def restart_cores(world):
    """Restart a registry and a core member, then replace the disk of another member.

    The graceful shutdowns hand over the lease and the vote.
    """
    for role in ("mdreg", "mdconf"):
        host = world.core[0]
        await world.stop(f"{role}@{host}")
        await world.start(role, host)
        await sleep_us(3 * SECOND)
    host = world.core[1]
    world.power_off(STORING_ROLE, host)
    world.lose_disk(STORING_ROLE, host)
    await world.start(STORING_ROLE, host)
    await sleep_us(15 * SECOND)


def methods_by_role(world):
    """Return {role: the rpc methods that its processes serve}."""
    hosts = {
        "mdconf": world.core[0],
        "mdreg": world.core[0],
        "mdproxy": next(iter(world.application)),
    }
    return {
        role: sorted(world.daemon(role, host).rpc_handlers().table) for role, host in hosts.items()
    }


async def call_rare_methods(world, files):
    """Call the methods that are otherwise called after losses only, or by former versions."""
    connections = world.node("mdreg", world.core[0]).rpc
    disk = f"{STORING_ROLE}-{world.core[0]}"
    chunk = next(name for name in sorted(files) if name.startswith(f"{disk}/blob/")).split("/")[2]
    key = next(name for name in sorted(files) if name.startswith(f"{disk}/key/")).split("/")[2]
    arguments = {
        "blob.get": [chunk, "0" * 32],
        "mend.keys": int(key[0], 16),
        "duty.claim": ["collector", "mdreg@10.0.0.1", 0],
        "no.such.method": None,
    }
    for method, args in arguments.items():
        try:
            await connections.call(f"{world.core[0]}:7421", method, args, monotonic_us() + SECOND)
        except Rejected:
            pass  # the recorder has it


async def deployment_scenario(world):
    """Run a deployment and return its DeploymentRecord.

    It makes three changes and holds a lease, and its calls are served or rejected; then it loses a
    disk, so that the rpc methods for the repair are called.
    """
    deployment, recorder = DeploymentRecord(), RpcRecorder()
    world.listen = recorder.attach
    await start_configured(world)
    record_disk = MemoryDisk()
    endpoints = [
        await world.endpoint(
            host,
            service,
            request_handler(50 * MILLISECOND),
            capacity=2,
            record=ExecutionRecord(record_disk),
        )
        for host, service in world.application.items()
    ]
    await sleep_us(3 * SECOND)
    await forward_calls(world)
    deployment.http["proxy"] = await proxy_responses(world, endpoints[0].token)
    deployment.http["operators"] = await operator_responses(world)
    await sleep_us(3 * SECOND)
    for (role, host), disk in sorted(world.disks.items()):
        for name, data in sorted(disk.files.items()):
            deployment.disks[f"{role}-{host}/{name}"] = data
    for name, data in sorted(record_disk.files.items()):
        deployment.disks[f"endpoint/{name}"] = data
    deployment.methods = methods_by_role(world)
    await call_rare_methods(world, deployment.disks)
    await restart_cores(world)
    deployment.rpc = recorder.entries()
    deployment.events = event_fields(world.trace.lines)
    return deployment


def event_fields(lines):
    """Return {number: [event name, the field names of all its lines]}."""
    fields_by_number = {}
    for _, line in lines:
        fields = fields_by_number.setdefault(line["number"], [line["event"], set()])[1]
        fields |= set(line)
    return {
        number: [event, sorted(fields)]
        for number, (event, fields) in sorted(fields_by_number.items())
    }


def run_deployment():
    """Run the deployment of the golden files with the current code."""
    return run(deployment_scenario, SEED, core=CORE, application=APPLICATION)


def revision_and_audit(files):
    """Start a deployment on stored disks and return what its members report.

    For each member that is its revision and audit log; the first entry also has the versions in
    force at the proxies, and the version of the next change.
    """

    async def scenario(world):
        for host in world.core:
            disk = SimDisk(random.Random(host))
            disk.files = disk_with(files, f"{STORING_ROLE}-{host}/").files
            disk.lasting = dict(disk.files)
            world.disks[STORING_ROLE, host] = disk
        await world.start_all()
        for host in world.core:
            node = world.node(STORING_ROLE, host)
            await world.eventually(lambda node=node: not node.unready_reasons())
        for host in world.application:
            node = world.node("mdproxy", host)
            await world.eventually(lambda node=node: not node.unready_reasons())
        members = [await read_member(world, core) for core in range(CORE)]
        members[0]["proxies"] = [
            (await http_response(world, f"{host}:7400", "GET", "/md/status"))["body"]["version"]
            for host in world.application
        ]
        members[0]["next"] = await world.configure(manifest())
        return members

    return run(scenario, SEED, core=CORE, application=APPLICATION)


async def read_member(world, core):
    """Return what a member reports to operators: its audit log and the manifest in force."""
    status, audit_log = await world.operate("GET", "/audit", core=core)
    assert status == 200, audit_log
    status, revision = await world.operate("GET", "/manifest", core=core)
    assert status == 200, revision
    faults = audit.verify(
        audit_log["records"], audit_log["key"], audit_log["version"], audit_log["anchor"]
    )
    return {"audit": audit_log, "manifest": revision, "faults": faults}


GATEWAY_LINK_MAGIC = b"mdg1"  # in the first frame of a connection between gateways
# Frames of each side that are kept: handshake, first call and its response; then only pings follow.
LINK_FRAMES_KEPT = 4
CALL_HEADERS = b"Host: h.example\r\nmd-call: c-%d\r\nmd-due: 900\r\n"
# X-A consumes the call's headers, which these requests don't use.
DEADLINE_HEADERS = b"Host: h.example\r\nmd-call: c-0\r\nmd-due: %s\r\nX-A: %%.0s1\r\n\r\n"
GATEWAY_REQUESTS = {
    "answered beside": b"GET /p/x?a=1 HTTP/1.1\r\n%s\r\n",
    "answered beside, with a body": b"POST /once/x HTTP/1.1\r\n%sContent-Length: 3\r\n\r\nabc",
    "answered by a neighbour": b"GET /paper/x HTTP/1.1\r\n%s\r\n",
    "no route": b"GET /nowhere HTTP/1.1\r\n%s\r\n",
    "no endpoint": b"GET /none/x HTTP/1.1\r\n%s\r\n",
    "two lengths": b"POST /p/x HTTP/1.1\r\n%sContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
    "body too large": b"POST /p/x HTTP/1.1\r\n%sContent-Length: 9999999\r\n\r\n",
    "head too large": b"GET /p/x HTTP/1.1\r\n%sX-A: " + b"x" * 9000 + b"\r\n\r\n",
    "two dues": b"GET /p/x HTTP/1.1\r\n%smd-due: 800\r\n\r\n",
    "no call id": b"GET /p/x HTTP/1.1\r\nHost: h.example\r\nmd-due: 0\r\nX-A: %.0s\r\n\r\n",
    "malformed due": b"GET /p/x HTTP/1.1\r\n" + DEADLINE_HEADERS % b"soon",
    "due passed": b"GET /p/x HTTP/1.1\r\n" + DEADLINE_HEADERS % b"0",
    "no host": b"GET /p/x HTTP/1.1\r\nX-A: %.0s1\r\n\r\n",
    "connect": b"CONNECT h.example:80 HTTP/1.1\r\n%s\r\n",
    "no HTTP": b"\x16\x03\x01 %.0s\r\n\r\n",
}


class ConnectionRecorder:
    """Record what both ends of each connection send, in the order of the connections' first use."""

    def __init__(self):
        self.sent = {}  # wire -> [bytes]

    @contextmanager
    def recorded(self):
        """Record while the block runs."""
        original = SimWire.send

        def send(wire, data):
            self.sent.setdefault(wire, []).append(bytes(data))
            original(wire, data)

        SimWire.send = send
        try:
            yield
        finally:
            SimWire.send = original

    def pairs(self):
        """Return a pair per connection: what the end that sent first has sent, and the other end."""
        pairs, seen = [], set()
        for wire, sent in self.sent.items():
            if wire not in seen:
                seen |= {wire, wire.other}
                pairs.append((sent, self.sent.get(wire.other, [])))
        return pairs

    def by_protocol(self):
        """Return {"links": frames between gateways in hexadecimal, "http": text of the others}."""
        links, http = [], []
        for first, second in self.pairs():
            if GATEWAY_LINK_MAGIC in first[0]:
                links.append(
                    [[frame.hex() for frame in side[:LINK_FRAMES_KEPT]] for side in (first, second)]
                )
            else:
                http.append([b"".join(side).decode("latin-1") for side in (first, second)])
        return {"links": links, "http": http}


async def gateways_scenario(world):
    """Send requests to a gateway and return all bytes of the connections.

    "answers" has the raw responses, "statuses" the counters of the proxies afterwards, "links" and
    "http" what was sent over connections between gateways and over others.
    """
    responses, recorder = {}, ConnectionRecorder()
    await world.start_all()
    member = world.node(STORING_ROLE, world.core[0])
    await world.eventually(lambda: not member.unready_reasons())
    responses["before any revision"] = await send_raw_bytes(
        world, GATEWAY_REQUESTS["answered beside"] % (CALL_HEADERS % 0)
    )
    await world.set_items(
        default_items(service("none"), route("none", prefix="/none/", services=("none",)))
    )
    with recorder.recorded():
        for host, name in world.application.items():
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())
            await world.stand_in(host, name)
        await wait_until_listed(world)
        for number, (case, request) in enumerate(GATEWAY_REQUESTS.items(), 1):
            responses[case] = await send_raw_bytes(world, request % (CALL_HEADERS % number))
    answers = {
        case: {"status": status, "closed": closed, "bytes": data.decode("latin-1")}
        for case, (status, closed, data) in responses.items()
    }
    hosts = list(world.application)
    statuses = [await http_response(world, f"{host}:7400", "GET", "/md/status") for host in hosts]
    return {"answers": answers, "statuses": statuses, **recorder.by_protocol()}


def run_gateways():
    """Run the gateways of the golden files with the current code."""
    return run(gateways_scenario, SEED, core=1, application=("desk", "paper"), gate=True)


class RecordingStream(trio.abc.Stream):
    """A stream that records what is sent over it."""

    def __init__(self, stream):
        self.stream, self.sent = stream, []

    async def send_all(self, data):
        self.sent.append(bytes(data).hex())
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self.stream.receive_some(max_bytes)

    async def aclose(self):
        await self.stream.aclose()


def link_handlers():
    """Return the handlers of the server's end of the recorded connection."""
    handlers = Handlers()

    @handlers.on("echo")
    async def echo(peer, args):
        return [peer.name, peer.address, args]

    @handlers.on("refuse")
    async def refuse(peer, args):
        raise Rejected("lease_held", epoch=3)

    @handlers.on("wait")
    async def wait(peer, args):
        await sleep_us(10 * SECOND)

    return handlers


async def link_conversation(_):
    """Record an rpc connection: its handshake and four calls.

    One call is answered, one is rejected, one has an unknown method, and one is given up. Return
    {"opener": [hex], "answerer": [hex], "outcomes": [...]}.
    """
    client_stream, server_stream = (
        RecordingStream(stream) for stream in trio.testing.memory_stream_pair()
    )
    outcomes = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serve_connection,
            server_stream,
            FLEET_KEY,
            random.Random(2),
            "mdconf@10.0.0.1",
            link_handlers(),
            discard_log,
        )
        client = Peer("mdreg@10.0.0.2", "10.0.0.2:7411")
        session = await client_handshake(client_stream, FLEET_KEY, random.Random(1), client)
        connection = ClientConnection(client_stream, session)
        nursery.start_soon(connection.run)
        for method in ("echo", "refuse", "unknown", "wait"):
            try:
                args = {"a": [1, b"2", None, 0.5], 3: "four"}
                deadline = monotonic_us() + 300 * MILLISECOND
                outcomes.append([method, await connection.call(method, args, deadline)])
            except Rejected as rejected:
                outcomes.append([method, rejected.code, rejected.details])
            except ConnectionFailed as failed:
                outcomes.append([method, "failed", failed.sent])
        await sleep_us(SECOND)
        nursery.cancel_scope.cancel()
    return readable(
        {"opener": client_stream.sent, "answerer": server_stream.sent, "outcomes": outcomes}
    )


def sealed_frames():
    """Return frames of one direction under a fixed key; each MAC covers the number of the frame."""
    authenticator = FrameAuthenticator(FLEET_KEY, b"out")
    return [authenticator.seal(body).hex() for body in (b"", b"first", b"first", b"\x00" * 100)]


def opened_frames(frames):
    """Return the bodies of sealed frames; None for one whose MAC is wrong."""
    authenticator = FrameAuthenticator(FLEET_KEY, b"out")
    return [readable(authenticator.open(bytes.fromhex(frame)[4:])) for frame in frames]


COMMON = f"""host = "10.0.0.1"
hall = "a"
seeds = ["10.0.0.1:7411", "10.0.0.2:7411"]
fleet_key = "{"5a" * 32}"
"""
STORED = """data = "data"
members = ["10.0.0.1:7421", "10.0.0.2:7421", "10.0.0.3:7421"]
"""
EVERY_SETTING = """local = ["10.0.0.9"]
nodes_expected = 12
http_port = 8400
link_port = 8401
gate_port = 8402
gate = "10.0.0.1:8440"
app = "10.0.0.1:8000"
service = "desk"
founding = false
losses = 2
zone_losses = 1
region_losses = 0
region = "north"
contact_us = 3000001
ack_us = 4000001
apply_us = 2000001
linger_us = 1200001
stop_us = 4700001
catch_up_us = 4000002
beat_us = 500001
drain_us = 2000002
tries = { ratio = 0.25, window_us = 9000000, reserve = 12 }
"""
INVALID_SETTINGS = {
    "nothing": "",
    "unknown setting": COMMON + "zone = 1\n",
    "no number": COMMON + STORED + 'http_port = "x"\n',
    "bad address": COMMON.replace("10.0.0.2:7411", "10.0.0.999:1"),
    "bad key": COMMON.replace("5a5a", "zz"),
    "even members": COMMON + 'data = "x"\nmembers = ["10.0.0.1:1", "10.0.0.2:1"]\n',
    "linger over stop": COMMON + STORED + "linger_us = 9\nstop_us = 9\n",
    "bad tries": COMMON + STORED + "tries = { ratio = 2 }\n",
    "no TOML": "host = \n",
}


def settings_inputs():
    """Return {role: {case: the text of a boot file}}."""
    valid = {"least": COMMON + STORED, "all": COMMON + STORED + EVERY_SETTING}
    return {role: {**valid, **INVALID_SETTINGS} for role in ROLES}


def normal_form(boot):
    """Return validated settings under the names that boot files use."""
    return readable(
        {
            "role": boot.role,
            "host": boot.host,
            "hall": boot.zone,
            "seeds": boot.seeds,
            "fleet_key": boot.fleet_key,
            "data": boot.data,
            "members": boot.members,
            "local": boot.local_addresses,
            "nodes_expected": boot.nodes_expected,
            "operator_key": boot.operator_key,
            "http_port": boot.http_port,
            "link_port": boot.link_port,
            "gate_port": boot.gate_port,
            "gate": boot.gate_address,
            "service": boot.service,
            "app": boot.app_address,
            "founding": boot.may_bootstrap,
            "losses": boot.losses,
            "zone_losses": boot.zone_losses,
            "region_losses": boot.region_losses,
            "region": boot.region,
            "contact_us": boot.contact_us,
            "ack_us": boot.ack_us,
            "apply_us": boot.apply_us,
            "linger_us": boot.linger_us,
            "stop_us": boot.stop_us,
            "catch_up_us": boot.catch_up_us,
            "beat_us": boot.heartbeat_us,
            "drain_us": boot.drain_us,
            "tries": dataclasses.asdict(boot.retry_budget),
        }
    )


def accepted_settings(role, text):
    """Return the settings in normal form that a boot file's text gives, or the errors."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.toml"
        path.write_text(text)
        try:
            boot = load_settings(role, str(path))
        except InvalidSettings as invalid:
            return {"errors": str(invalid).splitlines()}
    return {"accepted": normal_form(boot), "name": boot.node_name, "link": boot.rpc_address}


def settings_outcomes(inputs):
    """Return {role: {case: outcome}} of the inputs of settings_inputs."""
    return {
        role: {case: accepted_settings(role, text) for case, text in cases.items()}
        for role, cases in inputs.items()
    }


def event_names():
    """Return {number: event name} of all events that can be logged."""
    return {str(number): name for number, (name, _) in CATALOGUE.items()}


def run_simulated(function, *args):
    """Run a coroutine function with a fixed seed and a virtual clock, and return its result."""

    async def scenario(_):
        return await function(*args)

    return run(scenario, SEED)


def golden_files():
    """Return {file name below the golden folder: bytes} as the current code makes them."""
    deployment = run_deployment()
    formats = run_simulated(stored_formats)
    inputs = settings_inputs()
    link = run(link_conversation, SEED)
    members = revision_and_audit(deployment.disks)
    values = {
        "formats.json": run_simulated(read_formats, formats),
        "lease_messages.json": lease_messages(),
        "rpc.json": deployment.rpc,
        "gates.json": run_gateways(),
        "methods.json": deployment.methods,
        "http.json": deployment.http,
        "events.json": {"names": event_names(), "fields": deployment.events},
        "frames.json": {"sealed": sealed_frames(), "link": link},
        "settings.json": {"inputs": inputs, "outcomes": settings_outcomes(inputs)},
        "revision_and_audit.json": members,
    }
    return {
        **{f"formats/{name}": data for name, data in formats.items()},
        **{f"disks/{name}": data for name, data in deployment.disks.items()},
        **{name: as_text(value).encode() for name, value in values.items()},
    }


def main():
    """Write the golden files with --write; otherwise print the names of those that differ."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="write all golden files again")
    write = parser.parse_args().write
    generated = golden_files()
    if write:
        shutil.rmtree(GOLDEN, ignore_errors=True)
        for name, data in generated.items():
            path = GOLDEN / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(data)
        return
    existing = golden_tree("")
    for name in sorted(generated.keys() | existing.keys()):
        if generated.get(name) != existing.get(name):
            print(name)


if __name__ == "__main__":
    main()
