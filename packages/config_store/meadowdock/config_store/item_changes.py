"""Changes of single items of the configuration.

They and the operators' plans lead to one common sequence of revisions.

A change is a plan and its commit in one: it is merged into the items of the current revision, its
new chunks are written to a durable quorum, then the revision is changed if it is still the same;
otherwise the change is attempted again. Changes that arrive while one is in progress are made
together in the next batch.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio

from meadowdock.config_store.exceptions import RevisionConflict
from meadowdock.config_store.item_snapshot import Item, ItemsByKey
from meadowdock.config_store.revision import Plan, Revision, plan_id_of
from meadowdock.config_store.store import CURRENT_REVISION_KEY, disk_failures_rejected
from meadowdock.configuration import items as config_items
from meadowdock.configuration import split_items
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.logs import events as log_events
from meadowdock.rpc import Handlers
from meadowdock.runtime import MILLISECOND, deadline_scope, fingerprint, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

TIMEOUT_PER_ITEM_US = 3 * MILLISECOND  # added to the timeout of a change for each of its items
RETRY_BACKOFF_MAX_MS = 10
CHUNKS_PER_MESSAGE = 16

Outcome = int | Exception  # the version of the revision that contains the change, or the error


@dataclass
class PendingChange:
    """An operator's change that waits for its batch.

    Invariant: outcome is set before done is.
    """

    items: list[Item]
    done: trio.Event = field(default_factory=trio.Event)
    outcome: Outcome | None = None


class ItemChanges:
    """Makes changes of items, in batches.

    Invariants: `pending` holds the changes of the next batch, and one batch runs at a time.
    `may_be_accepted` is true if some member may have accepted a new revision of this batch, which
    may still be committed.
    """

    handlers = Handlers()

    def __init__(self, server: ConfigStore) -> None:
        self.server = server
        self.pending: list[PendingChange] = []
        self.running = False
        self.may_be_accepted = False

    async def read(self, deadline: int) -> tuple[int, list[Item]]:
        """Read (version, items in force) from a quorum. Raises NoQuorum."""
        monitor = self.server.quorum_monitor
        await monitor.require_quorum(writing=False)
        return await monitor.run_while_quorum(
            lambda: self.read_now(deadline), lambda: NoQuorum("items"), writing=False
        )

    async def read_now(self, deadline: int) -> tuple[int, list[Item]]:
        """Read (version, items in force) without checking first whether a quorum is in contact."""
        revision = await self.server.revisions.read(deadline)
        items = await self.server.item_snapshot.items_of(revision, deadline)
        return revision.version, config_items.current_items(items)

    async def change(self, items: list[Item]) -> int:
        """Make a change, and return the version of the committed revision that contains it.

        :raises config_items.InvalidItems: nothing was changed
        :raises config_items.VersionConflict: nothing was changed
        :raises NoQuorum: nothing was changed
        :raises OutcomeUnknown: the change may be committed
        """
        errors = config_items.validate_items(items)
        if errors:
            raise config_items.InvalidItems(errors)
        await self.server.quorum_monitor.require_quorum()
        change = PendingChange([config_items.normalize_item(item) for item in items])
        self.pending.append(change)
        if not self.running:
            self.running = True
            self.server.node.nursery.start_soon(self.run_batches)
        timeout_us = self.server.operator_timing.answer_us + TIMEOUT_PER_ITEM_US * len(items)
        with deadline_scope(monotonic_us() + timeout_us):
            await change.done.wait()
        return self.outcome_of(change)

    def outcome_of(self, change: PendingChange) -> int:
        """Return the version of a change, or raise the reason why there is none.

        A change that is still waiting for its batch is withdrawn.
        """
        if change.outcome is None:
            if change in self.pending:
                self.pending.remove(change)
                raise NoQuorum("items")
            raise OutcomeUnknown("items")
        if isinstance(change.outcome, Exception):
            raise change.outcome
        return change.outcome

    async def run_batches(self) -> None:
        """Make one batch after the other, as long as changes are pending."""
        try:
            while self.pending:
                batch, self.pending = self.pending, []
                outcomes: list[Outcome]
                try:
                    outcomes = await self.make_batch_while_quorum(batch)
                except Exception as cause:  # any error affects only the changes of this batch
                    outcomes = [cause] * len(batch)
                for change, outcome in zip(batch, outcomes, strict=True):
                    change.outcome = outcome
                    change.done.set()
        finally:
            self.running = False

    async def make_batch_while_quorum(self, batch: list[PendingChange]) -> list[Outcome]:
        """Make a batch; it ends early once no quorum is in contact."""
        monitor, self.may_be_accepted = self.server.quorum_monitor, False
        await monitor.require_quorum()
        return await monitor.run_while_quorum(lambda: self.make_batch(batch), self.failure)

    def failure(self) -> NoQuorum | OutcomeUnknown:
        """Return the error of a batch that ends without a quorum's answer."""
        return OutcomeUnknown("items") if self.may_be_accepted else NoQuorum("items")

    async def make_batch(self, batch: list[PendingChange]) -> list[Outcome]:
        """Return the outcome of each change, in order.

        Each is merged into the result of those before it; an invalid or conflicting change is
        rejected alone.

        :raises NoQuorum: no new revision was sent to any member
        :raises OutcomeUnknown: one was sent, and may be committed
        """
        deadline = monotonic_us() + self.server.operator_timing.change_us
        while True:
            try:
                return await self.attempt_batch(batch, deadline)
            except RevisionConflict:
                if monotonic_us() >= deadline:
                    raise self.failure() from None
            except NoQuorum:
                raise self.failure() from None
            backoff_ms = self.server.node.runtime.rng.randrange(1, RETRY_BACKOFF_MAX_MS)
            await sleep_us(backoff_ms * MILLISECOND)

    async def attempt_batch(self, batch: list[PendingChange], deadline: int) -> list[Outcome]:
        """Make one attempt at a batch.

        :raises RevisionConflict: another change was committed first
        """
        current = await self.server.revisions.read(deadline)
        items = await self.server.item_snapshot.items_of(current, deadline)
        merged, rejected = merge_batch(items, batch)
        version = current.version
        if merged is not items:
            version = (await self.commit(current, merged, deadline)).version
        elif len(rejected) < len(batch):
            # Nothing changes, but the revision that was read may be on fewer disks than an
            # acknowledgement requires.
            await self.server.plans.rewrite_current(deadline)
        return [rejected.get(index, version) for index in range(len(batch))]

    async def commit(self, current: Revision, items: ItemsByKey, deadline: int) -> Revision:
        """Commit the successor of a revision with these items.

        :raises RevisionConflict: the current revision is another one
        """
        server = self.server
        chunks = await server.node.runtime.offload(split_items, items)
        names = [name for name, _ in chunks]
        plan = Plan(
            base=current.version,
            chunks=(*current.configuration_chunks, *names),
            item_chunk_count=len(names),
            created_us=server.node.runtime.wall_us(),
            author=server.proposer.name,
        )
        body = plan.encode()
        plan_id = plan_id_of(body)
        # The other chunks have been on a quorum since an earlier revision.
        stored = server.item_snapshot.items_by_chunk
        new_chunks = {name: chunk for name, chunk in chunks if name not in stored}
        server.chunks.cache(new_chunks)
        # As with the commit of a plan, the new revision contains only its own audit record.
        records = {current.version: current.audit_record} if current.audit_record else {}
        await self.replicate({**new_chunks, plan_id: body}, records, deadline)
        # The first use loads libraries, which would block the event loop for too long.
        await server.node.runtime.offload(lambda: server.audit_signer.key)
        committed = await self.propose(server.plans.transition(plan_id, plan), deadline)
        server.revisions.learn(committed)
        server.node.log(log_events.PLAN_COMMITTED, plan=plan_id, version=committed.version)
        server.node.nursery.start_soon(server.delivery.deliver, committed)
        return committed

    async def propose(self, transition: Callable[..., Any], deadline: int) -> Revision:
        """Change the revision, and note whether a member may have accepted the new one."""
        before, self.may_be_accepted = self.may_be_accepted, True
        try:
            record = await self.server.proposer.change(CURRENT_REVISION_KEY, transition, deadline)
        except NoQuorum:
            self.may_be_accepted = before  # this attempt wrote nothing
            raise
        return Revision.from_record(record)

    async def replicate(
        self, bodies: Mapping[str, bytes], records: Mapping[int, str], deadline: int
    ) -> None:
        """Write chunks and audit records to a durable quorum. Raises NoQuorum.

        Each message has at most CHUNKS_PER_MESSAGE chunks; the last one has the audit records too.
        """

        async def write_remotely(address: str) -> None:
            chunks = list(bodies.values())
            for start in range(0, len(chunks), CHUNKS_PER_MESSAGE):
                is_last = start + CHUNKS_PER_MESSAGE >= len(chunks)
                batch = chunks[start : start + CHUNKS_PER_MESSAGE]
                message = [batch, records if is_last else {}]
                await self.server.node.rpc.call(address, "items.put", message, deadline)

        await self.server.broadcast.write_to_quorum(
            lambda: self.write_files(bodies.values(), records), write_remotely, deadline
        )

    async def write_files(self, bodies: Collection[bytes], records: Mapping[int, str]) -> None:
        """Write chunks and audit records to the local disk concurrently.

        :raises OSError: one of the writes failed
        """
        failures: list[OSError] = []

        async def run_write(write: Callable[..., Awaitable[object]], argument: object) -> None:
            try:
                await write(argument)
            except OSError as cause:
                failures.append(cause)

        async with trio.open_nursery() as nursery:
            for body in bodies:
                nursery.start_soon(run_write, self.server.store.put_chunk, body)
            nursery.start_soon(run_write, self.server.store.audit_log.put, records)
        if failures:
            raise failures[0]

    @handlers.on("items.put")
    async def on_put(self, peer: object, message: list[Any]) -> None:
        """Store the chunks and audit records that another member sends.

        :raises Rejected: "disk" if they can't be written
        """
        bodies, records = [bytes(body) for body in message[0]], message[1]
        self.server.chunks.cache({fingerprint(body): body for body in bodies})
        with disk_failures_rejected():
            await self.write_files(bodies, records)


def merge_batch(
    items: ItemsByKey, batch: list[PendingChange]
) -> tuple[ItemsByKey, dict[int, Exception]]:
    """Return (the items with all changes that fit, {index of a rejected change: error}).

    If nothing changes, the items are returned as the same object.
    """
    merged: ItemsByKey = items
    rejected: dict[int, Exception] = {}
    for index, change in enumerate(batch):
        try:
            merged, _ = config_items.merge_items(merged, change.items)
        except (config_items.InvalidItems, config_items.VersionConflict) as cause:
            rejected[index] = cause
    return merged, rejected
