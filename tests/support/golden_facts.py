"""What the golden files of tests/golden are made of: stored files, rpc messages, HTTP answers,
settings and events of the code as it is.

python tests/support/golden_facts.py --write    # makes the golden files anew

The golden files stand for what deployed processes have stored and speak. Write them anew only if a
format is meant to change, and keep the former disks as a second set: they must still be read.

This is the only test module of the golden files that knows the names of the code.
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
from facts import manifest, way
from gates import items as gate_items
from gates import listed
from item_builders import route, service
from mesh import answers, configured
from raw_bytes import raw

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
VOTE = "register"  # the rpc method whose third argument says what is asked of a voter

# ---------------------------------------------------------------- the form of golden files


def readable(value):
    """A value as JSON can hold it; bytes as {"hex": ...}, tuples as lists."""
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
    """The value of a golden JSON file."""
    return json.loads((GOLDEN / name).read_text())


def as_text(value):
    """A golden JSON file's text."""
    return json.dumps(readable(value), indent=1, sort_keys=True, ensure_ascii=False) + "\n"


def golden_tree(folder):
    """{name: bytes} of the files below a golden folder."""
    root = GOLDEN / folder
    return {
        path.relative_to(root).as_posix(): path.read_bytes()
        for path in sorted(root.rglob("*"))
        if path.is_file()
    }


# ---------------------------------------------------------------- stored formats, one by one

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


def silent(*_, **__):
    """A log that keeps nothing."""


def audit_chain(length):
    """{version: signed record}"""
    key, records, former = audit.signing_key(FLEET_KEY), {}, ""
    for version in range(1, length + 1):
        facts = {"version": version, "plan": f"{version:032x}", "base": version - 1}
        records[version] = audit.sign(
            key, {**facts, "ranges": "r", "at": str(1_700_000_000_000_000), "former": former}
        )
        former = audit.record_hash(records[version])
    return records


def new_store(disk):
    """A member's store over a disk."""
    return Store(disk, random.Random(SEED), silent)


async def stored_formats():
    """{file name: bytes} of one file of each format, written by the code that stores it."""
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

    async def work(_):
        return 200, {"balance": 5}

    await record.run_once(KEYED_CALL, work)
    return {
        **{f"member/{name}": data for name, data in disk.files.items()},
        **{f"endpoint/{name}": data for name, data in record_disk.files.items()},
    }


def disk_of(files, folder=""):
    """A disk that holds the files below a folder of a tree."""
    disk = MemoryDisk()
    disk.files = {n[len(folder) :]: data for n, data in files.items() if n.startswith(folder)}
    return disk


async def read_formats(files):
    """What the files of stored_formats say, read by the code that loads them."""
    store = new_store(disk_of(files, "member/"))
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
    record = ExecutionRecord(disk_of(files, "endpoint/"))

    async def never(_):
        raise AssertionError("a recorded call must not run again")

    reply = await record.run_once(KEYED_CALL, never)
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
            "recorded_answer": [reply.status, reply.body],
        }
    )


def lease_messages():
    """{name: encoded form} of the lease's record and messages, by their code."""
    made = {
        "record": LEASE,
        "released": LeaseRecord("mdreg@10.0.0.1", 3, 10, 2_000_000, True),
        "acquire": AcquireLease("collector", "mdreg@10.0.0.1", 4, 2_000_000, 2),
        "renew": RenewLease("collector", "mdreg@10.0.0.1", 3, 5),
        "release": ReleaseLease("collector", "mdreg@10.0.0.1", 3, 6),
        "granted": LeaseGranted(3, 5),
    }
    for message in made.values():
        assert type(message).decode(unpack(pack(message.encode()))) == message
    return {name: pack(message.encode()).hex() for name, message in made.items()}


# ---------------------------------------------------------------- a played deployment


def canonical(value):
    """Maps in the order of their keys: that of a message's maps may come from a set."""
    if isinstance(value, dict):
        return {key: canonical(value[key]) for key in sorted(value, key=str)}
    if isinstance(value, list | tuple):
        return [canonical(inner) for inner in value]
    return value


