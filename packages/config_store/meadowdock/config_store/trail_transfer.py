"""The audit trail between members: compared by digest, pulled in bounded pieces.

A member that lacks records asks for them, segment by segment. Each piece is durable here before the
next is asked for, so a transfer that broke off goes on where it was.
"""

from __future__ import annotations

import trio

from meadowdock import audit
from meadowdock.config_store.store import disk_failures_rejected
from meadowdock.config_store.trail import SEGMENT, TrailState, by_segment
from meadowdock.consensus import NoQuorum, holds_majorities
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

PACE = SECOND
ASK_WAIT = SECOND
HEDGE = 200 * MILLISECOND  # a member that has not answered by then is not waited for alone
CATCH_UP_WAIT = 20 * SECOND  # of one turn; what is left comes with the next
NEWCOMER_WAIT = 2 * SECOND  # at a change of members, beyond the quorum
AGAIN = 200 * MILLISECOND


class TrailTransfer:
    """Invariants: one catch-up runs at a time, so nothing is pulled twice; nothing is sent that was
    not asked for, and no message holds more than SEGMENT records."""

    handlers = Handlers()

    def __init__(self, node, store, others, mended):
        self.node, self.store, self.others, self.mended = node, store, others, mended
        self.turn = 0
        self.pulling = trio.Lock()

    @property
    def trail(self):
        """The trail on this disk."""
        return self.store.trail

    async def run(self):
        """Seal what is complete and catch up, at a steady pace."""
        while True:
            try:
                await self.trail.seal()
                if self.store.voter:
                    await self.compare()
            except OSError:
                pass  # the disk can't be written: again with the next turn
            await sleep_us(PACE)

    # ------------------------------------------------------------ comparing

    async def compare(self):
        """With the next member: by one digest, and only if that differs by those of the segments."""
        others = sorted(self.others().values())
        if not others:
            return
        self.turn += 1
        address = others[self.turn % len(others)]
        try:
            digest = await self.ask(address, "trail.digest", None)
            if digest != self.trail.state().digest():
                since = self.trail.complete_before()
                state = TrailState(**await self.ask(address, "trail.state", since))
                await self.catch_up(state, monotonic_us() + CATCH_UP_WAIT)
        except (ConnectionFailed, Rejected):
            pass

    async def ask(self, address, method, args):
        """Call one member."""
        return await self.node.rpc.call(address, method, args, monotonic_us() + ASK_WAIT)

    @handlers.on("trail.digest")
    async def on_digest(self, peer, _):
        """The digest of all that is held here."""
        return self.trail.state().digest()

    @handlers.on("trail.state")
    async def on_state(self, peer, since):
        """What is held here, segments from the given one on."""
        return self.trail.state(since).as_dict()

    @handlers.on("trail.read")
    async def on_read(self, peer, versions):
        """Records of these versions, at most one segment."""
        return await self.trail.read(versions[:SEGMENT])

    # ------------------------------------------------------------ pulling

    async def catch_up(self, state, deadline):
        """Pull what is lacking of a state, piece by piece; the number of records still lacking at
        the deadline. Raises OSError if the disk can't be written."""
        with deadline_scope(deadline):
            async with self.pulling:
                await self.trail.begin_at(state)
                for versions in by_segment(self.trail.lacking(state)):
                    records = await self.pull(versions, deadline)
                    await self.trail.put_batch(records)
                    if records:
                        self.mended("audit", first=min(records), records=len(records))
        return len(self.trail.lacking(state))

    async def pull(self, versions, deadline):
        """{version: record} of up to one segment. One member after the other is asked, the next once
        those before failed, or answered nothing for HEDGE."""
        deadline = min(deadline, monotonic_us() + ASK_WAIT)
        found, left = {}, set()

        async def one(address, ended):
            try:
                answer = await self.node.rpc.call(address, "trail.read", versions, deadline)
                found.update((v, r) for v, r in answer.items() if is_record(v, r))
            except (ConnectionFailed, Rejected):
                pass
            left.discard(ended)
            ended.set()

        addresses = sorted(self.others().values())
        start = self.turn % max(1, len(addresses))
        async with trio.open_nursery() as nursery:
            for address in addresses[start:] + addresses[:start]:
                ended = trio.Event()
                left.add(ended)
                nursery.start_soon(one, address, ended)
                with deadline_scope(min(deadline, monotonic_us() + HEDGE)):
                    await ended.wait()
                if len(found) == len(versions):
                    break
            with deadline_scope(deadline):
                while left and len(found) < len(versions):
                    await next(iter(left)).wait()
            nursery.cancel_scope.cancel()
        return {version: found[version] for version in versions if version in found}

    async def record(self, version, deadline):
        """The record of a version before the head's, from here or from any member; None if the chain
        kept here begins later. Raises NoQuorum if nobody who has it answers."""
        if version < self.trail.first:
            return None
        found = await self.trail.read([version]) or await self.pull([version], deadline)
        if version not in found:
            raise NoQuorum("audit record")
        return found[version]

    async def records(self, end, deadline):
        """(the trail's state, {version: record} up to, without, end), from here and the others."""
        told = await self.states(deadline)
        for state in told.values():
            await self.trail.begin_at(state)
        found = await self.trail.read(range(self.trail.first, end))
        missing = [v for v in range(self.trail.first, end) if v not in found]
        for versions in by_segment(missing):
            if monotonic_us() < deadline:
                found |= await self.pull(versions, deadline)
        return self.trail.state(), dict(sorted(found.items()))

    # ------------------------------------------------------------ a change of members

    async def states(self, deadline):
        """{disk id: TrailState} of the other members that answer."""
        asks = {d: (a, "trail.state", 0) for d, a in self.others().items()}
        told = await self.node.rpc.successful_responses(
            asks, min(deadline, monotonic_us() + ASK_WAIT)
        )
        return {disk: TrailState(**facts) for disk, facts in told.items()}

    async def carry(self, on_majority, deadline):
        """A quorum of all members holds what a majority of the voters so far hold: each record before
        the head's is on such a majority. Members pull; nothing is pushed. Who comes in is waited for,
        but not for ever: it may be gone for good. Raises NoQuorum."""
        state = self.trail.state()
        told = await self.states(deadline)
        voters = [list(self.store.membership.voters)]
        if not holds_majorities(voters, {self.store.disk, *told}):
            raise NoQuorum("audit trail")
        for other in told.values():
            state = state.united(other)
        asked = state.as_dict()
        newcomers = self.newcomers()

        async def here():
            while await self.catch_up(state, deadline):
                await sleep_us(AGAIN)

        async def there(address):
            try:
                while await self.node.rpc.call(address, "trail.catch_up", asked, deadline):
                    await sleep_us(AGAIN)
            finally:
                if address in newcomers:
                    newcomers[address].set()

        await on_majority(here, there, deadline)
        with deadline_scope(min(deadline - SECOND, monotonic_us() + NEWCOMER_WAIT)):
            for ended in newcomers.values():
                await ended.wait()

    def newcomers(self):
        """{address: trio.Event} of the other disks that come in with the change under way."""
        newcomers = self.store.membership.newcomers
        disks = set(newcomers) - {self.store.disk}
        return {newcomers[disk]: trio.Event() for disk in disks}

    @handlers.on("trail.catch_up")
    async def on_catch_up(self, peer, state):
        """How many records of that state are still lacking here, after some seconds of pulling."""
        with disk_failures_rejected():
            return await self.catch_up(TrailState(**state), monotonic_us() + ASK_WAIT)


def is_record(version, record):
    """Whether a text is the record of that version."""
    facts = audit.read_payload(record)
    return facts is not None and facts["version"] == version
