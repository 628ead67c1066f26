"""State transfer: all that a new configuration must hold before it stands alone."""

from __future__ import annotations

import trio

from meadowdock.config_store.membership_record import newcomers_of, voter_sets_of
from meadowdock.consensus import NoQuorum, OutcomeUnknown, VoterSets

KEYS_AT_ONCE = 16  # keys


class Transfer:
    """Of Part."""

    def transferred_to(self, side, record, required=()):
        """enough(members): is a transfer to one side ({disk id: address}) of the record complete?
        Those required and a quorum of both sides hold it, and a durable quorum of that side if its
        members allow one."""
        joint = voter_sets_of(record)
        new = voter_sets_of(record | {"voters": side, "next": None}, self.tolerance)
        required = set(required)

        def enough(members):
            held = set(members)
            return (
                joint.is_quorum(held)
                and required <= held
                and (new.is_durable(held) or not new.can_be_durable())
            )

        return enough

    def transferred(self, record):
        """As transferred_to, for the end of the change under way: all newcomers hold it too."""
        return self.transferred_to(record["next"] or record["voters"], record, newcomers_of(record))

    async def transfer_state(self, deadline):
        """To the new side. If another record is known meanwhile, this one isn't ended."""
        record = self.store.record
        await self.transfer_listed_keys(record, self.transferred(record), deadline)
        await self.transfer_files(deadline)

    async def transfer_back(self, record, deadline):
        """To the former side: what was accepted meanwhile may stand on newcomers' disks."""
        enough = self.transferred_to(record["voters"], record)
        await self.transfer_listed_keys(record, enough, deadline)
        await self.transfer_files(deadline, enough)

    async def transfer_listed_keys(self, record, enough, deadline):
        """All keys that the former voters list, to both sides."""

        def listed(answers):
            return VoterSets.of([record["voters"]]).is_quorum(answers)

        answers = await self.broadcast_to(record["voters"], "member.keys", record, deadline, listed)
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