def packed(value):
    """A message as hexadecimal digits, with its maps in canonical order."""
    return pack(canonical(value)).hex()


class Recording:
    """The first request and the first answer, refused or not, of each rpc method."""

    def __init__(self):
        self.requests, self.answers, self.refusals = {}, {}, {}

    def listen(self, links):
        """Stand where a process' calls over links leave it."""
        original = links.call

        async def call(address, method, args, due):
            name = f"{method} {args[2]}" if method == VOTE else method
            self.requests.setdefault(name, packed(args))
            try:
                answer = await original(address, method, args, due)
            except Rejected as refused:
                self.refusals.setdefault(name, {})[refused.code] = sorted(refused.details)
                raise
            self.answers.setdefault(name, packed(answer))
            return answer

        links.call = call

    def told(self):
        """{method: its request, answer and refusals}"""
        return {
            method: {
                "request": request,
                "answer": self.answers.get(method),
                "refusals": self.refusals.get(method, {}),
            }
            for method, request in sorted(self.requests.items())
        }


def decoded(told):
    """An entry of Recording.told() with its packed messages read."""
    found = {key: told[key] and bytes.fromhex(told[key]) for key in ("request", "answer")}
    return {key: data and readable(unpack(data)) for key, data in found.items()}


class Played:
    """What a played deployment left behind."""

    def __init__(self):
        self.disks, self.rpc, self.http, self.events = {}, {}, {}, {}
        self.methods = {}  # role -> the rpc methods that its processes answer


def later_manifest():
    """The second configuration of the played deployment."""
    return manifest([way("balances", "/balances"), way("audits", "/audits", service="paper")])


ITEMS = [service("letters"), route("letters", prefix="/letters/", services=("letters",))]


async def http_answer(world, address, method, path, body=None, headers=()):
    """The whole answer to one request, asked from the machine that answers."""
    host = address.partition(":")[0]
    status, lines, told = await world.http(host, method, address, path, body, headers)
    shown = {name.decode(): value.decode("latin-1") for name, value in lines.items()}
    return {"status": status, "headers": shown, "body": told}


