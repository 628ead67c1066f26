"""Plans of operators: a configuration is planned on the current revision, then committed.

A commit succeeds only if the base of the plan is still the current revision. It is idempotent: a
plan of base B was committed if and only if the audit record of version B + 1 names it, so a
repeated commit returns the version that the plan became.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from meadowdock import audit
from meadowdock.config_store import repair
from meadowdock.config_store.exceptions import (
    InvalidConfiguration,
    PlanExpired,
    PlanOutdated,
    PlanUnknown,
    RevisionConflict,
)
from meadowdock.config_store.revision import Plan, Revision, is_plan_id, plan_id_of
from meadowdock.config_store.store import CURRENT_REVISION_KEY
from meadowdock.configuration import (
    assemble_configuration,
    configuration_difference,
    split_configuration,
    validate_configuration,
)
from meadowdock.configuration.items import current_items
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.logs import events as log_events
from meadowdock.runtime import monotonic_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

EMPTY_CONFIGURATION: dict[str, Any] = {"services": [], "budgets": [], "ways": [], "load": {}}


class PlanState(StrEnum):
    """The state of a plan; the values are those of the operators' API."""

    OPEN = "open"
    COMMITTED = "confirmed"
    OUTDATED = "outdated"
    EXPIRED = "expired"


@dataclass(frozen=True)
class PlannedChange:
    """A plan that was created.

    plan_id: None if the configuration is already in force.
    """

    plan_id: str | None
    base: int
    changes: dict[str, Any]


@dataclass(frozen=True)
class PlanStatus:
    """The status of a plan.

    version: the version that the plan became, or 0. current: the current version.
    """

    plan_id: str
    state: PlanState
    version: int
    base: int
    current: int


@dataclass(frozen=True)
class CommittedConfiguration:
    """The configuration in force.

    items: the items in force; None if there never were any items.
    """

    revision: Revision
    configuration: dict[str, Any]
    items: list[dict[str, Any]] | None


