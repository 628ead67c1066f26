"""Changes of the membership by joint consensus (after Raft, section 6).

A joint configuration of the old and the new voters is committed, all state is transferred, then the
new voters vote alone. A change that its process left unfinished is completed, or reverted, by any
other member.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, NoReturn

import trio

from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import disk_failures_rejected
from meadowdock.consensus import OutcomeUnknown, VoterSets
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import deadline_scope, monotonic_us

MEMBERSHIP_KEY = "members"  # the consensus key of the membership configuration
MAX_ATTEMPTS = 2  # a transfer that takes longer than this many attempts counts as stuck

Addresses = Collection[str]
Answers = dict[str, Any]  # disk id -> answer


class MembershipChange:
    """A base class of `MembershipManager`.

    Invariant: a configuration is proposed only under the one that it follows, and a joint one is
    completed only after all keys were transferred under that same version.
    """

    handlers = Handlers()

    async def change_members(self, addresses: Addresses, deadline: int) -> MembershipConfiguration:
        """Make the disks at these addresses the voters.

        Calling it again with the same addresses completes a change that was begun and not
        completed.

        :raises MembershipConflict: another change is in progress, or a newcomer doesn't answer
        :raises NoQuorum: this step of the change was not made
        :raises OutcomeUnknown: the change may have been made
        """
        self.changes_in_progress += 1
        try:
            disks = await self.resolve_disks(addresses, deadline)
            by_address = self.failure_domains_by_address(self.reachable())
            failure_domains = {d: by_address[a] for d, a in disks.items() if a in by_address}
            membership = await self.propose_membership(
                lambda current: current.change_begun(disks, failure_domains), deadline
            )
            if not membership.is_joint:
                return membership
            if membership.next_voters != disks:
                raise MembershipConflict("another_change", next=membership.next_voters)
            return await self.complete_change(membership, deadline)
        finally:
            self.changes_in_progress -= 1

    async def resume_change(self, deadline: int) -> MembershipConfiguration:
        """Complete the change in progress, whichever member began it.

        The disks remain those that it was begun for. Raises as change_members does.
        """
        self.changes_in_progress += 1
        try:
            membership = await self.propose_membership(lambda current: current, deadline)
            if not membership.is_joint:
                return membership
            return await self.complete_change(membership, deadline)
        finally:
            self.changes_in_progress -= 1

    async def complete_change(
        self, membership: MembershipConfiguration, deadline: int
    ) -> MembershipConfiguration:
        """Transfer all state to the new voters of a joint configuration, and complete it.

        A majority of both sides knows the joint configuration. If a newcomer can't receive the
        state, the change is reverted. If another member completed the change in the meantime and
        began a new one, the new one is not completed here: its keys have not been transferred yet.
        """
        if self.has_stalled(membership):
            return await self.revert_change(membership, deadline)
        await self.transfer_state(deadline)

        def complete(current: MembershipConfiguration) -> MembershipConfiguration:
            unchanged = current.version == membership.version
            return current.change_ended() if unchanged else current

        completed = await self.propose_membership(complete, deadline)
        if completed.version > membership.version + 1:
            raise MembershipConflict("another_change", next=completed.next_voters)
        return completed

    def has_stalled(self, membership: MembershipConfiguration) -> bool:
        """Whether the change in progress can't be completed.

        It is stuck if a newcomer failed, or if the transfer to it takes longer than MAX_ATTEMPTS
        attempts.
        """
        newcomers = membership.newcomers
        if not newcomers:
            return False
        version, first_seen_at = self.joint_seen
        limit_us = MAX_ATTEMPTS * self.timing.change_us
        if version == membership.version and monotonic_us() - first_seen_at > limit_us:
            return True
        reachable = self.reachable()
        return any(
            self.silent_for_us(address) > self.timing.failed_after_us
            if address not in reachable
            else reachable[address].disk != disk or not reachable[address].disk_writable
            for disk, address in newcomers.items()
            if address != self.node.settings.rpc_address
        )

    async def revert_change(self, membership: MembershipConfiguration, deadline: int) -> NoReturn:
        """Let the old voters vote alone again.

        Before that, all that was accepted during the change is written to a majority of them too.

        :raises MembershipConflict: always
        """
        await self.transfer_back(membership, deadline)

        def revert(current: MembershipConfiguration) -> MembershipConfiguration:
            unchanged = current.version == membership.version
            return current.change_reverted() if unchanged else current

        await self.propose_membership(revert, deadline)
        raise MembershipConflict("newcomer_gone", absent=sorted(membership.newcomers.values()))

    async def resolve_disks(self, addresses: Addresses, deadline: int) -> dict[str, str]:
        """Return {disk id: address} of the disks at these addresses.

        A voter that doesn't answer is listed with its known disk.

        :raises MembershipConflict: an address that belongs to no voter doesn't answer
        """
        own_address, voters = self.node.settings.rpc_address, self.store.membership.voters
        disks = await self.answering_disks(addresses, deadline)
        if own_address in addresses:
            disks[self.store.disk_id] = own_address
        unknown = set(addresses) - set(disks.values())
        disks |= {d: a for d, a in voters.items() if a in unknown and d not in disks}
        absent = sorted(set(addresses) - set(disks.values()))
        if absent:
            raise MembershipConflict("absent", absent=absent)
        return disks

    async def answering_disks(self, addresses: Addresses, deadline: int) -> dict[str, str]:
        """Return {disk id: address} of the other members at these addresses that answer now.

        Voters that failed are not polled.
        """
        own_address, voters = self.node.settings.rpc_address, self.store.membership.voters
        failed = {
            address
            for address in voters.values()
            if self.silent_for_us(address) > self.timing.failed_after_us
        }
        polled = [
            address for address in addresses if address != own_address and address not in failed
        ]
        hello = await self.node.rpc.successful_responses(
            {address: (address, "member.hello", {"link": own_address}) for address in polled},
            min(deadline, monotonic_us() + self.timing.hello_timeout_us),
        )
        for address, answer in hello.items():
            self.record_hello(address, answer)
        return {answer["disk"]: address for address, answer in hello.items()}

    async def propose_membership(
        self,
        change: Callable[[MembershipConfiguration], MembershipConfiguration],
        deadline: int,
    ) -> MembershipConfiguration:
        """Commit one change of the membership configuration.

        The new configuration is then sent to a quorum of the old and the new members.

        :raises NoQuorum: it was not made
        :raises OutcomeUnknown: it may have been made
        """
        old_sets, members = self.store.voter_sets, self.store.members
        # Durability may be impossible until members are added, so a quorum is enough here.
        is_enough = VoterSets.is_quorum

        def update(record: Mapping[str, Any] | None) -> dict[str, Any]:
            stored = self.store.membership
            newer = record and record["version"] > stored.version
            base = MembershipConfiguration.from_record(record) if newer else stored
            return change(base).to_record()

        record = await self.proposer.change(MEMBERSHIP_KEY, update, deadline, is_enough)
        membership = MembershipConfiguration.from_record(record)
        voter_sets = VoterSets(old_sets.sets + membership.voter_sets().sets)
        recipients = {**members, **membership.members}
        answers = await self.broadcast_to(
            recipients, "member.adopt", record, deadline, voter_sets.is_quorum
        )
        if not voter_sets.is_quorum(answers):
            raise OutcomeUnknown(MEMBERSHIP_KEY)
        await self.store.adopt(membership)
        return membership

    @handlers.on("member.adopt")
    async def on_adopt(self, peer: object, record: Mapping[str, Any]) -> Answers:
        """Adopt a newer membership configuration.

        It returns the disk id and the version of the configuration here.

        :raises Rejected: "disk" if it can't be written
        """
        with disk_failures_rejected():
            await self.store.adopt(MembershipConfiguration.from_record(record))
        return {"disk": self.store.disk_id, "version": self.store.membership.version}

    @handlers.on("member.keys")
    async def on_keys(self, peer: object, record: Mapping[str, Any]) -> Answers:
        """Return the keys that this member has accepted.

        The configuration of the request is adopted first, so that no ballot under an older one adds
        a key afterwards.

        :raises Rejected: "disk" if the configuration can't be written
        """
        with disk_failures_rejected():
            await self.store.adopt(MembershipConfiguration.from_record(record))
        return {"disk": self.store.disk_id, "keys": sorted(self.store.acceptor.keys.values())}

    async def broadcast_to(
        self,
        members: Mapping[str, str],
        method: str,
        args: object,
        deadline: int,
        is_enough: Callable[[Iterable[str]], bool],
    ) -> Answers:
        """Call a method of these members, and return {disk id: answer}.

        It returns as soon as is_enough(answers) holds, all have answered, or the deadline passes;
        slower members still get the request. An answer under another disk id is ignored.

        :param members: {disk id: address}
        """
        answers: Answers = {}
        pending, done = set(members), trio.Event()

        async def call(disk: str, address: str) -> None:
            try:
                if disk == self.store.disk_id:
                    handler = {"member.adopt": self.on_adopt, "member.keys": self.on_keys}[method]
                    answer = await handler(None, args)
                else:
                    answer = await self.node.rpc.call(address, method, args, deadline)
                if answer["disk"] == disk:
                    answers[disk] = answer
            except (ConnectionFailed, Rejected, OSError):
                pass
            pending.discard(disk)
            if not pending or is_enough(answers):
                done.set()

        for disk, address in sorted(members.items()):
            self.node.nursery.start_soon(call, disk, address)
        with deadline_scope(deadline):
            await done.wait()
        return dict(answers)