async def proxy_answers(world, token):
    """{case: answer} of a proxy's door."""
    host = next(iter(world.application))
    asked = {
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
    return {case: await http_answer(world, f"{host}:7400", *words) for case, words in asked.items()}


def enrolment(host, service):
    """The facts of an enrolment."""
    address = f"{host}:8099"
    return {"service": service, "address": address, "incarnation": "i99", "capacity": 4}


async def operator_answers(world):
    """{case: answer} of the operators' door; makes the second and third change of the deployment."""
    door = f"{world.core[0]}:7420"
    made = {}

    async def ask(case, method, path, body=None):
        made[case] = await http_answer(world, door, method, path, body)
        return made[case]["body"]

    plan = (await ask("plan", "POST", "/plan", later_manifest()))["plan"]
    await ask("plan not confirmed yet", "GET", f"/plan/{plan}")
    await ask("confirm", "POST", "/confirm", {"plan": plan})
    await ask("confirm again", "POST", "/confirm", {"plan": plan})
    await ask("plan confirmed", "GET", f"/plan/{plan}")
    await ask("plan without changes", "POST", "/plan", later_manifest())
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
    return made


async def spill(world):
    """Calls at a proxy whose endpoint is full, so that a neighbour takes some."""
    client = world.client(next(iter(world.application)))
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(client.call, "GET", "/balances/1")


async def restart_cores(world):
    """Each registry and member stops politely and comes back: leases and votes are handed over."""
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


def methods_of(world):
    """{role: the rpc methods that its processes answer}"""
    hosts = {
        "mdconf": world.core[0],
        "mdreg": world.core[0],
        "mdproxy": next(iter(world.application)),
    }
    return {
        role: sorted(world.daemon(role, host).rpc_handlers().table) for role, host in hosts.items()
    }


async def ask_rare_methods(world, files):
    """The methods that only losses or former versions call."""
    links = world.node("mdreg", world.core[0]).rpc
    disk = f"{STORING_ROLE}-{world.core[0]}"
    chunk = next(name for name in sorted(files) if name.startswith(f"{disk}/blob/")).split("/")[2]
    key = next(name for name in sorted(files) if name.startswith(f"{disk}/key/")).split("/")[2]
    asked = {
        "blob.get": [chunk, "0" * 32],
        "mend.keys": int(key[0], 16),
        "duty.claim": ["collector", "mdreg@10.0.0.1", 0],
        "no.such.method": None,
    }
    for method, args in asked.items():
        try:
            await links.call(f"{world.core[0]}:7421", method, args, monotonic_us() + SECOND)
        except Rejected:
            pass  # the recording has it


async def play(world):
    """Three changes, a lease, calls and refusals; then losses, for the methods that mend them."""
    played, recording = Played(), Recording()
    world.listen = recording.listen
    await configured(world)
    record_disk = MemoryDisk()
    endpoints = [
        await world.endpoint(
            host,
            service,
            answers(50 * MILLISECOND),
            capacity=2,
            record=ExecutionRecord(record_disk),
        )
        for host, service in world.application.items()
    ]
    await sleep_us(3 * SECOND)
    await spill(world)
    played.http["proxy"] = await proxy_answers(world, endpoints[0].token)
    played.http["operators"] = await operator_answers(world)
    await sleep_us(3 * SECOND)
    for (role, host), disk in sorted(world.disks.items()):
        for name, data in sorted(disk.files.items()):
            played.disks[f"{role}-{host}/{name}"] = data
    for name, data in sorted(record_disk.files.items()):
        played.disks[f"endpoint/{name}"] = data
    played.methods = methods_of(world)
    await ask_rare_methods(world, played.disks)
    await restart_cores(world)
    played.rpc = recording.told()
    played.events = event_fields(world.trace.lines)
    return played


def event_fields(lines):
    """{number: [event name, the field names of all its lines]}"""
    found = {}
    for _, line in lines:
        fields = found.setdefault(line["number"], [line["event"], set()])[1]
        fields |= set(line)
    return {number: [event, sorted(fields)] for number, (event, fields) in sorted(found.items())}


def played_deployment():
    """The deployment of the golden files, played by the code as it is."""
    return run(play, SEED, core=CORE, application=APPLICATION)


def revision_and_audit(files):
    """What each member of a deployment that starts on stored disks tells of its revision and its
    audit trail; the versions in force at the proxies, and that of the change made next."""

    async def scenario(world):
        for host in world.core:
            disk = SimDisk(random.Random(host))
            disk.files = disk_of(files, f"{STORING_ROLE}-{host}/").files
            disk.lasting = dict(disk.files)
            world.disks[STORING_ROLE, host] = disk
        await world.start_all()
        for host in world.core:
            node = world.node(STORING_ROLE, host)
            await world.eventually(lambda node=node: not node.unready_reasons())
        for host in world.application:
            node = world.node("mdproxy", host)
            await world.eventually(lambda node=node: not node.unready_reasons())
        found = [await read_back(world, core) for core in range(CORE)]
        found[0]["proxies"] = [
            (await http_answer(world, f"{host}:7400", "GET", "/md/status"))["body"]["version"]
            for host in world.application
        ]
        found[0]["next"] = await world.configure(manifest())
        return found

    return run(scenario, SEED, core=CORE, application=APPLICATION)


async def read_back(world, core):
    """What one member tells operators of the revision in force and the audit trail."""
    status, trail = await world.operate("GET", "/audit", core=core)
    assert status == 200, trail
    status, told = await world.operate("GET", "/manifest", core=core)
    assert status == 200, told
    faults = audit.verify(trail["records"], trail["key"], trail["version"], trail["anchor"])
    return {"audit": trail, "manifest": told, "faults": faults}


# ---------------------------------------------------------------- gates, byte by byte

GATE_LINK_MAGIC = b"mdg1"  # in the first frame of a link between gates
LINK_SENDS_KEPT = 4  # of each side: greeting, first call, its answer; then they only ping
CALL = b"Host: h.example\r\nmd-call: c-%d\r\nmd-due: 900\r\n"
NO_DUE = b"Host: h.example\r\nmd-call: c-0\r\nmd-due: %s\r\nX-A: %%.0s1\r\n\r\n"
GATE_REQUESTS = {
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
    "malformed due": b"GET /p/x HTTP/1.1\r\n" + NO_DUE % b"soon",
    "due passed": b"GET /p/x HTTP/1.1\r\n" + NO_DUE % b"0",
    "no host": b"GET /p/x HTTP/1.1\r\nX-A: %.0s1\r\n\r\n",
    "connect": b"CONNECT h.example:80 HTTP/1.1\r\n%s\r\n",
    "no HTTP": b"\x16\x03\x01 %.0s\r\n\r\n",
}


class Conversations:
    """What both ends of each connection send, in the order in which connections are first used."""

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
        """[(what the end that spoke first sent, what the other did)]"""
        found, seen = [], set()
        for wire, sent in self.sent.items():
            if wire not in seen:
                seen |= {wire, wire.other}
                found.append((sent, self.sent.get(wire.other, [])))
        return found

    def told(self):
        """{"links": hexadecimal digits of those between gates, "http": text of the others}"""
        links, http = [], []
        for first, second in self.pairs():
            if GATE_LINK_MAGIC in first[0]:
                links.append(
                    [[d.hex() for d in side[:LINK_SENDS_KEPT]] for side in (first, second)]
                )
            else:
                http.append([b"".join(side).decode("latin-1") for side in (first, second)])
        return {"links": links, "http": http}


async def play_gates(world):
    """{"answers": raw answers of a gate's door, "statuses": with what was counted, "links": ...,
    "http": ...}"""
    made, conversations = {}, Conversations()
    await world.start_all()
    member = world.node(STORING_ROLE, world.core[0])
    await world.eventually(lambda: not member.unready_reasons())
    made["before any revision"] = await raw(world, GATE_REQUESTS["answered beside"] % (CALL % 0))
    await world.set_items(
        gate_items(service("none"), route("none", prefix="/none/", services=("none",)))
    )
    with conversations.recorded():
        for host, name in world.application.items():
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())
            await world.stand_in(host, name)
        await listed(world)
        for number, (case, request) in enumerate(GATE_REQUESTS.items(), 1):
            made[case] = await raw(world, request % (CALL % number))
    answers = {
        case: {"status": status, "closed": closed, "bytes": data.decode("latin-1")}
        for case, (status, closed, data) in made.items()
    }
    hosts = list(world.application)
    statuses = [await http_answer(world, f"{host}:7400", "GET", "/md/status") for host in hosts]
    return {"answers": answers, "statuses": statuses, **conversations.told()}


