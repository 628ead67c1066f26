"""State transfer: all that a new configuration must hold before it stands alone."""

from __future__ import annotations

from dataclasses import replace

import trio

from meadowdock.consensus import NoQuorum, OutcomeUnknown, VoterSets

KEYS_AT_ONCE = 16  # keys


class Transfer:
    """Of Part."""

    def transferred_to(self, side, membership, required=()):
        """enough(members): is a transfer to one side ({disk id: address}) of the record complete?
        Those required and a quorum of both sides hold it, and a durable quorum of that side if its
        members allow one."""
        joint = membership.voter_sets()
        side_alone = replace(membership, voters=side, next_voters=None)
        new = side_alone.voter_sets(self.tolerance)
        required = set(required)

        def enough(members):
            held = set(members)
            return (
                joint.is_quorum(held)
                and required <= held
                and (new.is_durable(held) or not new.can_be_durable())
            )

        return enough

    def transferred(self, membership):
        """As transferred_to, for the end of the change under way: all newcomers hold it too."""
        side = membership.next_voters or membership.voters
        return self.transferred_to(side, membership, membership.newcomers)

    async def transfer_state(self, deadline):
        """To the new side. If another record is known meanwhile, this one isn't ended."""
        membership = self.store.membership
        await self.transfer_listed_keys(membership, self.transferred(membership), deadline)
        await self.transfer_files(deadline)

    async def transfer_back(self, membership, deadline):
        """To the former side: what was accepted meanwhile may stand on newcomers' disks."""
        enough = self.transferred_to(membership.voters, membership)
        await self.transfer_listed_keys(membership, enough, deadline)
        await self.transfer_files(deadline, enough)

    async def transfer_listed_keys(self, membership, enough, deadline):
        """All keys that the former voters list, to both sides."""

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
        """Each key's value written anew, until enough(voter sets, members that accepted it)."""
        broken, limit = [], trio.CapacityLimiter(KEYS_AT_ONCE)

        async def one(key):
            async with limit:
                try:
                    if not broken:
                        await self.proposer.change(key, lambda old: old, deadline, enough)
                except (NoQuorum, OutcomeUnknown) as cause:
                    broken.append(cause)

        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(one, key)
        if broken:
            raise NoQuorum(str(broken[0]))
