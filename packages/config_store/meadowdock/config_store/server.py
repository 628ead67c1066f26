"""mdconf: a member of the register, and the door for operators."""

from __future__ import annotations

import hmac
from dataclasses import dataclass, field
from functools import cached_property, partial

import trio

from meadowdock import audit, process
from meadowdock.admin_http import BodyTooLarge, Response, RouteTable
from meadowdock.config_store.chunks import Chunks
from meadowdock.config_store.exceptions import QuorumUnreachable
from meadowdock.config_store.handover import Handover
from meadowdock.config_store.item_changes import Items
from meadowdock.config_store.lease import LeaseRegister
from meadowdock.config_store.members import Members
from meadowdock.config_store.plans import NO_HEAD, Plans
from meadowdock.config_store.quorum_monitor import QuorumMonitor
from meadowdock.config_store.repair import Repairer
from meadowdock.config_store.status import status_of
from meadowdock.config_store.store import HEAD, Store, disk_failures_rejected
from meadowdock.config_store.trail_transfer import TrailTransfer
from meadowdock.configuration import SIZE_MAX, assemble
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

OPERATORS = "operators"  # the product's own door
STAGE_PARTS = (9, 20)  # of apply_us, for all proxies to stage a head; the same to switch to it


@dataclass
class Reading:
    """A majority read that others may share. Invariant: shared only by those that came before it
    began, so each gets a value at least as new as when it asked."""

    done: trio.Event = field(default_factory=trio.Event)
    outcome: object = None


