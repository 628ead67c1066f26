"""The manifest at a proxy: what is wanted is the head; the loop works out what is missing."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from meadowdock.configuration import RoutingTable
from meadowdock.proxy.staging import Stager
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us, sleep_us

# Parts of apply_us, within which an acknowledged change is in force. Together, with the member that
# acknowledged gone and one more silent, they are less than half of it.
CONFIRM_PART = 5  # how often the core is asked for the head
RETRY_PART = 10  # and again, where the core did not answer or a staging failed
ASK_PART = 5  # for an answer
ASK_LAST_PART = 20  # for that of the member that answered last, before others are asked
SWITCH_ALONE_PART = 10  # after staging, without word to switch
FREEZE = (
    250 * MILLISECOND
)  # pulses further apart: the process stood still, others may have switched
FIRST_CONFIRM_WAIT = 600 * MILLISECOND


@dataclass(frozen=True)
class Staged:
    routing_table: RoutingTable
    head: dict
    since: int  # when a version newer than the one in force was first staged


class Delivery:
    """Invariants: the version in force never goes down; staged, if any, is newer than it;
    doubtful means that this process stood still and has not confirmed its version since."""

    handlers = Handlers()

    def __init__(self, node, activate):
        self.node, self.activate = node, activate
        self.active = None  # Staged
        self.staged = None
        self.stager = Stager(node, self.former, self.on_staged)
        self.pulse_at = monotonic_us()
        self.cut_off = self.late = False
        self.told = 0  # the highest version that is said to be in force elsewhere
        self.last_source = None
        self.doubtful = None  # an event while in doubt
        self.news = trio.Event()
        self.failed = False  # the core did not answer last, or the last staging lacked chunks

    @property
    def version(self):
        return self.active.routing_table.version if self.active else 0

    @property
    def newest(self):
        return self.staged.routing_table.version if self.staged else self.version

    # ------------------------------------------------------------ for calls

    async def current(self):
        """Before a call: after a freeze the version is confirmed first, if the core answers."""
        self.look_at_pulse()
        if self.doubtful is not None:
            with deadline_scope(monotonic_us() + FIRST_CONFIRM_WAIT):
                await self.doubtful.wait()

    def look_at_pulse(self):
        if monotonic_us() - self.pulse_at > FREEZE and self.active and self.doubtful is None:
            self.doubtful = trio.Event()
            self.wake()
        self.pulse_at = monotonic_us()

    def wake(self):
        self.news.set()

    def heard(self, version, in_force):
        """News of a version; what is in force elsewhere, and staged here, is in force here too."""
        if in_force:
            self.switch_told(version)
        if version > self.newest:
            self.wake()

    # ------------------------------------------------------------ loops

    async def run(self):
        while True:
            self.news = trio.Event()
            await self.confirm()
            with deadline_scope(self.next_confirm()):
                await self.news.wait()
                await sleep_us(20 * MILLISECOND)

    def next_confirm(self):
        if self.failed:
            return monotonic_us() + self.part_of_apply(RETRY_PART)
        return self.node.view.schedule.next_wakeup(self.part_of_apply(CONFIRM_PART))

    def part_of_apply(self, part):
        return self.node.settings.apply_us // part

    async def confirm(self):
        """Ask the core for the head; fetch and stage what is newer. A doubt that arose after the
        asking is not settled by its answer, which may have lain in a buffer all the while."""
        doubt = self.doubtful
        # others have switched while this process was away: it does so at once
        self.late = self.cut_off or doubt is not None
        head, source = await self.ask_core()
        reached = head is not None
        self.failed = not reached
        if not reached:
            head, source = await self.ask_peers()
        whole = True
        if head is not None and head["version"] > self.newest:
            whole = await self.stage_for_now(head, source)
            if whole is None:
                return  # still under way: nothing can be said yet
        # a fresh start serves only what the core confirmed: this machine may have served a newer
        # one than its neighbours have
        if self.staged is not None and (reached and whole if self.active is None else self.late):
            self.switch(self.staged.routing_table.version)
        self.late = False
        # cut off until the core's version is in force here, or staged in its ordinary turn
        away = not (reached and whole)
        if away and not self.cut_off:
            self.node.log(503, version=self.version)
        elif not away and (self.cut_off or doubt is not None):
            self.node.log(504, version=self.version)
        self.cut_off = away
        if doubt is not None:
            doubt.set()
            self.doubtful = None

    async def ask_core(self):
        """The member that answered last; if it doesn't, three others at once."""
        members = self.node.view.core_members("mdconf")
        if self.last_source in members:
            told = await self.ask([self.last_source], self.part_of_apply(ASK_LAST_PART))
            if told is not None:
                return told
        self.node.runtime.rng.shuffle(members)
        return await self.ask(members[:3], self.part_of_apply(ASK_PART)) or (None, None)

    async def ask(self, addresses, wait):
        """(head, address) of the first that answers, or None."""
        found = []

        async def one(address):
            told = await self.ask_one(address, wait)
            found.extend(told)
            if told:
                nursery.cancel_scope.cancel()

        if len(addresses) == 1:  # the ordinary case: no tasks of its own
            found = await self.ask_one(addresses[0], wait)
        else:
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    nursery.start_soon(one, address)
        if not found:
            return None
        self.last_source = found[0][1]
        return found[0]

    async def ask_one(self, address, wait):
        """[(head, address)], or nothing."""
        try:
            due = monotonic_us() + wait
            return [(await self.node.rpc.call(address, "manifest.head", self.newest, due), address)]
        except (ConnectionFailed, Rejected):
            return []

    async def ask_peers(self):
        """Cut off from the core: a neighbour's version is better than an older one."""
        peers = [
            (seen.entry.version, address)
            for address, seen in self.node.view.entries.items()
            if seen.entry.role == "mdproxy" and seen.entry.version > self.newest
        ]
        newest = [address for _, address in sorted(peers, reverse=True)[:2]]
        return await self.ask(newest, self.part_of_apply(ASK_PART)) or (None, None)

    async def stage(self, head, source):
        if head["version"] <= self.newest:
            return True
        in_use = [held.head for held in (self.active, self.staged) if held]
        self.stager.keep([head, *in_use])
        complete = await self.stager.stage(head, source)
        self.failed = not complete
        return complete

    async def stage_for_now(self, head, source):
        """As stage, or None if that takes long: a newer head may be there by then."""
        with deadline_scope(monotonic_us() + self.part_of_apply(CONFIRM_PART)):
            return await self.stage(head, source)
        return None

    def former(self):
        """What the next table is made from."""
        former = self.staged or self.active
        return former and (former.routing_table, former.head)

    def on_staged(self, routing_table, head, fetched):
        if routing_table.version <= self.newest:
            return
        fresh = self.staged is None
        since = monotonic_us() if fresh else self.staged.since
        self.staged = Staged(routing_table, head, since)
        self.node.log(501, version=routing_table.version, fetched=fetched)
        if self.active is not None and (self.late or routing_table.version <= self.told):
            self.switch(routing_table.version)
        elif fresh and self.active is not None:
            self.node.nursery.start_soon(self.switch_alone, since)

    async def switch_alone(self, since):
        """Without word to switch: whatever is staged by then. Changes that follow one another
        quickly don't put it off."""
        await sleep_us(self.part_of_apply(SWITCH_ALONE_PART))
        if self.staged is not None and self.staged.since == since:
            self.switch(self.staged.routing_table.version)

    def switch_told(self, version):
        """It is in force elsewhere; here too, now or as soon as it is staged. Not at a fresh start:
        that waits for the core's own word."""
        self.told = max(self.told, version)
        if self.active is not None:
            self.switch(version)

    def switch(self, version):
        staged = self.staged
        if (
            staged is None
            or staged.routing_table.version > version
            or staged.routing_table.version <= self.version
        ):
            return
        self.active, self.staged = staged, None
        self.stager.keep([staged.head])
        self.activate(staged.routing_table)
        self.node.view.advance_heartbeat(version=staged.routing_table.version)
        self.node.log(502, version=staged.routing_table.version)

    # ------------------------------------------------------------ answers

    @handlers.on("manifest.stage")
    async def on_stage(self, peer, head):
        staged = await self.stage(head, peer.address)
        if not staged:
            self.wake()
        return {"staged": staged}

    @handlers.on("manifest.switch")
    async def on_switch(self, peer, version):
        self.switch_told(version)
        return {"version": self.version}

    @handlers.on("manifest.head")
    async def on_head(self, peer, known):
        if self.active is None:
            raise Rejected("no_manifest")
        head = self.active.head
        return head if head["version"] > known else {"version": head["version"]}

    @handlers.on("chunk.get")
    async def on_chunk(self, peer, request):
        return await self.stager.answer(request)
