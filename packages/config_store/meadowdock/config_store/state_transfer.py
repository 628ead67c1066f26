"""State transfer during a change of the membership.

It determines what the voters of a new membership configuration must have before they vote alone.
"""

from __future__ import annotations

from dataclasses import replace

import trio

from meadowdock.consensus import NoQuorum, OutcomeUnknown, VoterSets

MAX_CONCURRENT_KEYS = 16


class StateTransfer:
    """A base class of the server: transfers keys, and has the server transfer the files."""

    def transferred_to(self, side, membership, required=()):
        """Return a predicate on members: whether a transfer is complete if they have the state.

        It requires the required members and a quorum of both sides, and a durable quorum of the
        side that will vote alone if its members allow one.

        :param side: {disk id: address} of the members that will vote alone
        """
        joint = membership.voter_sets()
        side_alone = replace(membership, voters=side, next_voters=None)
        side_sets = side_alone.voter_sets(self.tolerance)
        required = set(required)

        def is_enough(members):
            complete = set(members)
            return (
                joint.is_quorum(complete)
                and required <= complete
                and (side_sets.is_durable(complete) or not side_sets.can_be_durable())
            )

        return is_enough

    def transferred(self, membership):
        """Return the predicate for completing the change in progress.

        It requires that all newcomers have the state, in addition to what transferred_to requires.
        """
        side = membership.next_voters or membership.voters
        return self.transferred_to(side, membership, membership.newcomers)

    async def transfer_state(self, deadline):
        """Transfer all state to the new voters.

        If another configuration becomes known in the meantime, the caller does not complete this
        change.
        """
        membership = self.store.membership
        await self.transfer_listed_keys(membership, self.transferred(membership), deadline)
        await self.transfer_files(deadline)

    async def transfer_back(self, membership, deadline):
        """Transfer to the old voters what was accepted during the change.

        Some of it may have been accepted by newcomers alone.
        """
        is_enough = self.transferred_to(membership.voters, membership)
        await self.transfer_listed_keys(membership, is_enough, deadline)
        await self.transfer_files(deadline, is_enough)

    async def transfer_listed_keys(self, membership, is_enough, deadline):
        """Transfer all keys that the old voters list, to both sides."""

        def listed(answers):
            return VoterSets.from_sets([membership.voters]).is_quorum(answers)

        answers = await self.broadcast_to(
            membership.voters, "member.keys", membership.to_record(), deadline, listed
        )
        if not listed(answers):
            raise NoQuorum("the keys of the old voters")
        keys = sorted({key for answer in answers.values() for key in answer["keys"]})
        await self.transfer_keys(keys, deadline, lambda _, members: is_enough(members))

    async def transfer_keys(self, keys, deadline, is_enough):
        """Rewrite the value of each key, until enough members have accepted it.

        :param is_enough: a predicate on (voter sets, members that accepted the value)
        :raises NoQuorum: not all of them could be written by the deadline.
        """
        failures, limit = [], trio.CapacityLimiter(MAX_CONCURRENT_KEYS)

        async def rewrite(key):
            async with limit:
                try:
                    if not failures:
                        await self.proposer.change(key, lambda old: old, deadline, is_enough)
                except (NoQuorum, OutcomeUnknown) as cause:
                    failures.append(cause)

        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(rewrite, key)
        if failures:
            raise NoQuorum(str(failures[0]))
