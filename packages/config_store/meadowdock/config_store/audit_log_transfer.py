"""Transfer of the audit log between members: compared by digest, pulled in bounded batches.

A member that lacks records requests them, segment by segment. Each batch is durable on this disk
before the next one is requested, so an interrupted transfer resumes where it stopped.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import trio

from meadowdock import audit
from meadowdock.config_store.audit_log import (
    RECORDS_PER_SEGMENT,
    AuditLog,
    AuditLogState,
    Records,
    by_segment,
)
from meadowdock.config_store.store import disk_failures_rejected
from meadowdock.consensus import NoQuorum, is_majority_of_each
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.store import Store
    from meadowdock.process import Node

RunOnQuorum = Callable[..., Awaitable[None]]

RUN_INTERVAL_US = SECOND
REQUEST_TIMEOUT_US = SECOND
HEDGE_DELAY_US = 200 * MILLISECOND  # without an answer by then, the next member is asked too
CATCH_UP_TIMEOUT_US = 20 * SECOND  # of one round; the rest is pulled in the next one
NEWCOMER_TIMEOUT_US = 2 * SECOND  # a change of members waits this long for lagging newcomers
CATCH_UP_RETRY_US = 200 * MILLISECOND


class AuditLogTransfer:
    """Pulls the records that this member lacks, and serves the other members that pull theirs.

    Invariants: one catch-up runs at a time, so nothing is pulled twice; nothing is sent without a
    request, and no message holds more than RECORDS_PER_SEGMENT records.
    """

    handlers = Handlers()

    def __init__(
        self,
        node: Node,
        store: Store,
        peers: Callable[[], dict[str, str]],
        record_repair: Callable[..., None],
    ) -> None:
        """Create the transfer of a member.

        :param peers: returns {disk id: address} of the other members
        :param record_repair: called with what was pulled
        """
        self.node, self.store = node, store
        self.peers, self.record_repair = peers, record_repair
        self.round_number = 0
        self.pull_lock = trio.Lock()

    @property
    def audit_log(self) -> AuditLog:
        """The audit log on this disk."""
        return self.store.audit_log

    async def run(self) -> None:
        """Seal complete segments and catch up, at a steady rate."""
        while True:
            try:
                await self.audit_log.seal()
                if self.store.is_voter:
                    await self.compare()
            except OSError:
                pass  # the disk can't be written; retried in the next round
            await sleep_us(RUN_INTERVAL_US)

    async def compare(self) -> None:
        """Compare with the next member, and catch up with it if it has other records.

        One digest covers all records; those of the segments are fetched only if it differs.
        """
        addresses = sorted(self.peers().values())
        if not addresses:
            return
        self.round_number += 1
        address = addresses[self.round_number % len(addresses)]
        try:
            digest = await self.call(address, "trail.digest", None)
            if digest != self.audit_log.state().digest():
                first_index = self.audit_log.first_missing_segment()
                fields = await self.call(address, "trail.state", first_index)
                state = AuditLogState.from_wire(fields)
                await self.catch_up(state, monotonic_us() + CATCH_UP_TIMEOUT_US)
        except (ConnectionFailed, Rejected):
            pass

    async def call(self, address: str, method: str, args: object) -> Any:
        """Call one member.

        :raises ConnectionFailed: there is no answer.
        :raises Rejected: it refuses.
        """
        return await self.node.rpc.call(address, method, args, monotonic_us() + REQUEST_TIMEOUT_US)

    @handlers.on("trail.digest")
    async def on_digest(self, peer: object, _: None) -> str:
        """Return the digest of all records on this disk."""
        return self.audit_log.state().digest()

    @handlers.on("trail.state")
    async def on_state(self, peer: object, first_index: int) -> dict[str, Any]:
        """Return which records are on this disk, without the segments before `first_index`."""
        return self.audit_log.state(first_index).to_wire()

    @handlers.on("trail.read")
    async def on_read(self, peer: object, versions: list[int]) -> Records:
        """Return the records of these versions, at most as many as one segment has."""
        return await self.audit_log.read(versions[:RECORDS_PER_SEGMENT])

    async def catch_up(self, state: AuditLogState, deadline: int) -> int:
        """Pull the records of a state that are missing here, batch by batch.

        :returns: the number of records still missing at the deadline.
        :raises OSError: the disk can't be written.
        """
        with deadline_scope(deadline):
            async with self.pull_lock:
                await self.audit_log.adopt_first_version(state)
                for versions in by_segment(self.audit_log.versions_to_pull(state)):
                    records = await self.pull(versions, deadline)
                    await self.audit_log.put_batch(records)
                    if records:
                        self.record_repair("audit", first=min(records), records=len(records))
        return len(self.audit_log.versions_to_pull(state))

    async def pull(self, versions: list[int], deadline: int) -> Records:
        """Fetch {version: record} of up to one segment from other members.

        They are asked one after the other: the next one as soon as those before have failed, or
        have been silent for HEDGE_DELAY_US.
        """
        deadline = min(deadline, monotonic_us() + REQUEST_TIMEOUT_US)
        found: Records = {}
        pending: set[trio.Event] = set()

        async def read_from(address: str, ended: trio.Event) -> None:
            try:
                records = await self.node.rpc.call(address, "trail.read", versions, deadline)
                found.update((v, r) for v, r in records.items() if is_record(v, r))
            except (ConnectionFailed, Rejected):
                pass
            pending.discard(ended)
            ended.set()

        addresses = sorted(self.peers().values())
        start = self.round_number % max(1, len(addresses))
        async with trio.open_nursery() as nursery:
            for address in addresses[start:] + addresses[:start]:
                ended = trio.Event()
                pending.add(ended)
                nursery.start_soon(read_from, address, ended)
                with deadline_scope(min(deadline, monotonic_us() + HEDGE_DELAY_US)):
                    await ended.wait()
                if len(found) == len(versions):
                    break
            with deadline_scope(deadline):
                while pending and len(found) < len(versions):
                    await next(iter(pending)).wait()
            nursery.cancel_scope.cancel()
        return {version: found[version] for version in versions if version in found}

    async def fetch_record(self, version: int, deadline: int) -> str | None:
        """Return the record of a version older than the current revision.

        It is read from this disk or from any other member; None if it is older than the retained
        chain.

        :raises NoQuorum: no member that has it answers.
        """
        if version < self.audit_log.first_version:
            return None
        found = await self.audit_log.read([version]) or await self.pull([version], deadline)
        if version not in found:
            raise NoQuorum(f"audit record of version {version}")
        return found[version]

    async def fetch_records(self, end: int, deadline: int) -> tuple[AuditLogState, Records]:
        """Return (state of the log, {version: record} before `end`).

        Records that are missing on this disk are fetched from the other members.
        """
        states = await self.fetch_states(deadline)
        for state in states.values():
            await self.audit_log.adopt_first_version(state)
        found = await self.audit_log.read(range(self.audit_log.first_version, end))
        missing = [v for v in range(self.audit_log.first_version, end) if v not in found]
        for versions in by_segment(missing):
            if monotonic_us() < deadline:
                found |= await self.pull(versions, deadline)
        return self.audit_log.state(), dict(sorted(found.items()))

    async def fetch_states(self, deadline: int) -> dict[str, AuditLogState]:
        """Return {disk id: AuditLogState} of the other members that answer."""
        requests = {d: (a, "trail.state", 0) for d, a in self.peers().items()}
        responses = await self.node.rpc.successful_responses(
            requests, min(deadline, monotonic_us() + REQUEST_TIMEOUT_US)
        )
        return {disk: AuditLogState.from_wire(fields) for disk, fields in responses.items()}

    async def transfer_to_quorum(self, run_on_quorum: RunOnQuorum, deadline: int) -> None:
        """Let a quorum of all members pull what a majority of the current voters has.

        Each record before the current revision's is on such a majority. When a quorum is complete,
        the remaining newcomers get NEWCOMER_TIMEOUT_US more; the wait is limited because one of
        them may be lost permanently.

        :param run_on_quorum: runs the first function locally, and the second with each other
            member's address
        :raises NoQuorum: too few members answer, or are complete by the deadline.
        """
        state = await self.state_of_majority(deadline)
        fields = state.to_wire()
        newcomers = self.newcomers()

        async def catch_up_locally() -> None:
            while await self.catch_up(state, deadline):
                await sleep_us(CATCH_UP_RETRY_US)

        async def catch_up_remotely(address: str) -> None:
            try:
                while await self.node.rpc.call(address, "trail.catch_up", fields, deadline):
                    await sleep_us(CATCH_UP_RETRY_US)
            finally:
                if address in newcomers:
                    newcomers[address].set()

        await run_on_quorum(catch_up_locally, catch_up_remotely, deadline)
        with deadline_scope(min(deadline - SECOND, monotonic_us() + NEWCOMER_TIMEOUT_US)):
            for ended in newcomers.values():
                await ended.wait()

    async def state_of_majority(self, deadline: int) -> AuditLogState:
        """Return the merged state of this member and those that answer.

        :raises NoQuorum: they are no majority of the current voters.
        """
        state = self.audit_log.state()
        states = await self.fetch_states(deadline)
        voters = [list(self.store.membership.voters)]
        if not is_majority_of_each(voters, {self.store.disk_id, *states}):
            raise NoQuorum("audit log of the voters")
        for peer_state in states.values():
            state = state.merged_with(peer_state)
        return state

    def newcomers(self) -> dict[str, trio.Event]:
        """Return {address: event} of the other members that the change in progress adds."""
        newcomers = self.store.membership.newcomers
        disks = set(newcomers) - {self.store.disk_id}
        return {newcomers[disk]: trio.Event() for disk in disks}

    @handlers.on("trail.catch_up")
    async def on_catch_up(self, peer: object, fields: dict[str, Any]) -> int:
        """Pull the records of that state for at most a second.

        It returns how many records are still missing here.
        """
        with disk_failures_rejected():
            return await self.catch_up(
                AuditLogState.from_wire(fields), monotonic_us() + REQUEST_TIMEOUT_US
            )


def is_record(version: int, record: str) -> bool:
    """Whether a text is the record of that version."""
    payload = audit.read_payload(record)
    return payload is not None and payload["version"] == version
