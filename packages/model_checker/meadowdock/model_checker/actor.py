"""An operation on the register as a deterministic machine: its real code, replayed event by event.

A coroutine can't be copied, so a state of it is the events that led there: to give it one more it
is run anew from its start. Each state is run once; an exploration asks for most of them often.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import ormsgpack
import trio

from meadowdock.config_store.exceptions import MembershipConflict
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.model_checker.kernel import Kernel
from meadowdock.model_checker.messages import Ending, Event, EventKind, Outcome
from meadowdock.model_checker.process import (
    Implementation,
    ModelMembers,
    make_node,
    make_store,
    packed,
)
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import SECOND, monotonic_us

KEY = "k"
DEADLINE = 2 * SECOND
IMPATIENT = 1  # us: a read that finds members apart twice alike writes again what stands


@dataclass(frozen=True)
class Operation:
    """One operation from one process that is no voter. after: names of those that must have ended
    before it begins. rounds: more of them count as the deadline."""

    name: str
    rounds: int
    after: tuple[str, ...] = ()

    async def run(self, process: ModelMembers, deadline: int) -> tuple:
        """The value that it was told."""
        raise NotImplementedError


@dataclass(frozen=True)
class Append(Operation):
    """A change that appends this operation's name, unless it is there already."""

    async def run(self, process: ModelMembers, deadline: int) -> tuple:
        """The value with this name in it."""

        def appended(old: list | None):
            old = old or []
            return old if self.name in old else [*old, self.name]

        return tuple(await process.proposer.change(KEY, appended, deadline))


@dataclass(frozen=True)
class Read(Operation):
    """A read; it does not wait for members that are apart to agree by themselves."""

    async def run(self, process: ModelMembers, deadline: int) -> tuple:
        """The value read."""
        process.proposer.read_repair_delay.current = IMPATIENT
        return tuple(await process.proposer.read(KEY, deadline) or ())


@dataclass(frozen=True)
class MoveMembers(Operation):
    """Old voters, then old and new together, transfer, then the new alone."""

    target: tuple[str, ...] = ()

    async def run(self, process: ModelMembers, deadline: int) -> tuple:
        """Nothing is told of the value."""
        await process.change_members(frozenset(self.target), deadline)
        return ()


class Sent(NamedTuple):
    """A request as its actor sent it."""

    replica: str
    method: str
    args: bytes


@dataclass(frozen=True, eq=False)
class View:
    """What the explorer sees of an actor; one object for each state of it. start: the membership record it began with, packed.
    history: for each round the events that came in it, in order; no order counts in `key`."""

    actor: int
    start: bytes
    key: tuple
    history: tuple
    sent: tuple  # what it sent in its last round
    outcome: Outcome | None
    version: int  # of the membership record that it knows

    @property
    def round(self) -> int:
        """How many rounds it has begun."""
        return len(self.history)


@dataclass
class Slot:
    """Where a request waits; without an answer, once done, it was lost."""

    done: trio.Event = field(default_factory=trio.Event)
    answer: bytes | None = None


class ParkedLinks:
    """Links whose requests wait until the explorer resolves them. Invariant: slots holds every
    request by (round, replica); new holds those that no round has yet."""

    def __init__(self) -> None:
        self.slots, self.new = {}, []

    async def call(self, address: str, method: str, args: object, deadline: int) -> object:
        """As of Links: waits until the explorer resolves it."""
        slot = Slot()
        self.new.append((Sent(address, method, packed(args)), slot))
        await slot.done.wait()
        if slot.answer is None:
            raise ConnectionFailed(True, "lost")
        told, *rest = ormsgpack.unpackb(slot.answer)
        if told == "rejected":
            raise Rejected(rest[0], **rest[1])
        return rest[0]

    def close_round(self, number: int) -> tuple[Sent, ...]:
        """The requests sent since the last call, which are those of this round."""
        sent = sorted(self.new, key=lambda pair: pair[0])
        for request, slot in sent:
            if (number, request.replica) in self.slots:
                raise AssertionError(f"two requests to {request.replica} in one round")
            self.slots[number, request.replica] = slot
        self.new = []
        return tuple(request for request, _ in sent)

    def resolve(self, event: Event) -> None:
        """Let the request of the event go on."""
        slot = self.slots[event.round, event.replica]
        if event.kind is EventKind.ANSWERED:
            slot.answer = event.answer
        slot.done.set()


