"""Changes of the configuration by items, made on the same revisions as operators' plans.

A change is a plan and its commit in one: it is merged into the items of the current revision, its
new chunks are put on a durable quorum, then the revision is changed if it is still that one; else
the change is attempted again. Changes that come while one is under way are made together by the
next.
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
from meadowdock.rpc import Handlers
from meadowdock.runtime import MILLISECOND, deadline_scope, fingerprint, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

TIMEOUT_PER_ITEM_US = 3 * MILLISECOND  # an operator waits longer for a large change
RETRY_PAUSE_MAX_MS = 10
CHUNKS_PER_MESSAGE = 16

Outcome = int | Exception  # the version of the revision that holds the change, or why none does


@dataclass
class PendingChange:
    """One operator's change that waits for its batch.

    Invariant: outcome is set before done is.
    """

    items: list[Item]
    done: trio.Event = field(default_factory=trio.Event)
    outcome: Outcome | None = None


class ItemChanges:
    """Makes changes of items, in batches.

    Invariants: `pending` are the changes of the next batch, and one batch runs at a time.
    `may_be_accepted` says that some member may have accepted a new revision of this batch, which
    may yet be committed.
    """

    handlers = Handlers()

    def __init__(self, server: ConfigStore) -> None:
        self.server = server
        self.pending: list[PendingChange] = []
        self.running = False
        self.may_be_accepted = False

    # ------------------------------------------------------------ reads

    async def read(self, deadline: int) -> tuple[int, list[Item]]:
        """(version, items in force), from a quorum read. Raises NoQuorum."""
        monitor = self.server.quorum_monitor
        await monitor.require_quorum(writing=False)
        return await monitor.run_while_quorum(
            lambda: self.read_now(deadline), lambda: NoQuorum("items"), writing=False
        )

    async def read_now(self, deadline: int) -> tuple[int, list[Item]]:
        """As read, without the check that a quorum is in touch."""
        revision = await self.server.revisions.read(deadline)
        items = await self.server.item_snapshot.at(revision, deadline)
        return revision.version, config_items.current_items(items)

    # ------------------------------------------------------------ changes

    async def change(self, items: list[Item]) -> int:
        """Make a change; the version of the revision that holds it, once that is committed.

        :raises config_items.InvalidItems: nothing was changed
        :raises config_items.VersionConflict: nothing was changed
        :raises NoQuorum: nothing was changed
        :raises OutcomeUnknown: the change may be committed
        """
        errors = config_items.validate_items(items)
        if errors:
            raise config_items.InvalidItems(errors)
        await self.server.quorum_monitor.require_quorum()
        change = PendingChange([config_items.normalize(item) for item in items])
        self.pending.append(change)
        if not self.running:
            self.running = True
            self.server.node.nursery.start_soon(self.run_batches)
        timeout = self.server.operator_timing.answer_us + TIMEOUT_PER_ITEM_US * len(items)
        with deadline_scope(monotonic_us() + timeout):
            await change.done.wait()
        return self.outcome_of(change)

    def outcome_of(self, change: PendingChange) -> int:
        """The version of a change, or raises why there is none; one that still waits for its batch
        is withdrawn."""
        if change.outcome is None:
            if change in self.pending:
                self.pending.remove(change)
                raise NoQuorum("items")
            raise OutcomeUnknown("items")
        if isinstance(change.outcome, Exception):
            raise change.outcome
        return change.outcome

    async def run_batches(self) -> None:
        """Make batches, one after the other, while changes are pending."""
        try:
            while self.pending:
                batch, self.pending = self.pending, []
                outcomes: list[Outcome]
                try:
                    outcomes = await self.make_batch_in_touch(batch)
                except Exception as cause:  # whatever it is, it concerns these changes alone
                    outcomes = [cause] * len(batch)
                for change, outcome in zip(batch, outcomes, strict=True):
                    change.outcome = outcome
                    change.done.set()
        finally:
            self.running = False

    async def make_batch_in_touch(self, batch: list[PendingChange]) -> list[Outcome]:
        """As make_batch; ended early once no quorum is in touch any more."""
        monitor, self.may_be_accepted = self.server.quorum_monitor, False
        await monitor.require_quorum()
        return await monitor.run_while_quorum(lambda: self.make_batch(batch), self.failure)

    def failure(self) -> NoQuorum | OutcomeUnknown:
        """The error of a batch that ends without a quorum's answer."""
        return OutcomeUnknown("items") if self.may_be_accepted else NoQuorum("items")

    async def make_batch(self, batch: list[PendingChange]) -> list[Outcome]:
        """The outcome of each change, in order. Each is judged by itself, after those before it.

        :raises NoQuorum: no new revision was sent to any member
        :raises OutcomeUnknown: one was, and may be committed
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
            pause = self.server.node.runtime.rng.randrange(1, RETRY_PAUSE_MAX_MS)
            await sleep_us(pause * MILLISECOND)

    async def attempt_batch(self, batch: list[PendingChange], deadline: int) -> list[Outcome]:
        """One attempt of a batch. Raises RevisionConflict if another changed the revision."""
        current = await self.server.revisions.read(deadline)
        items = await self.server.item_snapshot.at(current, deadline)
        merged, rejected = merge_batch(items, batch)
        version = current.version
        if merged is not items:
            version = (await self.commit(current, merged, deadline)).version
        elif len(rejected) < len(batch):
            # nothing changes, but what a read found may be on fewer disks than an
            # acknowledgement needs
            await self.server.plans.rewrite_current(deadline)
        return [rejected.get(index, version) for index in range(len(batch))]

    async def commit(self, current: Revision, items: ItemsByKey, deadline: int) -> Revision:
        """The successor of a revision with these items, committed. Raises RevisionConflict if the
        current revision is another."""
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
        # the others are on a quorum since the revision that names them
        known = server.item_snapshot.items_by_chunk
        new_chunks = {name: chunk for name, chunk in chunks if name not in known}
        server.chunks.cache(new_chunks)
        # as with a plan's commit: the new revision holds its own audit record alone
        records = {current.version: current.audit_record} if current.audit_record else {}
        await self.replicate({**new_chunks, plan_id: body}, records, deadline)
        # loads libraries at first use, which takes too long for the event loop
        await server.node.runtime.offload(lambda: server.audit_signer.key)
        committed = await self.propose(server.plans.transition(plan_id, plan), deadline)
        server.revisions.learn(committed)
        server.node.log(605, plan=plan_id, version=committed.version)
        server.node.nursery.start_soon(server.delivery.deliver, committed)
        return committed

    async def propose(self, transition: Callable[..., Any], deadline: int) -> Revision:
        """Change the revision, and note whether a member may have accepted the new one."""
        before, self.may_be_accepted = self.may_be_accepted, True
        try:
            record = await self.server.proposer.change(CURRENT_REVISION_KEY, transition, deadline)
        except NoQuorum:
            self.may_be_accepted = before  # this attempt surely wrote nothing
            raise
        return Revision.from_record(record)

    # ------------------------------------------------------------ files

    async def replicate(
        self, bodies: Mapping[str, bytes], records: Mapping[int, str], deadline: int
    ) -> None:
        """Put chunks and audit records on a durable quorum at once. Raises NoQuorum."""

        async def write_at(address: str) -> None:
            chunks = list(bodies.values())
            for start in range(0, len(chunks), CHUNKS_PER_MESSAGE):
                is_last = start + CHUNKS_PER_MESSAGE >= len(chunks)
                batch = chunks[start : start + CHUNKS_PER_MESSAGE]
                message = [batch, records if is_last else {}]
                await self.server.node.rpc.call(address, "items.put", message, deadline)

        await self.server.broadcast.write_to_quorum(
            lambda: self.write_files(bodies.values(), records), write_at, deadline
        )

    async def write_files(self, bodies: Collection[bytes], records: Mapping[int, str]) -> None:
        """Write to this disk, side by side. Raises the OSError of a write that failed."""
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
    """(the items with all changes that fit, {index of a rejected change: why}). Gives the very items
    back if nothing changes."""
    merged: ItemsByKey = items
    rejected: dict[int, Exception] = {}
    for index, change in enumerate(batch):
        try:
            merged, _ = config_items.merge(merged, change.items)
        except (config_items.InvalidItems, config_items.VersionConflict) as cause:
            rejected[index] = cause
    return merged, rejected
