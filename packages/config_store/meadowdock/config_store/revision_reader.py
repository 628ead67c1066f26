"""Quorum reads of the current revision, and the loop that keeps its chunks on this member.

State: the latest revision that this member knows, and whether the last quorum read failed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from meadowdock.config_store.revision import EMPTY_REVISION, Revision
from meadowdock.config_store.store import CURRENT_REVISION_KEY
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.logs import events as log_events
from meadowdock.runtime import SECOND, deadline_scope, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

REFRESH_INTERVAL_US = SECOND
REFRESH_TIMEOUT_US = SECOND


@dataclass
class SharedRead:
    """A quorum read whose outcome several requests share.

    Invariant: only requests that arrived before it began share it, so each gets a revision at least
    as new as the one that was current when the request arrived.
    """

    done: trio.Event = field(default_factory=trio.Event)
    outcome: Revision | NoQuorum | None = None


class RevisionReader:
    """The current revision, as this member knows it.

    Invariant: the version of `latest` only increases.
    """

    def __init__(self, server: ConfigStore) -> None:
        self.server = server
        self.latest = EMPTY_REVISION
        self.no_quorum = False  # the last quorum read failed, and none has succeeded since
        self.next_read: SharedRead | None = None
        self.read_lock = trio.Lock()
        self.complete_version: int | None = None  # the version whose chunks are all on this disk

    async def read(self, deadline: int) -> Revision:
        """Read the current revision from a quorum.

        Requests that arrive while a read is in flight share the next one.

        :raises NoQuorum: too few members answered by the deadline
        """
        if not self.server.store.membership:
            raise NoQuorum(CURRENT_REVISION_KEY)
        if self.next_read is None:
            self.next_read = SharedRead()
            self.server.node.nursery.start_soon(self.run_shared_read, self.next_read)
        shared = self.next_read
        with deadline_scope(deadline):
            await shared.done.wait()
        if shared.outcome is None:
            raise NoQuorum(CURRENT_REVISION_KEY)
        if isinstance(shared.outcome, Exception):
            raise shared.outcome
        return shared.outcome

    async def run_shared_read(self, shared: SharedRead) -> None:
        """Do one quorum read for all requests that share it."""
        async with self.read_lock:
            self.next_read = None  # requests that arrive from now on share the next one
            deadline = monotonic_us() + self.server.operator_timing.quorum_read_us
            try:
                record = await self.server.proposer.read(CURRENT_REVISION_KEY, deadline)
                revision = Revision.from_record(record)
                self.learn(revision)
                shared.outcome = revision
                self.no_quorum = False
            except (NoQuorum, OutcomeUnknown) as cause:
                shared.outcome = NoQuorum(str(cause))
                self.note_no_quorum()
            finally:
                shared.done.set()

    def note_no_quorum(self) -> None:
        """Mark this member as not ready until a quorum read succeeds."""
        if not self.no_quorum:
            self.server.node.log(log_events.NO_QUORUM, members=len(self.server.proposer.voters()))
        self.no_quorum = True

    def learn(self, revision: Revision) -> None:
        """Remember a revision if it is newer than the latest known one, and gossip its version."""
        if revision.version > self.latest.version:
            self.latest = revision
            self.server.node.membership.advance_heartbeat(version=revision.version)

    async def run(self) -> None:
        """Keep the current revision known and its chunks on this disk, and remove old chunks."""
        while True:
            await self.server.store.disk.retry_after_failure()
            if self.server.store.membership:
                try:
                    revision = await self.read(monotonic_us() + REFRESH_TIMEOUT_US)
                    await self.fetch_missing_chunks(revision)
                    await self.server.repairer.remove_unreferenced_chunks(
                        revision, self.server.plans.find
                    )
                except NoQuorum:
                    pass
            await sleep_us(REFRESH_INTERVAL_US)

    async def fetch_missing_chunks(self, revision: Revision) -> None:
        """Fetch the chunks of a revision and its plan, as far as this disk lacks them."""
        if self.complete_version == revision.version:
            return
        names = [*revision.chunks, *([revision.plan_id] if revision.plan_id else [])]
        missing = await self.server.store.missing_chunks(names)
        if not missing or await self.server.repairer.restore_chunks(missing):
            self.complete_version = revision.version
