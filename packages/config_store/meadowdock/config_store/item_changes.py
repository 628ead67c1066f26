"""Configuration by items, under the same head and register as operators' manifests.

A change is a plan and its confirm in one: judged against the head of a majority, its new range files
on a majority, then the head changed if it is still that one; else all of it once more.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

import ormsgpack
import trio

from meadowdock.admin_http import Response
from meadowdock.config_store.exceptions import RevisionConflict
from meadowdock.config_store.store import HEAD, disk_failures_rejected
from meadowdock.configuration import SIZE_MAX, cut_items
from meadowdock.configuration import items as config_items
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.rpc import Handlers
from meadowdock.runtime import MILLISECOND, deadline_scope, fingerprint, monotonic_us, sleep_us

PER_ITEM = 3 * MILLISECOND  # an operator waits longer for a large call's answer
CHUNK = 16  # range files in one frame


@dataclass
class Call:
    """One operator's change that waits for its round."""

    # Invariant: outcome is set before done is: the head's version, or the error that says why not
    items: list
    done: trio.Event = field(default_factory=trio.Event)
    outcome: object = None


def own_ranges(head):
    """The ranges of the operators' manifest."""
    return head["ranges"][: len(head["ranges"]) - head.get("items", 0)]


def item_ranges(head):
    """The chunks of items."""
    return head["ranges"][len(head["ranges"]) - head.get("items", 0) :]


