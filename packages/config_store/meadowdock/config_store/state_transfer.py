"""State transfer: what the voters of a new membership configuration must have before they vote alone."""

from __future__ import annotations

from dataclasses import replace

import trio

from meadowdock.consensus import NoQuorum, OutcomeUnknown, VoterSets

MAX_CONCURRENT_KEYS = 16


class StateTransfer:
    """A base class of the server: transfers keys, and has the server transfer the files."""

    def transferred_to(self, side, membership, required=()):
        """A function of members: is a transfer to one side ({disk id: address}) complete once they
        have it? Those required and a quorum of both sides must, and a durable quorum of that side if
        its members allow one."""
        joint = membership.voter_sets()
        side_alone = replace(membership, voters=side, next_voters=None)
        new = side_alone.voter_sets(self.tolerance)
        required = set(required)

        def enough(members):
            complete = set(members)
            return (
                joint.is_quorum(complete)
                and required <= complete
                and (new.is_durable(complete) or not new.can_be_durable())
            )

        return enough

    def transferred(self, membership):
        """As transferred_to, for the end of the change under way: all newcomers must have it too."""
        side = membership.next_voters or membership.voters
        return self.transferred_to(side, membership, membership.newcomers)

    async def transfer_state(self, deadline):
        """Transfer to the new voters. If another configuration becomes known meanwhile, this change is
        not ended."""
        membership = self.store.membership
        await self.transfer_listed_keys(membership, self.transferred(membership), deadline)
        await self.transfer_files(deadline)

    async def transfer_back(self, membership, deadline):
        """Transfer to the former voters what was accepted meanwhile, perhaps by newcomers alone."""
        enough = self.transferred_to(membership.voters, membership)
        await self.transfer_listed_keys(membership, enough, deadline)
        await self.transfer_files(deadline, enough)

    async def transfer_listed_keys(self, membership, enough, deadline):
        """Transfer all keys that the former voters list, to both sides."""

        def listed(answers):
            return VoterSets.of([membership.voters]).is_quorum(answers)

        answers = await self.broadcast_to(
            membership.voters, "member.keys", membership.to_record(), deadline, listed
        )
        if not listed(answers):
            raise NoQuorum("keys")
        keys = sorted({k for t in answers.values() for k in t["keys"]})
        await self.transfer_keys(keys, deadline, lambda _, members: enough(members))

    async def transfer_keys(self, keys, deadline, enough):
        """Write each key's value again, until enough(voter sets, members that accepted it).

        :raises NoQuorum: not all of them could be written by the deadline.
        """
        failures, limit = [], trio.CapacityLimiter(MAX_CONCURRENT_KEYS)

        async def write_again(key):
            async with limit:
                try:
                    if not failures:
                        await self.proposer.change(key, lambda old: old, deadline, enough)
                except (NoQuorum, OutcomeUnknown) as cause:
                    failures.append(cause)

        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(write_again, key)
        if failures:
            raise NoQuorum(str(failures[0]))
