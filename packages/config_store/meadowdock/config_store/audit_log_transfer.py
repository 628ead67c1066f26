"""The audit log between members: compared by digest, pulled in bounded pieces.

A member that lacks records asks for them, segment by segment. Each piece is durable here before the
next is asked for, so a transfer that was interrupted resumes where it was.
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
from meadowdock.consensus import NoQuorum, holds_majorities
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.store import Store
    from meadowdock.process import Node

RunOnQuorum = Callable[..., Awaitable[None]]

RUN_INTERVAL_US = SECOND
REQUEST_TIMEOUT_US = SECOND
HEDGE_DELAY_US = 200 * MILLISECOND  # without an answer by then the next member is asked too
CATCH_UP_TIMEOUT_US = 20 * SECOND  # of one round; what is left comes with the next
NEWCOMER_TIMEOUT_US = 2 * SECOND  # at a change of members, beyond the quorum
CATCH_UP_RETRY_US = 200 * MILLISECOND


class AuditLogTransfer:
    """Pulls the records that this member lacks, and answers the other members that pull theirs.

    Invariants: one catch-up runs at a time, so nothing is pulled twice; nothing is sent that was
    not asked for, and no message holds more than RECORDS_PER_SEGMENT records.
    """

    handlers = Handlers()

    def __init__(
        self,
        node: Node,
        store: Store,
        others: Callable[[], dict[str, str]],
        record_repair: Callable[..., None],
    ) -> None:
        """others: gives {disk id: address} of the other members. record_repair: is told of what was
        pulled."""
        self.node, self.store = node, store
        self.others, self.record_repair = others, record_repair
        self.round_number = 0
        self.pulling = trio.Lock()

    @property
    def audit_log(self) -> AuditLog:
        """The audit log on this disk."""
        return self.store.audit_log

    async def run(self) -> None:
        """Seal what is complete and catch up, at a steady pace."""
        while True:
            try:
                await self.audit_log.seal()
                if self.store.is_voter:
                    await self.compare()
            except OSError:
                pass  # the disk can't be written: again in the next round
            await sleep_us(RUN_INTERVAL_US)

    # ------------------------------------------------------------ comparing

    async def compare(self) -> None:
        """With the next member: by one digest, and only if that differs by those of the segments."""
        others = sorted(self.others().values())
        if not others:
            return
        self.round_number += 1
        address = others[self.round_number % len(others)]
        try:
            digest = await self.ask(address, "trail.digest", None)
            if digest != self.audit_log.state().digest():
                since = self.audit_log.first_missing_segment()
                fields = await self.ask(address, "trail.state", since)
                state = AuditLogState.from_wire(fields)
                await self.catch_up(state, monotonic_us() + CATCH_UP_TIMEOUT_US)
        except (ConnectionFailed, Rejected):
            pass

    async def ask(self, address: str, method: str, args: object) -> Any:
        """Call one member.

        :raises ConnectionFailed: there is no answer.
        :raises Rejected: it refuses.
        """
        return await self.node.rpc.call(address, method, args, monotonic_us() + REQUEST_TIMEOUT_US)

    @handlers.on("trail.digest")
    async def on_digest(self, peer: object, _: None) -> str:
        """The digest of all records here."""
        return self.audit_log.state().digest()

    @handlers.on("trail.state")
    async def on_state(self, peer: object, since: int) -> dict[str, Any]:
        """Which records are here, of segments from the given one on."""
        return self.audit_log.state(since).to_wire()

    @handlers.on("trail.read")
    async def on_read(self, peer: object, versions: list[int]) -> Records:
        """Records of these versions, at most one segment."""
        return await self.audit_log.read(versions[:RECORDS_PER_SEGMENT])

    # ------------------------------------------------------------ pulling

    async def catch_up(self, state: AuditLogState, deadline: int) -> int:
        """Pull what is missing of a state, piece by piece.

        :returns: the number of records still missing at the deadline.
        :raises OSError: the disk can't be written.
        """
        with deadline_scope(deadline):
            async with self.pulling:
                await self.audit_log.adopt_beginning(state)
                for versions in by_segment(self.audit_log.versions_to_pull(state)):
                    records = await self.pull(versions, deadline)
                    await self.audit_log.put_batch(records)
                    if records:
                        self.record_repair("audit", first=min(records), records=len(records))
        return len(self.audit_log.versions_to_pull(state))

    async def pull(self, versions: list[int], deadline: int) -> Records:
        """{version: record} of up to one segment. One member after the other is asked, the next once
        those before failed, or answered nothing for HEDGE_DELAY_US."""
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

        addresses = sorted(self.others().values())
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

    async def record(self, version: int, deadline: int) -> str | None:
        """The record of a version before the current revision's, from here or from any member; None
        if the chain kept here begins later.

        :raises NoQuorum: no member that has it answers.
        """
        if version < self.audit_log.first_version:
            return None
        found = await self.audit_log.read([version]) or await self.pull([version], deadline)
        if version not in found:
            raise NoQuorum("audit record")
        return found[version]

    async def records(self, end: int, deadline: int) -> tuple[AuditLogState, Records]:
        """(the log's state, {version: record} up to, without, end), from here and the others."""
        states = await self.states(deadline)
        for state in states.values():
            await self.audit_log.adopt_beginning(state)
        found = await self.audit_log.read(range(self.audit_log.first_version, end))
        missing = [v for v in range(self.audit_log.first_version, end) if v not in found]
        for versions in by_segment(missing):
            if monotonic_us() < deadline:
                found |= await self.pull(versions, deadline)
        return self.audit_log.state(), dict(sorted(found.items()))

    # ------------------------------------------------------------ a change of members

    async def states(self, deadline: int) -> dict[str, AuditLogState]:
        """{disk id: AuditLogState} of the other members that answer."""
        asks = {d: (a, "trail.state", 0) for d, a in self.others().items()}
        responses = await self.node.rpc.successful_responses(
            asks, min(deadline, monotonic_us() + REQUEST_TIMEOUT_US)
        )
        return {disk: AuditLogState.from_wire(fields) for disk, fields in responses.items()}

    async def transfer_to_quorum(self, run_on_quorum: RunOnQuorum, deadline: int) -> None:
        """A quorum of all members gets what a majority of the voters so far has: each record before
        the current revision's is on such a majority. Members pull; nothing is pushed. Newcomers are
        waited for, within NEWCOMER_TIMEOUT_US: one of them may be gone for good.

        run_on_quorum: runs the first function here and the second with each other member's address.

        :raises NoQuorum: too few members answer, or are complete by the deadline.
        """
        state = await self.state_of_majority(deadline)
        fields = state.to_wire()
        newcomers = self.newcomers()

        async def catch_up_here() -> None:
            while await self.catch_up(state, deadline):
                await sleep_us(CATCH_UP_RETRY_US)

        async def catch_up_there(address: str) -> None:
            try:
                while await self.node.rpc.call(address, "trail.catch_up", fields, deadline):
                    await sleep_us(CATCH_UP_RETRY_US)
            finally:
                if address in newcomers:
                    newcomers[address].set()

        await run_on_quorum(catch_up_here, catch_up_there, deadline)
        with deadline_scope(min(deadline - SECOND, monotonic_us() + NEWCOMER_TIMEOUT_US)):
            for ended in newcomers.values():
                await ended.wait()

    async def state_of_majority(self, deadline: int) -> AuditLogState:
        """All that this member and those that answer have.

        :raises NoQuorum: they are no majority of the voters so far.
        """
        state = self.audit_log.state()
        states = await self.states(deadline)
        voters = [list(self.store.membership.voters)]
        if not holds_majorities(voters, {self.store.disk, *states}):
            raise NoQuorum("audit trail")
        for other in states.values():
            state = state.merged_with(other)
        return state

    def newcomers(self) -> dict[str, trio.Event]:
        """{address: trio.Event} of the other disks that come in with the change under way."""
        newcomers = self.store.membership.newcomers
        disks = set(newcomers) - {self.store.disk}
        return {newcomers[disk]: trio.Event() for disk in disks}

    @handlers.on("trail.catch_up")
    async def on_catch_up(self, peer: object, fields: dict[str, Any]) -> int:
        """Pull what is missing of that state, for a second at most; how many records are still
        missing here."""
        with disk_failures_rejected():
            return await self.catch_up(
                AuditLogState.from_wire(fields), monotonic_us() + REQUEST_TIMEOUT_US
            )


def is_record(version: int, record: str) -> bool:
    """Whether a text is the record of that version."""
    facts = audit.read_payload(record)
    return facts is not None and facts["version"] == version
