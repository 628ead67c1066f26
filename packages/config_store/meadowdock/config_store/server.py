"""The config store daemon (mdconf), which connects the parts of one member.

A member stores its share of the consensus keys, the chunks of the configuration and the audit log,
takes part in choosing the voters, and serves operators and proxies.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from meadowdock import process
from meadowdock.config_store import operator_api
from meadowdock.config_store.audit_log_transfer import AuditLogTransfer
from meadowdock.config_store.audit_records import AuditSigner
from meadowdock.config_store.broadcast import Broadcast, IsEnough
from meadowdock.config_store.chunks import ChunkService
from meadowdock.config_store.delivery import Delivery
from meadowdock.config_store.handover import Handover
from meadowdock.config_store.item_changes import ItemChanges
from meadowdock.config_store.item_snapshot import ItemSnapshot
from meadowdock.config_store.lease import LeaseService
from meadowdock.config_store.members import MembershipManager
from meadowdock.config_store.plans import Plans
from meadowdock.config_store.quorum_monitor import QuorumMonitor
from meadowdock.config_store.repair import Repairer
from meadowdock.config_store.revision import Revision
from meadowdock.config_store.revision_reader import RevisionReader
from meadowdock.config_store.rpc_handlers import RevisionHandlers
from meadowdock.config_store.store import CURRENT_REVISION_KEY, Store
from meadowdock.config_store.timing import OperatorTiming
from meadowdock.consensus import NoQuorum
from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.consensus import Proposer
    from meadowdock.process import Node
    from meadowdock.rpc import Handlers

HANDOVER_RESERVE_US = 3 * SECOND // 2  # shutdown time left after the handover of the vote
DISK_RETRY_DELAY_US = 200 * MILLISECOND  # of a disk that fails at the start
DRAIN_RESERVE_US = SECOND // 4  # shutdown time left after the drain


class ConfigStore(MembershipManager, process.Daemon):
    """One member of the config store: a voter or a spare."""

    routes = operator_api.table
    proposer: Proposer  # created by prepare, before any request is served

    def __init__(self, node: Node) -> None:
        self.node = node
        self.store = Store(node.runtime.disk, node.runtime.rng, node.log)
        self.broadcast = Broadcast(self)
        self.chunks = ChunkService(node, self.store, self.broadcast.peers)
        self.repairer = Repairer(node, self.store, self.broadcast.peers, self.chunks.fetch)
        self.audit_log_transfer = AuditLogTransfer(
            node, self.store, self.broadcast.peers, self.repairer.record_repair
        )
        self.revisions = RevisionReader(self)
        self.audit_signer = AuditSigner(node)
        self.plans = Plans(self)
        self.item_snapshot = ItemSnapshot(self.chunks)
        self.item_changes = ItemChanges(self)
        self.delivery = Delivery(node)
        self.leases = LeaseService(self)
        self.quorum_monitor = QuorumMonitor(self)
        self.handover = Handover(self)
        self.revision_handlers = RevisionHandlers(self)
        self.init_membership()

    def rpc_handlers(self) -> Handlers:
        """Return the RPC methods that this process serves."""
        return (
            RevisionHandlers.handlers.bind(self.revision_handlers)
            | self.membership_handlers()
            | Repairer.handlers.bind(self.repairer)
            | ItemChanges.handlers.bind(self.item_changes)
            | AuditLogTransfer.handlers.bind(self.audit_log_transfer)
            | ChunkService.handlers.bind(self.chunks)
            | LeaseService.handlers.bind(self.leases)
        )

    async def prepare(self) -> None:
        """Read the disk before any request is served; while it fails, try again.

        A process that is told to stop meanwhile stays unprepared.
        """
        cause = ""
        while not self.node.shutdown.requested.is_set():
            try:
                await self.store.load()
                await self.load_bootstrap_grant()
            except OSError as error:
                if str(error) != cause:
                    cause = str(error)
                    self.node.log(log_events.DISK_WAITING, cause=cause)
                await sleep_us(DISK_RETRY_DELAY_US)
                continue
            self.leases.start()
            self.proposer = self.make_proposer()
            return

    def background_tasks(self) -> dict[str, Any]:
        """Return the loops that the node keeps running, by the names that it logs."""
        return {
            **self.membership_tasks(),
            "head": self.revisions.run,
            "roster": self.delivery.run,
            "repairer": self.repairer.run,
            "trail": self.audit_log_transfer.run,
        }

    @property
    def operator_timing(self) -> OperatorTiming:
        """The timeouts of operators' requests."""
        return OperatorTiming(self.node.settings.ack_us)

    def operator_addresses(self) -> dict[str, str]:
        """Return {listener name: address} where operators reach this member."""
        return {operator_api.LISTENER: self.node.settings.http_address}

    async def change_items(self, items: list[dict[str, Any]]) -> int:
        """Change items, and return the version of the revision that contains the change.

        :raises meadowdock.configuration.items.InvalidItems: nothing was changed
        :raises meadowdock.configuration.items.VersionConflict: nothing was changed
        :raises NoQuorum: nothing was changed
        :raises OutcomeUnknown: the change may be committed
        """
        if not self.store.membership or self.has_too_few_voters():
            raise NoQuorum("members")
        return await self.item_changes.change(items)

    async def read_items(self) -> list[dict[str, Any]]:
        """Return the items in force by kind and name, from a quorum read. Raises NoQuorum."""
        if not self.store.membership:
            raise NoQuorum("members")
        deadline = monotonic_us() + self.operator_timing.read_us
        _, items = await self.item_changes.read(deadline)
        return items

    def unready_reasons(self) -> list[str]:
        """Return why this process is not ready; empty if it is."""
        if self.store.membership is None:
            return ["the register isn't founded, or its members aren't known yet"]
        reasons = []
        disk_fault = self.store.disk.failure()
        if disk_fault:
            reasons.append(disk_fault)
        if not self.store.is_established_voter and not self.is_spare():
            reasons.append("this disk is no member, or not fully yet")
        if self.has_too_few_voters():
            reasons.append("too few members for the losses to be borne")
        if self.revisions.no_quorum:
            reasons.append("no majority of the register answers")
        return reasons

    async def announce_shutdown(self) -> None:
        """Hand the vote over to a spare, as long as one is available."""
        reserve = min(self.node.shutdown.timeout_us // 3, HANDOVER_RESERVE_US)
        if self.store.membership:
            await self.handover.leave_membership(self.node.shutdown.deadline - reserve)

    async def drain(self) -> None:
        """Write to other members the state that may be on this disk alone."""
        if self.store.membership:
            await self.handover.secure_state(self.node.shutdown.deadline - DRAIN_RESERVE_US)

    async def transfer_files(self, deadline: int, is_enough: IsEnough | None = None) -> None:
        """Transfer the audit log and the chunks of the current revision to the other members.

        It returns once `is_enough` is true of the disk ids of the members that have these files.
        Without it, the condition is that of `transferred`.

        :raises NoQuorum: they are on too few members by the deadline
        """
        is_enough = is_enough or self.transferred(self.store.membership)
        current = Revision.from_record(await self.proposer.read(CURRENT_REVISION_KEY, deadline))
        await self.audit_log_transfer.transfer_to_quorum(
            partial(self.broadcast.write_to_quorum, is_enough=is_enough), deadline
        )
        plan_ids = (plan_id for _, plan_id in current.history)
        bodies = await self.chunks.fetch(sorted({*current.chunks, *plan_ids}))
        if not set(current.chunks) <= set(bodies):
            raise NoQuorum(f"chunks of version {current.version}")
        await self.broadcast.replicate_chunks(bodies, deadline, is_enough)