def played_gates():
    """The gates of the golden files, played by the code as it is."""
    return run(play_gates, SEED, core=1, application=("desk", "paper"), gate=True)


# ---------------------------------------------------------------- a link, byte by byte


class Recorded(trio.abc.Stream):
    """A stream that notes what is sent over it."""

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
    """What the answering end of the recorded link serves."""
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
    """{"opener": [hex], "answerer": [hex], "outcomes": [...]}: greeting, an answered call, a
    refused one, one of an unknown method and one that is given up."""
    here, there = (Recorded(stream) for stream in trio.testing.memory_stream_pair())
    outcomes = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serve_connection,
            there,
            FLEET_KEY,
            random.Random(2),
            "mdconf@10.0.0.1",
            link_handlers(),
            silent,
        )
        me = Peer("mdreg@10.0.0.2", "10.0.0.2:7411")
        session = await client_handshake(here, FLEET_KEY, random.Random(1), me)
        link = ClientConnection(here, session)
        nursery.start_soon(link.run)
        for method in ("echo", "refuse", "unknown", "wait"):
            try:
                args = {"a": [1, b"2", None, 0.5], 3: "four"}
                outcomes.append(
                    [method, await link.call(method, args, monotonic_us() + 300 * MILLISECOND)]
                )
            except Rejected as refused:
                outcomes.append([method, refused.code, refused.details])
            except ConnectionFailed as failed:
                outcomes.append([method, "failed", failed.sent])
        await sleep_us(SECOND)
        nursery.cancel_scope.cancel()
    return readable({"opener": here.sent, "answerer": there.sent, "outcomes": outcomes})


