"""A voter that stops hands over first: its vote to a spare, if there is one, and in any case what
only its disk may hold to the other voters."""

from __future__ import annotations

import trio

from meadowdock.config_store.store import HEAD
from meadowdock.consensus import KeyStateLost, NoQuorum, OutcomeUnknown
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

LOOK_EVERY = 20 * MILLISECOND
SECURE_US = SECOND  # at most, for what only this disk may hold
AT_ONCE = 16  # keys


class Handover:
    """Of Part. Invariant: once retired, this member accepts no write, so what secure_state found
    on the others' disks is all that this one has acknowledged."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.retired = False

    def replaceable(self):
        """Is a change of members under way, or would the policy put a spare in this one's place?"""
        daemon = self.daemon
        if daemon.store.membership.is_joint:
            return True
        target = daemon.target()
        return target is not None and daemon.node.settings.link not in target

    async def leave_membership(self, deadline):
        """Wait for a spare to take this voter's place, as long as one can. The others know by
        member.hello that this process is leaving, and change the members."""
        store = self.daemon.store
        while store.voter and self.replaceable() and monotonic_us() < deadline:
            await sleep_us(LOOK_EVERY)

    async def secure_state(self, deadline):
        """Make sure that what this disk accepted is on a durable quorum without it. Gives up at
        the deadline, or at once if too few others answer."""
        store = self.daemon.store
        if not store.voter:
            return
        others = store.voter_sets.without(store.disk)
        answering = {heard.disk for heard in self.daemon.reachable().values()}
        if not others.is_durable(answering):
            return  # without this member there are no writes anyway
        self.retired = True

        def enough(voter_sets, members):
            return voter_sets.without(store.disk).is_durable(members)

        with deadline_scope(min(deadline, monotonic_us() + SECURE_US)):
            try:
                await self.secure_keys(enough, min(deadline, monotonic_us() + SECURE_US))
                await self.secure_files(enough, min(deadline, monotonic_us() + SECURE_US))
            except (NoQuorum, OutcomeUnknown):
                pass  # it goes all the same: the platform would end it soon

    async def secure_keys(self, enough, deadline):
        """Each key's newest accepted pair on a durable quorum without this member."""
        acceptor, limit = self.daemon.store.acceptor, trio.CapacityLimiter(AT_ONCE)

        async def secure(key):
            async with limit:
                try:
                    ballot, _ = acceptor.read(key)
                    await self.daemon.proposer.ensure_accepted(key, ballot, enough, deadline)
                except (KeyStateLost, NoQuorum, OutcomeUnknown):
                    pass  # the other keys can still be secured

        async with trio.open_nursery() as nursery:
            for key in sorted(acceptor.keys.values()):
                nursery.start_soon(secure, key)

    async def secure_files(self, enough, deadline):
        """The chunks of the head on a durable quorum without this member."""
        head = self.daemon.store.acceptor.read(HEAD)[1]
        if head is None:
            return
        bodies = await self.daemon.fetch(sorted(set(head["ranges"])))

        def held(members):
            return enough(self.daemon.store.voter_sets, members)

        await self.daemon.spread(bodies, deadline, held)
