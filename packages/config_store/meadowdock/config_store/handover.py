"""Graceful shutdown of a voter.

Its vote is handed over to a spare if there is one. In any case, state that may be on its disk alone
is written to the other voters.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import trio

from meadowdock.config_store.revision import Revision
from meadowdock.config_store.store import CURRENT_REVISION_KEY
from meadowdock.consensus import KeyStateLost, NoQuorum, OutcomeUnknown, VoterSets
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

CHECK_INTERVAL_US = 20 * MILLISECOND
SECURE_TIMEOUT_US = SECOND  # for writing state of this disk to the others
MAX_CONCURRENT_KEYS = 16

IsDurable = Callable[[VoterSets, Iterable[str]], bool]


class Handover:
    """The steps of a voter's graceful shutdown.

    Invariant: once retired, this member accepts no write, so all that it ever accepted is covered
    by secure_state.
    """

    def __init__(self, server: ConfigStore) -> None:
        self.server = server
        self.retired = False

    def replaceable(self) -> bool:
        """Whether the membership is changing, or the policy would replace this voter."""
        server = self.server
        membership = server.store.membership
        if membership is not None and membership.is_joint:
            return True
        target = server.target_voters()
        return target is not None and server.node.settings.rpc_address not in target

    async def leave_membership(self, deadline: int) -> None:
        """Wait until another voter has replaced this one, as long as that is possible.

        The other members learn from member.hello that this process is leaving, and change the
        membership.
        """
        store = self.server.store
        while store.is_voter and self.replaceable() and monotonic_us() < deadline:
            await sleep_us(CHECK_INTERVAL_US)

    async def secure_state(self, deadline: int) -> None:
        """Make sure that a durable quorum without this member holds what this disk has accepted.

        It gives up at the deadline, or at once if too few others answer.
        """
        store = self.server.store
        if not store.is_voter:
            return
        others = store.voter_sets.without(store.disk_id)
        answering = {answer.disk for answer in self.server.reachable().values()}
        if not others.is_durable(answering):
            return  # without this member no write is possible anyway
        self.retired = True

        def is_durable(voter_sets: VoterSets, members: Iterable[str]) -> bool:
            return voter_sets.without(store.disk_id).is_durable(members)

        with deadline_scope(min(deadline, monotonic_us() + SECURE_TIMEOUT_US)):
            try:
                await self.secure_keys(
                    is_durable, min(deadline, monotonic_us() + SECURE_TIMEOUT_US)
                )
                await self.secure_chunks(
                    is_durable, min(deadline, monotonic_us() + SECURE_TIMEOUT_US)
                )
            except (NoQuorum, OutcomeUnknown):
                pass  # the process stops anyway, since the platform would soon kill it

    async def secure_keys(self, is_durable: IsDurable, deadline: int) -> None:
        """Write the latest accepted pair of each key to a durable quorum without this member."""
        acceptor, limit = self.server.store.acceptor, trio.CapacityLimiter(MAX_CONCURRENT_KEYS)

        async def secure(key: str) -> None:
            async with limit:
                try:
                    ballot, _ = acceptor.read(key)
                    await self.server.proposer.ensure_accepted(key, ballot, is_durable, deadline)
                except (KeyStateLost, NoQuorum, OutcomeUnknown):
                    pass  # the other keys can still be written

        async with trio.open_nursery() as nursery:
            for key in sorted(acceptor.keys.values()):
                nursery.start_soon(secure, key)

    async def secure_chunks(self, is_durable: IsDurable, deadline: int) -> None:
        """Write the chunks of the current revision to a durable quorum without this member."""
        record = self.server.store.acceptor.read(CURRENT_REVISION_KEY)[1]
        if record is None:
            return
        bodies = await self.server.chunks.fetch(sorted(set(Revision.from_record(record).chunks)))

        def is_enough(members: Iterable[str]) -> bool:
            return is_durable(self.server.store.voter_sets, members)

        await self.server.broadcast.replicate_chunks(bodies, deadline, is_enough)
