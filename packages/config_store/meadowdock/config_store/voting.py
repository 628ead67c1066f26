"""The consensus requests between members: sent to the others, and voted on as one of them."""

from __future__ import annotations

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import disk_failures_rejected
from meadowdock.consensus import KeyStateLost, Proposer
from meadowdock.rpc import Handlers, Rejected


class VotingMember:
    """A base class of the server. Invariant: a vote is given only under the membership configuration
    of the proposer; an older one than this member's is rejected, with the newer one."""

    handlers = Handlers()

    def make_proposer(self):
        """A proposer with a name that is never used again: random bits are added, as a wall clock that
        goes back may give an incarnation twice."""
        incarnation = f"{self.node.incarnation}:{self.node.runtime.rng.getrandbits(64):016x}"
        return Proposer(
            f"{self.store.disk}:{incarnation}",
            lambda: self.store.voter_sets,
            self.ask,
            self.node.runtime.rng,
            self.node.nursery,
            lambda: self.store.membership.version if self.store.membership else 0,
        )

    async def ask(self, member, method, args, deadline, version):
        """The answer of one member, perhaps this one. version: of the membership configuration that the
        ballot is bound to."""
        if member == self.store.disk:
            return await self.answer(version, member, method, args)
        address = self.store.members[member]
        try:
            return await self.node.rpc.call(
                address, "register", [version, member, method, args], deadline
            )
        except Rejected as rejected:
            if rejected.code == "old_members":
                await self.store.adopt(
                    MembershipConfiguration.from_record(rejected.details["record"])
                )
            raise

    @handlers.on("register")
    async def on_register(self, peer, args):
        """A prepare, write or read by another member."""
        return await self.answer(*args)

    async def answer(self, version, member, method, args):
        """Vote as this disk, under that membership version.

        :raises Rejected: this is another disk or no voter, the version is old, the process is
            leaving, or the key or the disk is damaged.
        """
        store = self.store
        if member != store.disk or not store.is_voter:
            raise Rejected("other_member", disk=store.disk)
        if version < store.membership.version:
            raise Rejected("old_members", record=store.membership.to_record())
        try:
            with disk_failures_rejected():
                if method == "write" and self.handover.retired:
                    raise Rejected("leaving")
                if method == "prepare":
                    return await store.acceptor.prepare(args[0], tuple(args[1]))
                if method == "write":
                    return await store.acceptor.write(args[0], tuple(args[1]), args[2])
                return store.acceptor.read(args[0])
        except KeyStateLost:
            raise Rejected("lost_key") from None