class ConfigStore(Members, process.Daemon):
    """One mdconf: a voter or spare of the register, and the listener for operators."""

    table = RouteTable()
    handlers = Handlers()

    def __init__(self, node):
        self.node = node
        self.store = Store(node.runtime.disk, node.runtime.rng, node.log)
        self.repairer = Repairer(node, self.store, self.others, self.fetch)
        self.trail = TrailTransfer(node, self.store, self.others, self.repairer.mended)
        self.chunks = Chunks(node, self.store, self.others)
        self.items = Items(self)
        self.handover = Handover(self)
        self.leases = LeaseRegister(self)
        self.contact = QuorumMonitor(self)
        self.plans = Plans(self)
        self.proposer = None
        self.head = NO_HEAD  # the newest known here
        self.next_reading = None
        self.reading = trio.Lock()
        self.no_majority = False
        self.mended = None  # the version whose range files are known to be whole here
        self.rosters = {}
        self.watch_members()

    def rpc_handlers(self):
        """The link methods that this process answers."""
        return (
            ConfigStore.handlers.bind(self)
            | self.member_handlers()
            | Repairer.handlers.bind(self.repairer)
            | Items.handlers.bind(self.items)
            | TrailTransfer.handlers.bind(self.trail)
            | Chunks.handlers.bind(self.chunks)
            | LeaseRegister.handlers.bind(self.leases)
        )

    async def prepare(self):
        """Read the disk before anything is served."""
        await self.store.load()
        self.leases.begin()
        self.proposer = self.make_proposer()

    @cached_property
    def audit_key(self):
        """The key that signs audit records."""
        return audit.signing_key(self.node.settings.fleet_key)

    @property
    def operate_wait(self):
        """How long work for an operator goes on while a quorum is in touch."""
        return self.node.settings.ack_us

    @property
    def answer_wait(self):
        """How long an operator waits for a small change before the answer is that it is unclear."""
        return self.node.settings.ack_us // 4

    @property
    def read_wait(self):
        """How long an operator waits for a read: one under way, and the next."""
        return self.node.settings.ack_us // 2

    @property
    def reading_wait(self):
        """For one quorum read, with time to mend what a change left apart."""
        return self.node.settings.ack_us // 4

    def operator_doors(self):
        """{name: address} where operators reach this member."""
        return {OPERATORS: self.node.settings.http}

    async def change_items(self, items):
        """The head's version, once a quorum holds the change. items: mditems' form.

        Raises meadowdock.configuration.items.Invalid, meadowdock.configuration.items.VersionConflict or NoQuorum (surely not done), or
        OutcomeUnknown."""
        if not self.store.membership or self.too_few():
            raise NoQuorum("members")
        return await self.items.change(items)

    async def read_items(self):
        """The standing items, by kind and name, from a quorum read. Raises NoQuorum."""
        if not self.store.membership:
            raise NoQuorum("members")
        return (await self.items.read(monotonic_us() + self.read_wait))[1]

    def background_tasks(self):
        """The loops that the node keeps going."""
        return {
            **self.member_loops(),
            "head": self.head_loop,
            "roster": self.roster_loop,
            "repairer": self.repairer.run,
            "trail": self.trail.run,
        }

    async def announce_shutdown(self):
        """Hand the vote to a spare, as long as one can come."""
        reserve = min(
            self.node.shutdown.timeout_us // 3, 3 * SECOND // 2
        )  # for what comes after it
        if self.store.membership:
            await self.handover.leave_membership(self.node.shutdown.deadline - reserve)

    async def drain(self):
        """Secure on others what only this disk may hold."""
        if self.store.membership:
            await self.handover.secure_state(self.node.shutdown.deadline - SECOND // 4)

    def unready_reasons(self):
        """Why this process is not ready; empty if it is."""
        wrong = self.store.files.wrong()
        if self.store.membership is None:
            return ["the register isn't founded, or its members aren't known yet"]
        return [
            *([wrong] if wrong else []),
            *(
                []
                if self.store.settled or self.spare()
                else ["this disk is no member, or not fully yet"]
            ),
            *(["too few members for the losses to be borne"] if self.too_few() else []),
            *(["no majority of the register answers"] if self.no_majority else []),
        ]

    # ------------------------------------------------------------ members that change

    async def transfer_files(self, deadline, enough=None):
        """The audit trail and the range files of the head, until enough(members that hold them):
        if not told otherwise, all newcomers and a quorum of both sides."""
        enough = enough or self.transferred(self.store.membership)
        head = await self.proposer.read(HEAD, deadline) or NO_HEAD
        spread = partial(self.on_majority, enough=enough)
        await self.trail.carry(spread, deadline)
        names = sorted({*head["ranges"], *(p for _, p in head["history"])})
        bodies = await self.fetch(names)
        if not set(head["ranges"]) <= set(bodies):
            raise NoQuorum("range files")
        await self.spread(bodies, deadline, enough)

    @table.on("POST", "/members")
    async def members(self, request):
        """Replace one member, or set all."""
        return await self.operate(self.make_members, request)

    # ------------------------------------------------------------ the head

    async def read_head(self, deadline):
        """A majority read. Those that ask while one is under way share the next."""
        if not self.store.membership:
            raise NoQuorum(HEAD)
        if self.next_reading is None:
            self.next_reading = Reading()
            self.node.nursery.start_soon(self.read_next, self.next_reading)
        reading = self.next_reading
        with deadline_scope(deadline):
            await reading.done.wait()
        if reading.outcome is None:
            raise NoQuorum(HEAD)
        if isinstance(reading.outcome, Exception):
            raise reading.outcome
        return reading.outcome

    async def read_next(self, reading):
        """The quorum read that all who wait for `reading` share."""
        async with self.reading:
            self.next_reading = None  # who asks from here on gets the next one
            try:
                head = await self.proposer.read(HEAD, monotonic_us() + self.reading_wait) or NO_HEAD
                self.know(head)
                reading.outcome = head
                self.no_majority = False
            except (NoQuorum, OutcomeUnknown) as cause:
                reading.outcome = NoQuorum(str(cause))
                self.note_no_quorum()
            finally:
                reading.done.set()

    def note_no_quorum(self):
        """Not ready until a quorum read succeeds."""
        if not self.no_majority:
            self.node.log(603, members=len(self.proposer.voters()))
        self.no_majority = True

    def know(self, head):
        """Take a newer head as the newest known here."""
        if head["version"] > self.head["version"]:
            self.head = head
            self.node.view.advance_heartbeat(version=head["version"])

    async def head_loop(self):
        """Keeps the head known, this member's range files whole, and old ones off the disk."""
        while True:
            await self.store.files.look()
            if self.store.membership:
                try:
                    head = await self.read_head(monotonic_us() + SECOND)
                    await self.mend(head)
                    await self.repairer.sweep(head, self.plans.plan_facts)
                except NoQuorum:
                    pass
            await sleep_us(SECOND)

    async def mend(self, head):
        """Fetch the chunks of a head that are missing here."""
        names = [*head["ranges"], *([head["plan"]] if head["plan"] else [])]
        if self.mended == head["version"]:
            return
        missing = await self.store.missing(names)
        if not missing or await self.repairer.refetch(missing):
            self.mended = head["version"]

    @handlers.on("manifest.head")
    async def on_head(self, peer, known):
        """A proxy's question for the current revision: a quorum read."""
        try:
            head = await self.read_head(monotonic_us() + SECOND)
        except NoQuorum:
            raise Rejected("no_majority") from None
        if head["version"] <= known:
            return {"version": head["version"]}
        return news_of(head)

    @handlers.on("duty.claim")
    async def on_claim(self, peer, claim):
        """Of a former version's registry: its claim has no end, so it gets none any more."""
        raise Rejected("lease_required")

    # ------------------------------------------------------------ range files

    @handlers.on("blob.missing")
    async def on_missing(self, peer, names):
        """Which of these chunks are missing here."""
        return await self.store.missing(names)

    @handlers.on("blob.put")
    async def on_put(self, peer, bodies):
        """Store chunks."""
        with disk_failures_rejected():
            return [await self.store.put_blob(bytes(body)) for body in bodies]

    def others(self):
        """{disk id: address} of all other members."""
        return {d: a for d, a in self.store.everybody.items() if d != self.store.disk}

    async def ask_others(self, method, args, deadline):
        """{disk id: answer} of the other members that answer."""
        asks = {d: (a, method, args) for d, a in self.others().items()}
        return await self.node.rpc.successful_responses(asks, deadline)

    async def fetch(self, names):
        """{name: body} of chunks, from here or from other members, as far as they are to be had."""
        return await self.chunks.fetch(names)

    async def spread(self, bodies, deadline, enough=None):
        """Put range files on every member that answers; raises NoQuorum unless a durable quorum,
        or enough(members), holds them all."""
        names = list(bodies)

        async def there(address):
            missing = await self.node.rpc.call(address, "blob.missing", names, deadline)
            for start in range(0, len(missing), 64):
                put = [bodies[name] for name in missing[start : start + 64]]
                await self.node.rpc.call(address, "blob.put", put, deadline)

        async def here():
            for body in bodies.values():
                await self.store.put_blob(body)

        await self.on_majority(here, there, deadline, enough)

    async def spread_audit(self, records, deadline):
        """Audit records to a durable quorum."""

        async def there(address):
            await self.node.rpc.call(address, "audit.put", records, deadline)

        await self.on_majority(lambda: self.store.trail.put(records), there, deadline)

    async def on_majority(self, here, there, deadline, enough=None):
        """Both done at this member and the others; gives back once a durable quorum is through,
        or raises NoQuorum. Slower members are still told, until the deadline."""
        enough = enough or self.proposer.is_durable
        held, done = set(), trio.Event()
        works = {self.store.disk: here()} | {d: there(a) for d, a in self.others().items()}
        waiting = set(works)

        async def one(disk, work):
            with deadline_scope(deadline):
                try:
                    await work
                    held.add(disk)
                except (ConnectionFailed, Rejected, OSError):
                    pass
            waiting.discard(disk)
            if not waiting or enough(held):
                done.set()

        for disk, work in works.items():
            self.node.nursery.start_soon(one, disk, work)
        with deadline_scope(deadline):
            await done.wait()
        if not enough(held):
            raise NoQuorum("files")

    @handlers.on("audit.put")
    async def on_audit(self, peer, records):
        """Store audit records."""
        with disk_failures_rejected():
            await self.store.trail.put(records)

    @table.on("GET", "/audit")
    async def audit(self, request):
        """The audit trail."""
        return await self.operate(self.make_audit, request, NoQuorum)

    async def make_audit(self, request):
        """The kept audit records up to the head, with the key and the anchor."""
        deadline = monotonic_us() + self.operate_wait
        head = await self.read_head(deadline)
        state, records = await self.trail.records(head["version"], deadline)
        if head.get("record"):
            records[head["version"]] = head["record"]
        return Response(
            200,
            {
                "version": head["version"],
                "key": self.audit_key.as_dict(private=False),
                "anchor": state.anchor(),
                "records": list(records.values()),
            },
        )

    def audit_record(self, old, facts, plan, version):
        """The signed record of a change."""
        return audit.sign(
            self.audit_key,
            {
                "version": version,
                "plan": plan,
                "base": facts["base"],
                "ranges": audit.record_hash(" ".join(facts["ranges"])),
                "at": str(self.node.runtime.wall_us()),
                "former": audit.record_hash(old["record"]) if old.get("record") else "",
            },
        )

    async def manifest_of(self, ranges):
        """The configuration that these chunks make. Raises NoQuorum if one is missing."""
        bodies = await self.fetch(sorted(set(ranges)))
        if len(bodies) < len(set(ranges)):
            raise NoQuorum("range files")
        return await self.node.runtime.offload(lambda: assemble(bodies[name] for name in ranges))

    # ------------------------------------------------------------ operators

    def denied(self, request):
        """The refusal of a request without the operators' key, or None."""
        key = self.node.settings.operator_key
        given = request.header(b"authorization") or ""
        if key is None or hmac.compare_digest(given.encode(), f"Bearer {key}".encode()):
            return None
        return Response(401, {"code": "operator_unknown"})

    @table.on("POST", "/plan")
    async def plan(self, request):
        """Make a plan."""
        return await self.operate(self.plans.make_plan, request, NoQuorum)

    @table.on("POST", "/confirm")
    async def confirm(self, request):
        """Commit a plan."""
        return await self.operate(self.plans.make_confirm, request, OutcomeUnknown)

    @table.on("GET", "/plan/*")
    async def settle(self, request):
        """What became of a plan."""
        return await self.operate(self.plans.make_settle, request, NoQuorum)

    @table.on("GET", "/manifest")
    async def read_back(self, request):
        """The configuration, by a quorum read."""
        return await self.operate(self.plans.make_read_back, request, NoQuorum)

    @table.on("POST", "/items")
    async def set_items(self, request):
        """Change items."""
        return await self.operate(self.items.make_change, request)

    @table.on("GET", "/items")
    async def get_items(self, request):
        """The items, by a quorum read."""
        return await self.operate(self.items.make_read, request)

    @table.on("GET", "/status")
    async def status(self, request):
        """The state of the fleet as seen from here."""
        return self.denied(request) or Response(200, await status_of(self))

    async def operate(self, work, request, lost=None):
        """Answer an operator. With `lost`, the work needs a quorum in touch as long as it goes on;
        lost: the error that says what holds if the contact ends meanwhile."""
        denied = self.denied(request)
        if denied:
            return denied
        if not self.store.membership:
            return Response(503, {"code": "not_founded"}, [(b"retry-after", b"1")])
        if request.method == "POST" and self.too_few():
            return Response(503, {"code": "too_few_members"}, [(b"retry-after", b"1")])
        try:
            if lost is None:
                return await work(request)
            writing = request.method == "POST"
            await self.contact.check(writing)
            return await self.contact.keep(lambda: work(request), lambda: lost("contact"), writing)
        except QuorumUnreachable as cause:
            return no_contact(request, cause.listeners.get(OPERATORS))
        except BodyTooLarge:
            return Response(413, {"code": "too_large", "errors": [f"over {SIZE_MAX} bytes"]})
        except NoQuorum:
            return no_quorum()
        except OutcomeUnknown:
            detail = "the change may have been made; ask about the plan"
            return Response(504, {"code": "unclear", "detail": detail})

    # ------------------------------------------------------------ delivery

    async def roster_loop(self):
        """Keeps the registries' rosters known."""
        while True:
            await self.refresh_rosters()
            await sleep_us(SECOND)

    async def refresh_rosters(self):
        """Ask every registry for its roster once."""
        self.rosters = await self.node.rpc.successful_responses(
            {a: (a, "reg.roster", None) for a in self.node.view.core_members("mdreg")},
            monotonic_us() + 500 * MILLISECOND,
        )

    async def deliver(self, head):
        """Staged everywhere first, then switched close together. Who misses it asks by itself."""
        proxies = sorted({a for r in self.rosters.values() for a in r["proxies"]})
        news = news_of(head)
        wait = self.node.settings.apply_us * STAGE_PARTS[0] // STAGE_PARTS[1]
        await self.node.rpc.call_all(
            {a: (a, "manifest.stage", news) for a in proxies}, monotonic_us() + wait
        )
        await self.node.rpc.call_all(
            {a: (a, "manifest.switch", head["version"]) for a in proxies}, monotonic_us() + wait
        )


def no_quorum():
    """The answer when too few members answer and nothing was changed."""
    detail = "too few members of the register answer; nothing was changed"
    return Response(503, {"code": "no_majority", "detail": detail}, [(b"retry-after", b"1")])


def no_contact(request, door):
    """To the door of a member that has a quorum, if one is known."""
    if door is None:
        return no_quorum()
    location = f"http://{door}{request.path}"
    return Response(307, {"code": "elsewhere"}, [(b"location", location.encode())])


def news_of(head):
    """What proxies need of a head."""
    return {k: head[k] for k in ("version", "ranges", "items") if k in head}
