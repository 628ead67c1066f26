"""An operation as a deterministic state machine: its production code, replayed event by event.

A coroutine can't be copied, so a state is represented by the events that lead to it. To apply one
more event, the operation is run again from its start. Each state is computed only once and cached,
since an exploration needs most of them many times.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import trio

from meadowdock.model_checker.controlled_rpc import SentRequest
from meadowdock.model_checker.kernel import Kernel
from meadowdock.model_checker.messages import Event, Outcome
from meadowdock.model_checker.model_process import Implementation
from meadowdock.model_checker.operation_run import OperationRun
from meadowdock.model_checker.operations import Operation

History = tuple[tuple[Event, ...], ...]  # for each round, its events in order
ActorKey = tuple[Any, ...]


@dataclass(frozen=True, eq=False)
class ActorState:
    """The state of an actor as the explorer sees it; equal states are the same object."""

    actor: int
    record: bytes  # the packed membership record that the actor started with
    key: tuple[frozenset[Event], ...]  # the events of each round, without their order
    history: History
    sent_requests: tuple[SentRequest, ...]  # in the last round
    outcome: Outcome | None
    version: int  # of the membership record that the actor knows

    @property
    def round(self) -> int:
        """The number of rounds started so far."""
        return len(self.history)


class Actors:
    """All actors of a scenario.

    Invariant: states contains each state of an actor that was reached so far, by its key.
    """

    def __init__(
        self, operations: tuple[Operation, ...], implementation: Implementation, kernel: Kernel
    ) -> None:
        self.operations = operations
        self.implementation = implementation
        self.kernel = kernel
        self.states: dict[ActorKey, ActorState] = {}
        self.runs = 0

    async def start(self, actor: int, record: bytes) -> ActorState:
        """Return the state of an actor that has just started."""
        key = actor, record, ()
        if key not in self.states:
            self.states[key] = await self.run(actor, record, ())
        return self.states[key]

    async def after(self, state: ActorState, event: Event) -> ActorState:
        """Return the state of an actor after a further event."""
        key = state.actor, state.record, (*state.key[:-1], state.key[-1] | {event})
        if key not in self.states:
            history = (*state.history[:-1], (*state.history[-1], event))
            self.states[key] = await self.run(state.actor, state.record, history)
        return self.states[key]

    async def run(self, actor: int, record: bytes, history: History) -> ActorState:
        """Run an actor from its start through a history, and return its state."""
        self.runs += 1
        run = OperationRun(self.operations[actor], self.implementation, self.kernel, record)
        async with trio.open_nursery() as nursery:
            await run.begin(nursery)
            for event in (event for round_events in history for event in round_events):
                await run.apply(event)
            nursery.cancel_scope.cancel()
        if run.round > len(history):
            history = (*history, ())
        key = tuple(frozenset(round_events) for round_events in history)
        return ActorState(
            actor, record, key, history, run.sent_requests, run.outcome, run.known_version
        )