class Plans:
    """Creates and commits the plans of operators, at one member."""

    def __init__(self, server: ConfigStore) -> None:
        self.server = server

    def deadline(self) -> int:
        """Return the deadline of one step of an operator's request that begins now."""
        return monotonic_us() + self.server.operator_timing.change_us

    async def create(self, body: bytes | bytearray) -> PlannedChange:
        """Plan a configuration, given as JSON, on the current revision.

        :raises InvalidConfiguration: with all violations that were found
        :raises NoQuorum: too few members stored the plan
        """
        runtime = self.server.node.runtime
        configuration = await self.checked_configuration(body)
        current = await self.server.revisions.read(self.deadline())
        current_configuration = await self.configuration_of(current.configuration_chunks)
        chunks = await runtime.offload(split_configuration, configuration)
        changes = configuration_difference(current_configuration, configuration)
        names = (*(name for name, _ in chunks), *current.item_chunks)
        if names == current.chunks:
            return PlannedChange(None, current.version, changes)
        plan = Plan(current.version, names, len(current.item_chunks), runtime.wall_us())
        plan_body = plan.encode()
        plan_id = plan_id_of(plan_body)
        await self.server.broadcast.replicate_chunks(
            {**dict(chunks), plan_id: plan_body},
            monotonic_us() + 2 * self.server.operator_timing.change_us,
        )
        self.server.node.log(log_events.PLAN_STORED, plan=plan_id, base=current.version)
        return PlannedChange(plan_id, current.version, changes)

    async def checked_configuration(self, body: bytes | bytearray) -> dict[str, Any]:
        """Parse and validate the configuration in a request's body. Raises InvalidConfiguration."""
        # imported here, as a daemon without plans doesn't need it
        from returns.pipeline import is_successful

        result = await self.server.node.runtime.offload(validate_configuration, body)
        if not is_successful(result):
            raise InvalidConfiguration(result.failure())
        configuration: dict[str, Any] = result.unwrap()
        return configuration

    async def find(self, plan_id: str) -> Plan | None:
        """Return the plan with an id, or None if no member that answers has it."""
        bodies = await self.server.chunks.fetch([plan_id])
        return Plan.decode(bodies[plan_id]) if plan_id in bodies else None

    async def commit(self, plan_id: object) -> int:
        """Make a plan the current revision, and return the version that it became.

        :raises PlanUnknown: there is no such plan
        :raises PlanExpired: it is too old, and was not committed or this can't be determined any
            more
        :raises PlanOutdated: another change was committed on its base
        :raises NoQuorum: it was not committed by this call
        :raises OutcomeUnknown: it may be committed
        """
        if not is_plan_id(plan_id):
            raise PlanUnknown(plan_id)
        current = await self.server.revisions.read(self.deadline())
        version = current.version_of(plan_id)
        if version:
            await self.rewrite_current(self.deadline())
            return version
        plan = await self.find(plan_id)
        if plan is None:
            raise PlanUnknown(plan_id)
        deadline = self.deadline()
        version = await self.committed_version(current, plan_id, plan, deadline)
        if version:
            return version
        await self.replicate_files(current, plan_id, plan, deadline)
        return await self.propose(plan_id, plan, deadline)

    async def rewrite_current(self, deadline: int) -> Revision:
        """Write the current revision once more, under a new ballot.

        A read may have found it on fewer disks than an acknowledgement requires. After the rewrite,
        a change that was in progress is either part of the current revision, or can't be committed
        any more.
        """
        record = await self.server.proposer.change(CURRENT_REVISION_KEY, lambda old: old, deadline)
        return Revision.from_record(record)

    async def replicate_files(
        self, current: Revision, plan_id: str, plan: Plan, deadline: int
    ) -> None:
        """Write to a durable quorum everything that the new revision refers to.

        :raises NoQuorum: too few members have it, or a chunk is missing
        """
        bodies = await self.server.chunks.fetch([*sorted(set(plan.chunks)), plan_id])
        if len(bodies) < len({*plan.chunks, plan_id}):
            raise NoQuorum(f"chunks of plan {plan_id}")
        await self.server.broadcast.replicate_chunks(bodies, deadline)
        if current.audit_record:
            # The new revision contains only its own record. If the current revision has changed by
            # the time of the commit, the plan is outdated.
            records = {current.version: current.audit_record}
            await self.server.broadcast.replicate_audit_records(records, deadline)

    async def propose(self, plan_id: str, plan: Plan, deadline: int) -> int:
        """Change the current revision to that of the plan, and return its version.

        Raises as commit does.
        """
        try:
            record = await self.server.proposer.change(
                CURRENT_REVISION_KEY, self.transition(plan_id, plan), deadline
            )
        except RevisionConflict as conflict:
            return await self.version_after_conflict(plan_id, plan, conflict.current)
        committed = Revision.from_record(record)
        self.server.revisions.learn(committed)
        version = committed.version_of(plan_id)
        self.server.node.log(log_events.PLAN_COMMITTED, plan=plan_id, version=version)
        self.server.node.nursery.start_soon(self.server.delivery.deliver, committed)
        return version

    def transition(self, plan_id: str, plan: Plan) -> Callable[[dict[str, Any] | None], Any]:
        """Return the function for the proposer that makes a plan the successor of its base.

        The function is idempotent. It raises RevisionConflict or PlanExpired, which leave the
        revision unchanged.
        """

        def successor(record: dict[str, Any] | None) -> dict[str, Any] | None:
            current = Revision.from_record(record)
            if current.version_of(plan_id):
                return record
            if current.version != plan.base:
                raise RevisionConflict(current)
            if self.is_expired(plan):
                raise PlanExpired(plan_id)
            audit_record = self.server.audit_signer.sign(current, plan_id, plan)
            return current.successor(plan_id, plan, audit_record).to_record()

        return successor

    def is_expired(self, plan: Plan) -> bool:
        """Whether a plan is older than PLAN_LIFETIME_US."""
        return self.server.node.runtime.wall_us() - plan.created_us > repair.PLAN_LIFETIME_US

    async def version_after_conflict(self, plan_id: str, plan: Plan, current: Revision) -> int:
        """Return the version that the plan became in spite of the conflict.

        An earlier attempt at this very commit may have succeeded, followed by other changes.

        :raises PlanOutdated: it was not committed
        :raises PlanExpired: the audit log begins too late to tell
        :raises OutcomeUnknown: this can't be determined now
        """
        try:
            version = await self.committed_version(current, plan_id, plan, self.deadline())
        except NoQuorum:
            raise OutcomeUnknown(plan_id) from None
        if version:
            return version
        if plan.base + 1 < self.server.store.audit_log.first_version:
            raise PlanExpired(plan_id) from None
        changed_since = await self.changes_since(plan.base, current)
        raise PlanOutdated(plan_id, plan.base, current.version, changed_since) from None

    async def committed_version(
        self, current: Revision, plan_id: str, plan: Plan, deadline: int
    ) -> int:
        """Return the version that a plan became, or 0.

        :raises NoQuorum: this can't be determined now
        """
        version = plan.base + 1
        if version > current.version:
            return 0
        return version if await self.plan_id_at(current, version, deadline) == plan_id else 0

    async def plan_id_at(self, current: Revision, version: int, deadline: int) -> str | None:
        """Return the id of the plan that became a version, which is at most the current one.

        None if the version is older than the retained audit log.

        :raises NoQuorum: this can't be determined now
        """
        for committed_version, plan_id in current.history:
            if committed_version == version:
                return plan_id
        record = await self.server.audit_log_transfer.fetch_record(version, deadline)
        payload = audit.read_payload(record) if record else None
        return str(payload["plan"]) if payload else None

    async def status(self, plan_id: str) -> PlanStatus:
        """Return the status of a plan.

        :raises PlanUnknown: there is no such plan
        :raises NoQuorum: this can't be determined now
        :raises OutcomeUnknown: this can't be determined now
        """
        plan = await self.find(plan_id) if is_plan_id(plan_id) else None
        if plan is None:
            raise PlanUnknown(plan_id)
        current = await self.rewrite_current(self.deadline())
        version = await self.committed_version(current, plan_id, plan, self.deadline())
        if version:
            state = PlanState.COMMITTED
        elif current.version != plan.base:
            state = PlanState.OUTDATED
        else:
            state = PlanState.EXPIRED if self.is_expired(plan) else PlanState.OPEN
        return PlanStatus(plan_id, state, version, plan.base, current.version)

    async def current_configuration(self) -> CommittedConfiguration:
        """Return the configuration in force, by a quorum read. Raises NoQuorum."""
        revision = await self.server.revisions.read(self.deadline())
        items = await self.server.item_snapshot.items_of(revision, self.deadline())
        configuration = await self.configuration_of(revision.configuration_chunks)
        return CommittedConfiguration(
            revision, configuration, current_items(items) if items else None
        )

    async def changes_since(self, base: int, current: Revision) -> dict[str, Any] | None:
        """Return what changed from an earlier version to the current one, by section.

        None if the chunks of the earlier version are not available any more.
        """
        base_chunks = await self.chunks_at(current, base)
        if base_chunks is None:
            return None
        try:
            base_configuration = await self.configuration_of(base_chunks)
            current_configuration = await self.configuration_of(current.configuration_chunks)
            changes: dict[str, Any] = configuration_difference(
                base_configuration, current_configuration
            )
            return changes
        except NoQuorum:
            return None

    async def chunks_at(self, current: Revision, version: int) -> Sequence[str] | None:
        """Return the chunks of an earlier version, or None if they are not known any more."""
        if version == 0:
            return ()
        try:
            plan_id = await self.plan_id_at(current, version, self.deadline())
        except NoQuorum:
            return None
        plan = await self.find(plan_id) if plan_id else None
        return plan.configuration_chunks if plan else None

    async def configuration_of(self, chunks: Sequence[str]) -> dict[str, Any]:
        """Assemble the configuration from these chunks; the empty one if there are none.

        :raises NoQuorum: a chunk is missing
        """
        if not chunks:
            return EMPTY_CONFIGURATION
        bodies = await self.server.chunks.fetch(sorted(set(chunks)))
        if len(bodies) < len(set(chunks)):
            raise NoQuorum("configuration chunks")
        configuration: dict[str, Any] = await self.server.node.runtime.offload(
            lambda: assemble_configuration(bodies[name] for name in chunks)
        )
        return configuration
