"""One member's vote: the register's requests, to the others and from them."""

from __future__ import annotations

from meadowdock.config_store.membership_configuration import MembershipConfiguration
from meadowdock.config_store.store import disk_failures_rejected
from meadowdock.consensus import KeyStateLost, Proposer
from meadowdock.rpc import Handlers, Rejected


class Votes:
    """Of Part. Invariant: an answer is given only under the record that the asker goes by, or an
    older one than this member's is refused with the newer."""

    handlers = Handlers()

    def make_proposer(self):
        """Its name is never used again: a wall clock that goes back may give an incarnation twice."""
        life = f"{self.node.incarnation}:{self.node.runtime.rng.getrandbits(64):016x}"
        return Proposer(
            f"{self.store.disk}:{life}",
            lambda: self.store.voter_sets,
            self.ask,
            self.node.runtime.rng,
            self.node.nursery,
            lambda: self.store.membership.version if self.store.membership else 0,
        )

    async def ask(self, member, method, args, deadline, version):
        """One member's answer, over its link or from this very process. version is that of the
        record the whole round goes by."""
        if member == self.store.disk:
            return await self.answer(version, member, method, args)
        address = self.store.everybody[member]
        try:
            return await self.node.rpc.call(
                address, "register", [version, member, method, args], deadline
            )
        except Rejected as shed:
            if shed.code == "old_members":
                await self.store.adopt(MembershipConfiguration.from_record(shed.details["record"]))
            raise

    @handlers.on("register")
    async def on_register(self, peer, args):
        """A prepare, write or read by another member."""
        return await self.answer(*args)

    async def answer(self, version, member, method, args):
        """Vote as this disk, under that membership version. Raises Rejected."""
        store = self.store
        if member != store.disk or not store.voter:
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
