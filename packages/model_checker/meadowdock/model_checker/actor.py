"""An operation as a deterministic state machine: its real code, replayed event by event.

A coroutine can't be copied, so a state of it is the events that led there: to give it one more it
is run anew from its start. Each state is run once; an exploration asks for most of them often.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import trio

from meadowdock.model_checker.controlled_rpc import SentRequest
from meadowdock.model_checker.kernel import Kernel
from meadowdock.model_checker.messages import Event, Outcome
from meadowdock.model_checker.operation_run import OperationRun
from meadowdock.model_checker.operations import Operation
from meadowdock.model_checker.process import Implementation

History = tuple[tuple[Event, ...], ...]  # for each round the events that came in it, in order
ActorKey = tuple[Any, ...]


@dataclass(frozen=True, eq=False)
class ActorState:
    """What the explorer sees of an actor; one object for each state of it. record: the packed
    membership record that it began with. key: the events of each round, their order left out."""

    actor: int
    record: bytes
    key: tuple[frozenset[Event], ...]
    history: History
    sent: tuple[SentRequest, ...]  # in its last round
    outcome: Outcome | None
    version: int  # of the membership record that it knows

    @property
    def round(self) -> int:
        """How many rounds it has begun."""
        return len(self.history)


class Actors:
    """All actors of a scenario. Invariant: states holds each state of an actor that was ever
    reached, by its key."""

    def __init__(
        self, operations: tuple[Operation, ...], implementation: Implementation, kernel: Kernel
    ) -> None:
        self.operations = operations
        self.implementation = implementation
        self.kernel = kernel
        self.states: dict[ActorKey, ActorState] = {}
        self.runs = 0

    async def begin(self, actor: int, record: bytes) -> ActorState:
        """The state of an actor that has just begun."""
        key = actor, record, ()
        if key not in self.states:
            self.states[key] = await self.run(actor, record, ())
        return self.states[key]

    async def after(self, state: ActorState, event: Event) -> ActorState:
        """The state once the actor has got this event as well."""
        key = state.actor, state.record, (*state.key[:-1], state.key[-1] | {event})
        if key not in self.states:
            history = (*state.history[:-1], (*state.history[-1], event))
            self.states[key] = await self.run(state.actor, state.record, history)
        return self.states[key]

    async def run(self, actor: int, record: bytes, history: History) -> ActorState:
        """Run an actor from its start through a history."""
        self.runs += 1
        run = OperationRun(self.operations[actor], self.implementation, self.kernel, record)
        async with trio.open_nursery() as nursery:
            await run.begin(nursery)
            for event in (event for of_round in history for event in of_round):
                await run.feed(event)
            nursery.cancel_scope.cancel()
        if run.round > len(history):
            history = (*history, ())
        key = tuple(frozenset(of_round) for of_round in history)
        return ActorState(actor, record, key, history, run.sent, run.outcome, run.known_version)