class Items:
    """Invariants: held is what the ranges `names` decode to, and they are those of the newest head
    that was asked for; waiting are calls of the next round, and one round runs at a time; sent says that
    a member may have accepted a new head of this round, which may yet come into force."""

    handlers = Handlers()

    def __init__(self, daemon):
        self.daemon = daemon
        self.version, self.names, self.groups, self.held = 0, [], {}, {}
        self.waiting, self.busy = [], False
        self.sent = False

    # ------------------------------------------------------------ what holds

    async def at(self, head, deadline):
        """{(kind, name): item} at a head, drops included. Fetches only ranges that are not held."""
        names = item_ranges(head)
        if names == self.names:
            return self.held
        groups = {name: self.groups[name] for name in names if name in self.groups}
        bodies = await self.bring([name for name in names if name not in groups], deadline)
        groups |= {name: ormsgpack.unpackb(body)[1] for name, body in bodies.items()}
        held = {config_items.key_of(item): item for name in names for item in groups[name]}
        if head["version"] >= self.version:
            self.version, self.names, self.groups, self.held = head["version"], names, groups, held
        return held

    async def bring(self, names, deadline):
        """{name: body} of chunks, all of them. Raises NoQuorum."""
        bodies = await self.daemon.chunks.fetch(names, deadline)
        if len(bodies) < len(names):
            raise NoQuorum("chunks")
        return bodies

    async def read(self, deadline):
        """(version, standing items), from a quorum read. Raises NoQuorum."""
        contact = self.daemon.contact
        await contact.check(writing=False)
        return await contact.keep(
            lambda: self.read_now(deadline), lambda: NoQuorum("items"), writing=False
        )

    async def read_now(self, deadline):
        """As read, without the check of contact."""
        head = await self.daemon.read_head(deadline)
        return head["version"], config_items.standing(await self.at(head, deadline))

    # ------------------------------------------------------------ changes

    async def change(self, items):
        """The head's version, once a quorum holds the change.

        Raises config_items.Invalid, config_items.VersionConflict or NoQuorum: none of it holds, or
        OutcomeUnknown: it may hold."""
        errors = config_items.check(items)
        if errors:
            raise config_items.Invalid(errors)
        await self.daemon.contact.check()
        call = Call([config_items.clean(item) for item in items])
        self.waiting.append(call)
        if not self.busy:
            self.busy = True
            self.daemon.node.nursery.start_soon(self.run)
        with deadline_scope(monotonic_us() + self.daemon.answer_wait + PER_ITEM * len(items)):
            await call.done.wait()
        if call.outcome is None:
            if call in self.waiting:
                self.waiting.remove(call)
                raise NoQuorum("items")
            raise OutcomeUnknown("items")
        if isinstance(call.outcome, Exception):
            raise call.outcome
        return call.outcome

    async def run(self):
        """Rounds, one after the other, while calls wait."""
        try:
            while self.waiting:
                calls, self.waiting = self.waiting, []
                try:
                    outcomes = await self.round_in_contact(calls)
                except Exception as cause:  # whatever it is, it is these calls' alone
                    outcomes = [cause] * len(calls)
                for call, outcome in zip(calls, outcomes, strict=True):
                    call.outcome = outcome
                    call.done.set()
        finally:
            self.busy = False

    async def round_in_contact(self, calls):
        """As `round`; cut short once no quorum is in touch any more."""
        contact, self.sent = self.daemon.contact, False
        await contact.check()
        return await contact.keep(lambda: self.round(calls), self.lost)

    def lost(self):
        """The error of a round that ends without an answer of a quorum."""
        return OutcomeUnknown("items") if self.sent else NoQuorum("items")

    async def round(self, calls):
        """The outcome of each call, in order. Each is judged by itself, after those before it.

        Raises NoQuorum only if no new head was sent to any member, else OutcomeUnknown."""
        deadline = monotonic_us() + self.daemon.operate_wait
        while True:
            try:
                return await self.round_once(calls, deadline)
            except RevisionConflict:
                if monotonic_us() >= deadline:
                    raise self.lost() from None
            except NoQuorum:
                raise self.lost() from None
            await sleep_us(self.daemon.node.runtime.rng.randrange(1, 10) * MILLISECOND)

    async def round_once(self, calls, deadline):
        """One pass of a round. Raises RevisionConflict if another changed the head meanwhile."""
        head = await self.daemon.read_head(deadline)
        held = await self.at(head, deadline)
        merged, refused = held, {}
        for place, call in enumerate(calls):
            try:
                merged, _ = config_items.merge(merged, call.items)
            except (config_items.Invalid, config_items.VersionConflict) as cause:
                refused[place] = cause
        if merged is not held:
            head = await self.put(head, merged, deadline)
        elif len(refused) < len(calls):
            # what a read found may be on fewer disks than an acknowledgement needs
            await self.daemon.proposer.change(HEAD, lambda old: old, deadline)
        return [refused.get(place, head["version"]) for place in range(len(calls))]

    async def put(self, head, merged, deadline):
        """The head with these items, known to a majority. Raises RevisionConflict if it is another now."""
        daemon = self.daemon
        ranges = await daemon.node.runtime.offload(cut_items, merged)
        names = [name for name, _ in ranges]
        facts = {
            "base": head["version"],
            "ranges": [*own_ranges(head), *names],
            "items": len(names),
            "made": daemon.node.runtime.wall_us(),
            "by": daemon.proposer.name,
        }
        body = ormsgpack.packb(facts)
        plan = fingerprint(body)
        # the others are on a majority since the head that names them
        new = {name: body for name, body in ranges if name not in self.groups}
        daemon.chunks.remember(new)
        # what the new head no longer holds, as for a confirm
        records = {head["version"]: head["record"]} if head.get("record") else {}
        await self.spread({**new, plan: body}, records, deadline)
        await daemon.node.runtime.offload(
            lambda: daemon.audit_key
        )  # its libraries load at first use
        made = await self.send_head(daemon.plans.next_head(plan, facts), deadline)
        daemon.know(made)
        daemon.node.log(605, plan=plan, version=made["version"])
        daemon.node.nursery.start_soon(daemon.deliver, made)
        return made

    async def send_head(self, make, deadline):
        """Change the head, and note whether a member may have accepted it."""
        before, self.sent = self.sent, True
        try:
            return await self.daemon.proposer.change(HEAD, make, deadline)
        except NoQuorum:
            self.sent = before  # surely nothing was written by this one
            raise

    # ------------------------------------------------------------ files

    async def spread(self, bodies, records, deadline):
        """Range files and audit records to a majority, in one round; raises NoQuorum."""

        async def there(address):
            held = list(bodies.values())
            for start in range(0, len(held), CHUNK):
                last = start + CHUNK >= len(held)
                put = [held[start : start + CHUNK], records if last else {}]
                await self.daemon.node.rpc.call(address, "items.put", put, deadline)

        await self.daemon.on_majority(lambda: self.keep(bodies.values(), records), there, deadline)

    async def keep(self, bodies, records):
        """On the disk here, side by side. Raises the OSError of one that could not be written."""
        causes = []

        async def one(work, *args):
            try:
                await work(*args)
            except OSError as cause:
                causes.append(cause)

        async with trio.open_nursery() as nursery:
            for body in bodies:
                nursery.start_soon(one, self.daemon.store.put_blob, body)
            nursery.start_soon(one, self.daemon.store.trail.put, records)
        if causes:
            raise causes[0]

    @handlers.on("items.put")
    async def on_put(self, peer, args):
        """Keep chunks and audit records that another member sends."""
        bodies, records = [bytes(body) for body in args[0]], args[1]
        self.daemon.chunks.remember({fingerprint(body): body for body in bodies})
        with disk_failures_rejected():
            await self.keep(bodies, records)

    # ------------------------------------------------------------ the door

    async def make_change(self, request):
        """POST /items {"items": [...]}"""
        try:
            facts = json.loads(await request.body(SIZE_MAX))
            items = facts["items"]
        except (ValueError, KeyError, TypeError, RecursionError):
            return Response(400, {"code": "malformed", "detail": 'wanted: {"items": [...]}'})
        try:
            version = await self.change(items)
        except config_items.Invalid as invalid:
            return Response(422, {"code": "invalid", "errors": invalid.errors})
        except config_items.VersionConflict as conflict:
            return Response(409, version_conflict(conflict))
        return Response(200, {"state": "accepted", "version": version})

    async def make_read(self, request):
        """GET /items"""
        version, items = await self.read(monotonic_us() + self.daemon.read_wait)
        return Response(200, {"version": version, "items": items})


def version_conflict(conflict):
    """The body of the answer to a call that gives known versions another content."""
    return {
        "code": "version_conflict",
        "detail": "another content stands under these numbers; nothing of the call holds",
        "items": [item._asdict() for item in conflict.conflicts],
    }
