"""The consensus requests between members: the sending side, and the acceptor's side."""

from __future__ import annotations

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import disk_failures_rejected
from meadowdock.consensus import KeyStateLost, Proposer
from meadowdock.rpc import Handlers, Rejected


class VotingMember:
    """A base class of the server: sends consensus requests, and votes on those of others.

    Invariant: a vote is given only under the membership configuration of the proposer. A request
    under an older configuration than this member's is rejected, and the rejection carries the newer
    one.
    """

    handlers = Handlers()

    def make_proposer(self):
        """Create a proposer with a name that is never used again.

        Random bits are part of the name, as a wall clock that is set back may produce the same
        incarnation twice.
        """
        incarnation = f"{self.node.incarnation}:{self.node.runtime.rng.getrandbits(64):016x}"
        return Proposer(
            f"{self.store.disk_id}:{incarnation}",
            lambda: self.store.voter_sets,
            self.call_acceptor,
            self.node.runtime.rng,
            self.node.nursery,
            lambda: self.store.membership.version if self.store.membership else 0,
        )

    async def call_acceptor(self, member, method, args, deadline, version):
        """Send a request to one member, perhaps this one, and return its answer.

        :param version: of the membership configuration that the ballot is bound to
        """
        if member == self.store.disk_id:
            return await self.call_local_acceptor(version, member, method, args)
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
        """Handle a prepare, write or read of another member."""
        return await self.call_local_acceptor(*args)

    async def call_local_acceptor(self, version, member, method, args):
        """Pass a prepare, write or read to the acceptor of this disk, if it has a vote.

        :raises Rejected: this is another disk or no voter, the version is old, the process is
            leaving, or the key or the disk is damaged.
        """
        store = self.store
        if member != store.disk_id or not store.is_voter:
            raise Rejected("other_member", disk=store.disk_id)
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
