"""One run of an operation's production code, from its start through a sequence of events."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import ormsgpack
import trio

from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.model_checker.controlled_rpc import ControlledRpc, SentRequest
from meadowdock.model_checker.kernel import Kernel
from meadowdock.model_checker.messages import Event, EventKind, Outcome, OutcomeKind
from meadowdock.model_checker.model_process import (
    Implementation,
    ModelMembers,
    make_node,
    make_store,
)
from meadowdock.model_checker.operations import Operation
from meadowdock.runtime import SECOND, monotonic_us

OPERATION_TIMEOUT = 2 * SECOND  # us

Broadcast = Callable[..., Awaitable[Any]]


class BroadcastCounter:
    """Counts the broadcasts of one process that are waiting for answers."""

    def __init__(self) -> None:
        self.waiting = 0

    def wrap(self, broadcast: Broadcast) -> Broadcast:
        """Return the broadcast function, extended to be counted while it waits."""

        async def wrapper(*args: object) -> Any:
            self.waiting += 1
            try:
                return await broadcast(*args)
            finally:
                self.waiting -= 1

        return wrapper


def sequential_transfer(process: ModelMembers) -> Callable[..., Awaitable[None]]:
    """Return a state transfer that handles one key at a time, so that each round is a broadcast."""
    transfer_keys = process.transfer_keys

    async def wrapper(keys: list[str], deadline: int, is_enough: Callable[..., bool]) -> None:
        for key in keys:
            await transfer_keys([key], deadline, is_enough)

    return wrapper


class OperationRun:
    """One run of an operation.

    A round is all requests that the operation sends before it waits. Invariants: `round` is the
    number of rounds started so far; `outcome` is set once the operation has ended.

    :param record: the packed membership record that the process starts with.
    """

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
        self.sent_requests: tuple[SentRequest, ...] = ()  # in the last round
        self.process: Any = None
        self.deadline = 0

    async def begin(self, nursery: trio.Nursery) -> None:
        """Start the operation and run it until it waits."""
        node = make_node(self.operation.name, self.rpc, nursery)
        record = ormsgpack.unpackb(self.record)
        store = await make_store(self.implementation, self.operation.name, record)
        target_disks = {disk: disk for disk in getattr(self.operation, "target", ())}
        self.process = process = self.implementation.members(node, store, target_disks)
        process.proposer = process.make_proposer()
        process.proposer.broadcast = self.counter.wrap(process.proposer.broadcast)
        process.broadcast_to = self.counter.wrap(process.broadcast_to)
        process.transfer_keys = sequential_transfer(process)
        self.deadline = monotonic_us() + OPERATION_TIMEOUT
        nursery.start_soon(self.run_operation)
        await self.run_until_waiting()

    async def run_operation(self) -> None:
        """Run the operation to its end and record the outcome."""
        try:
            value = await self.operation.run(self.process, self.deadline)
            self.outcome = Outcome(OutcomeKind.ACKNOWLEDGED, value)
        except NoQuorum:
            self.outcome = Outcome(OutcomeKind.NOT_APPLIED)
        except (OutcomeUnknown, MembershipConflict):
            self.outcome = Outcome(OutcomeKind.UNKNOWN)

    async def run_until_waiting(self) -> None:
        """Run the operation until it waits for answers to its requests, or has ended."""
        await self.kernel.settle()
        while self.outcome is None and not self.rpc.unassigned and self.counter.waiting == 0:
            if not await self.kernel.advance_to_next_timer():
                raise AssertionError(
                    f"operation {self.operation.name} is blocked without a request or a timer"
                )
        if self.rpc.unassigned:
            self.round += 1
            self.sent_requests = self.rpc.close_round(self.round)

    async def apply(self, event: Event) -> None:
        """Pass an event to the operation, and run it until it waits again."""
        if event.kind is EventKind.EXPIRED:
            await self.kernel.advance_to(self.deadline / SECOND)
        else:
            self.rpc.resolve(event)
        await self.run_until_waiting()

    @property
    def known_version(self) -> int:
        """The version of the membership record that its process knows."""
        version: int = self.process.store.membership.version
        return version