def sealed_frames():
    """Frames of one direction under a fixed key: the proof of each counts those before it."""
    proof = FrameAuthenticator(FLEET_KEY, b"out")
    return [proof.seal(body).hex() for body in (b"", b"first", b"first", b"\x00" * 100)]


def opened_frames(frames):
    """The bodies of sealed frames; None for one that fails its proof."""
    proof = FrameAuthenticator(FLEET_KEY, b"out")
    return [readable(proof.open(bytes.fromhex(frame)[4:])) for frame in frames]


# ---------------------------------------------------------------- settings

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
WRONG_SETTINGS = {
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
    """{role: {case: the text of a boot file}}"""
    good = {"least": COMMON + STORED, "all": COMMON + STORED + EVERY_SETTING}
    return {role: {**good, **WRONG_SETTINGS} for role in ROLES}


def normal_form(boot):
    """Checked settings under the names that boot files use."""
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
    """What a boot file's text is read as: the settings in normal form, or the errors' text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.toml"
        path.write_text(text)
        try:
            boot = load_settings(role, str(path))
        except InvalidSettings as wrong:
            return {"errors": str(wrong).splitlines()}
    return {"accepted": normal_form(boot), "name": boot.node_name, "link": boot.rpc_address}


def settings_outcomes(inputs):
    """{role: {case: outcome}} of settings_inputs' form."""
    return {
        role: {case: accepted_settings(role, text) for case, text in cases.items()}
        for role, cases in inputs.items()
    }


# ---------------------------------------------------------------- events


def event_names():
    """{number: event name} of all events that can be logged."""
    return {str(number): name for number, (name, _) in CATALOGUE.items()}


# ---------------------------------------------------------------- writing


def in_world(work, *args):
    """What a coroutine function gives, under a fixed seed and the virtual clock."""

    async def scenario(_):
        return await work(*args)

    return run(scenario, SEED)


def golden_files():
    """{file name below the golden folder: bytes}, made by the code as it is."""
    played = played_deployment()
    formats = in_world(stored_formats)
    inputs = settings_inputs()
    link = run(link_conversation, SEED)
    told = revision_and_audit(played.disks)
    values = {
        "formats.json": in_world(read_formats, formats),
        "lease_messages.json": lease_messages(),
        "rpc.json": played.rpc,
        "gates.json": played_gates(),
        "methods.json": played.methods,
        "http.json": played.http,
        "events.json": {"names": event_names(), "fields": played.events},
        "frames.json": {"sealed": sealed_frames(), "link": link},
        "settings.json": {"inputs": inputs, "outcomes": settings_outcomes(inputs)},
        "revision_and_audit.json": told,
    }
    return {
        **{f"formats/{name}": data for name, data in formats.items()},
        **{f"disks/{name}": data for name, data in played.disks.items()},
        **{name: as_text(value).encode() for name, value in values.items()},
    }


def main():
    """Writes the golden files if asked to; else says which differ."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="make the golden files anew")
    write = parser.parse_args().write
    made = golden_files()
    if write:
        shutil.rmtree(GOLDEN, ignore_errors=True)
        for name, data in made.items():
            path = GOLDEN / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(data)
        return
    held = golden_tree("")
    for name in sorted(made.keys() | held.keys()):
        if made.get(name) != held.get(name):
            print(name)


if __name__ == "__main__":
    main()
