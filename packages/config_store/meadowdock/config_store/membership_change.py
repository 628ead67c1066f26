"""A change of members: old and new together, the state transfer, then the new alone."""

from __future__ import annotations

import trio

from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import disk_failures_rejected
from meadowdock.consensus import OutcomeUnknown, VoterSets
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import deadline_scope, monotonic_us

MEMBERS = "members"


class MembershipChange:
    """Of Part. Invariant: a record is proposed only under the record it follows, and ended only
    after all keys were transferred under that same version."""

    handlers = Handlers()

    async def change_members(self, addresses, deadline):
        """Make the disks at these addresses the voters. Old and new together first (every quorum
        is then a majority of both), all keys and range files transferred, then the new alone.
        Begun and not ended, it is ended by the same call again."""
        self.changing += 1
        try:
            disks = await self.disks_at(addresses, deadline)
            places = self.places_by_address(self.reachable())
            places = {d: places[a] for d, a in disks.items() if a in places}
            membership = await self.step_members(
                lambda current: current.change_begun(disks, places), deadline
            )
            if not membership.is_joint:
                return membership
            if membership.next_voters != disks:
                raise MembershipConflict("another_change", next=membership.next_voters)
            return await self.end_known(membership, deadline)
        finally:
            self.changing -= 1

    async def end_change(self, deadline):
        """End the change that is under way, whoever began it, with the disks it was begun for."""
        self.changing += 1
        try:
            membership = await self.step_members(lambda current: current, deadline)
            return await self.end_known(membership, deadline) if membership.is_joint else membership
        finally:
            self.changing -= 1

    async def end_known(self, membership, deadline):
        """membership is known to a majority of both sides. What another ended meanwhile, and began
        anew, is not ended here: its keys aren't transferred yet. The newcomers must hold
        everything first; if one of them is gone, or can't, the change is taken back."""
        if self.hopeless(membership):
            return await self.revert_change(membership, deadline)
        await self.transfer_state(deadline)

        def end(current):
            same = current.version == membership.version
            return current.change_ended() if same else current

        ended = await self.step_members(end, deadline)
        if ended.version > membership.version + 1:
            raise MembershipConflict("another_change", next=ended.next_voters)
        return ended

    def hopeless(self, membership):
        """Is a newcomer gone, or the transfer to it under way for longer than two attempts?"""
        newcomers = membership.newcomers
        if not newcomers:
            return False
        version, since = self.joint
        if version == membership.version and monotonic_us() - since > 2 * self.timing.change_us:
            return True
        there = self.reachable()
        return any(
            self.silence(a) > self.timing.failed_after_us
            if a not in there
            else there[a].disk != disk or not there[a].well
            for disk, a in newcomers.items()
            if a != self.node.settings.link
        )

    async def revert_change(self, membership, deadline):
        """The former voters alone again: all that was accepted meanwhile is on a majority of
        them too."""
        await self.transfer_back(membership, deadline)

        def revert(current):
            same = current.version == membership.version
            return current.change_reverted() if same else current

        await self.step_members(revert, deadline)
        raise MembershipConflict("newcomer_gone", absent=sorted(membership.newcomers.values()))

    async def disks_at(self, addresses, deadline):
        """{disk id: address}; MembershipConflict if one that is no voter doesn't answer."""
        me, voters = self.node.settings.link, self.store.membership.voters
        silent = {
            a for a in voters.values() if self.silence(a) > self.timing.failed_after_us
        }  # not waited for
        asked = [a for a in addresses if a != me and a not in silent]
        hello = await self.node.rpc.successful_responses(
            {a: (a, "member.hello", {"link": me}) for a in asked},
            min(deadline, monotonic_us() + self.timing.hello_timeout_us),
        )
        for address, told in hello.items():
            self.note_hello(address, told)
        disks = {t["disk"]: a for a, t in hello.items()}
        if me in addresses:
            disks[self.store.disk] = me
        absent = set(addresses) - set(disks.values())
        # an absent one may stay if it is a voter already; it may not come in
        disks |= {d: a for d, a in voters.items() if a in absent and d not in disks}
        absent = sorted(set(addresses) - set(disks.values()))
        if absent:
            raise MembershipConflict("absent", absent=absent)
        return disks

    async def step_members(self, make, deadline):
        """One change of the membership configuration: agreed in the register, then known to a
        quorum of it."""
        old, members = self.store.voter_sets, self.store.everybody
        # more members may be what durability lacks, so a quorum decides on members
        enough = VoterSets.is_quorum

        def checked_make(record):
            known_here = self.store.membership
            newer = record and record["version"] > known_here.version
            base = MembershipConfiguration.from_record(record) if newer else known_here
            return make(base).to_record()

        record = await self.proposer.change(MEMBERS, checked_make, deadline, enough)
        membership = MembershipConfiguration.from_record(record)
        voter_sets = VoterSets(old.sets + membership.voter_sets().sets)
        members = {**members, **membership.members}

        def known(answers):
            return voter_sets.is_quorum(answers)

        if not known(await self.broadcast_to(members, "member.adopt", record, deadline, known)):
            raise OutcomeUnknown(MEMBERS)
        await self.store.adopt(membership)
        return membership

    # ------------------------------------------------------------ what members are told

    @handlers.on("member.adopt")
    async def on_adopt(self, peer, record):
        """Take a newer membership record; answers the disk and version here."""
        with disk_failures_rejected():
            await self.store.adopt(MembershipConfiguration.from_record(record))
        return {"disk": self.store.disk, "version": self.store.membership.version}

    @handlers.on("member.keys")
    async def on_keys(self, peer, record):
        """Told only once the record is known here: no older round adds a key after that."""
        with disk_failures_rejected():
            await self.store.adopt(MembershipConfiguration.from_record(record))
        return {"disk": self.store.disk, "keys": sorted(self.store.acceptor.keys.values())}

    async def broadcast_to(self, members, method, args, deadline, enough):
        """{disk id: answer} as soon as enough(answers), all answered, or the deadline; who is slower
        is still told. members: {disk id: address}. An answer under another disk id is none."""
        answers, waiting, done = {}, set(members), trio.Event()

        async def one(disk, address):
            try:
                if disk == self.store.disk:
                    handler = {"member.adopt": self.on_adopt, "member.keys": self.on_keys}[method]
                    told = await handler(None, args)
                else:
                    told = await self.node.rpc.call(address, method, args, deadline)
                if told["disk"] == disk:
                    answers[disk] = told
            except (ConnectionFailed, Rejected, OSError):
                pass
            waiting.discard(disk)
            if not waiting or enough(answers):
                done.set()

        for disk, address in sorted(members.items()):
            self.node.nursery.start_soon(one, disk, address)
        with deadline_scope(deadline):
            await done.wait()
        return dict(answers)
