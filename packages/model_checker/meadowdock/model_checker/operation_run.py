"""One run of an operation: its real code, from its start through a sequence of events."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import ormsgpack
import trio

from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.model_checker.controlled_rpc import ControlledRpc, SentRequest
from meadowdock.model_checker.kernel import Kernel
from meadowdock.model_checker.messages import Ending, Event, EventKind, Outcome
from meadowdock.model_checker.operations import Operation
from meadowdock.model_checker.process import (
    Implementation,
    ModelMembers,
    make_node,
    make_store,
)
from meadowdock.runtime import SECOND, monotonic_us

OPERATION_TIMEOUT = 2 * SECOND

Broadcast = Callable[..., Awaitable[Any]]


class BroadcastCounter:
    """Counts, of one process, the broadcasts that wait for answers."""

    def __init__(self) -> None:
        self.waiting = 0

    def counted(self, broadcast: Broadcast) -> Broadcast:
        """The broadcast, counted while it waits."""

        async def wrapper(*args: object) -> Any:
            self.waiting += 1
            try:
                return await broadcast(*args)
            finally:
                self.waiting -= 1

        return wrapper


def sequential_transfer(process: ModelMembers) -> Callable[..., Awaitable[None]]:
    """The state transfer of a process, one key after the other: then a round is one broadcast."""
    transfer_keys = process.transfer_keys

    async def wrapper(keys: list[str], deadline: int, enough: Callable[..., bool]) -> None:
        for key in keys:
            await transfer_keys([key], deadline, enough)

    return wrapper


class OperationRun:
    """One run. record: the packed membership record that its process begins with.

    Invariants: round is the number of rounds begun, a round being all requests that are sent before
    the operation waits; outcome is set once the operation has ended."""

    def __init__(
        self, operation: Operation, implementation: Implementation, kernel: Kernel, record: bytes
    ) -> None:
        self.operation = operation
        self.implementation = implementation
        self.kernel = kernel
        self.record = record
        self.rpc = ControlledRpc()
        self.counter = BroadcastCounter()
        self.outcome: Outcome | None = None
        self.round = 0
        self.sent: tuple[SentRequest, ...] = ()  # in the last round
        self.process: Any = None
        self.deadline = 0

    async def begin(self, nursery: trio.Nursery) -> None:
        """Start the operation, up to its first requests."""
        node = make_node(self.operation.name, self.rpc, nursery)
        record = ormsgpack.unpackb(self.record)
        store = await make_store(self.implementation, self.operation.name, record)
        target = {disk: disk for disk in getattr(self.operation, "target", ())}
        self.process = process = self.implementation.members(node, store, target)
        process.proposer = process.make_proposer()
        process.proposer.broadcast = self.counter.counted(process.proposer.broadcast)
        process.broadcast_to = self.counter.counted(process.broadcast_to)
        process.transfer_keys = sequential_transfer(process)
        self.deadline = monotonic_us() + OPERATION_TIMEOUT
        nursery.start_soon(self.run_operation)
        await self.proceed()

    async def run_operation(self) -> None:
        """The operation; notes how it ended."""
        try:
            value = await self.operation.run(self.process, self.deadline)
            self.outcome = Outcome(Ending.ACKNOWLEDGED, value)
        except NoQuorum:
            self.outcome = Outcome(Ending.NOT_APPLIED)
        except (OutcomeUnknown, MembershipConflict):
            self.outcome = Outcome(Ending.UNKNOWN)

    async def proceed(self) -> None:
        """Run until it waits for answers to requests that it sent, or has ended."""
        await self.kernel.settle()
        while self.outcome is None and not self.rpc.unassigned and self.counter.waiting == 0:
            if not await self.kernel.next_timer():
                raise AssertionError(f"{self.operation.name} waits for nothing")
        if self.rpc.unassigned:
            self.round += 1
            self.sent = self.rpc.close_round(self.round)

    async def feed(self, event: Event) -> None:
        """Give it one event, up to its next requests."""
        if event.kind is EventKind.EXPIRED:
            await self.kernel.advance_to(self.deadline / SECOND)
        else:
            self.rpc.resolve(event)
        await self.proceed()

    @property
    def known_version(self) -> int:
        """The version of the membership record that its process knows."""
        version: int = self.process.store.membership.version
        return version