class BroadcastCounter:
    """Counts, of one process, the broadcasts that wait for answers."""

    def __init__(self) -> None:
        self.waiting = 0

    def counted(self, broadcast: Callable) -> Callable:
        """The broadcast, counted while it waits."""

        async def wrapper(*args: object):
            self.waiting += 1
            try:
                return await broadcast(*args)
            finally:
                self.waiting -= 1

        return wrapper


def one_key_at_a_time(process: ModelMembers) -> Callable:
    """Transfer as it is, but sequential: then a round is one broadcast."""
    transfer_keys = process.transfer_keys

    async def wrapper(keys: list[str], deadline: int, enough: Callable) -> None:
        for key in keys:
            await transfer_keys([key], deadline, enough)

    return wrapper


class Run:
    """One run of an operation from its start. Invariant: outcome is set once it has ended."""

    def __init__(self, actors: Actors, actor: int, start: bytes) -> None:
        self.operation, self.kernel = actors.operations[actor], actors.kernel
        self.implementation, self.start = actors.implementation, start
        self.rpc, self.counter = ParkedLinks(), BroadcastCounter()
        self.outcome, self.round, self.sent = None, 0, ()
        self.process, self.deadline = None, 0

    async def begin(self, nursery: trio.Nursery) -> None:
        """Start the operation, up to its first requests."""
        node = make_node(self.operation.name, self.rpc, nursery)
        record = ormsgpack.unpackb(self.start)
        store = await make_store(self.implementation, self.operation.name, record)
        target = {disk: disk for disk in getattr(self.operation, "target", ())}
        self.process = self.implementation.members(node, store, target)
        self.process.proposer = self.process.make_proposer()
        self.process.proposer.broadcast = self.counter.counted(self.process.proposer.broadcast)
        self.process.broadcast_to = self.counter.counted(self.process.broadcast_to)
        self.process.transfer_keys = one_key_at_a_time(self.process)
        self.deadline = monotonic_us() + DEADLINE
        nursery.start_soon(self.work)
        await self.proceed()

    async def work(self) -> None:
        """The operation; notes how it ended."""
        try:
            value = await self.operation.run(self.process, self.deadline)
            self.outcome = Outcome(Ending.ACKNOWLEDGED, value)
        except NoQuorum:
            self.outcome = Outcome(Ending.NOT_APPLIED)
        except (OutcomeUnknown, MembershipConflict):
            self.outcome = Outcome(Ending.UNKNOWN)

    async def proceed(self) -> None:
        """Until it waits for answers of requests that it sent, or has ended."""
        await self.kernel.settle()
        while self.outcome is None and not self.rpc.new and self.counter.waiting == 0:
            if not await self.kernel.next_timer():
                raise AssertionError(f"{self.operation.name} waits for nothing")
        if self.rpc.new:
            self.round += 1
            self.sent = self.rpc.close_round(self.round)

    async def feed(self, event: Event) -> None:
        """Give it one event, up to its next requests."""
        if event.kind is EventKind.EXPIRED:
            await self.kernel.advance_to(self.deadline / SECOND)
        else:
            self.rpc.resolve(event)
        await self.proceed()


class Actors:
    """Invariant: views holds each state of an actor that was ever reached, by its key."""

    def __init__(
        self, operations: tuple[Operation, ...], implementation: Implementation, kernel: Kernel
    ) -> None:
        self.operations, self.implementation, self.kernel = operations, implementation, kernel
        self.views = {}
        self.runs = 0

    async def begin(self, actor: int, start: bytes) -> View:
        """The view of an actor that has just begun."""
        key = actor, start, ()
        if key not in self.views:
            self.views[key] = await self.run(actor, start, ())
        return self.views[key]

    async def after(self, view: View, event: Event) -> View:
        """The view once the actor has got this event as well."""
        key = view.actor, view.start, (*view.key[:-1], view.key[-1] | {event})
        if key not in self.views:
            history = (*view.history[:-1], (*view.history[-1], event))
            self.views[key] = await self.run(view.actor, view.start, history)
        return self.views[key]

    async def run(self, actor: int, start: bytes, history: tuple) -> View:
        """Run it from its start through this history."""
        self.runs += 1
        run = Run(self, actor, start)
        async with trio.open_nursery() as nursery:
            await run.begin(nursery)
            for event in (event for of_round in history for event in of_round):
                await run.feed(event)
            nursery.cancel_scope.cancel()
        if run.round > len(history):
            history = (*history, ())
        key = tuple(frozenset(of_round) for of_round in history)
        version = run.process.store.membership.version
        return View(actor, start, key, history, run.sent, run.outcome, version)
