"""Scenarios and the states of their exploration: immutable, so that they can be compared."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from meadowdock.model_checker.actor import ActorState
from meadowdock.model_checker.invariants import EndedOperation
from meadowdock.model_checker.messages import Message
from meadowdock.model_checker.operations import Operation
from meadowdock.model_checker.process import Implementation
from meadowdock.model_checker.replica import ReplicaState


@dataclass(frozen=True)
class Scenario:
    """What is explored, and its bounds. voters: of the first membership record. spares: replicas
    that a change of members may bring in. faults: failed messages, crashes and expiries in one
    schedule; a lost disk is one as well."""

    operations: tuple[Operation, ...]
    voters: tuple[str, ...] = ("x", "y", "z")
    spares: tuple[str, ...] = ()
    implementation: Implementation = Implementation()
    faults: int = 1
    failures: bool = True
    crashes: tuple[str, ...] = ()
    lost_disks: tuple[str, ...] = ()
    deviations: int | None = None  # None: every order of delivery; else so many from the default


class State(NamedTuple):
    """One state of an exploration. actors: the state of each, or None before it begins.
    ended_before: how many actors had ended when each began. ended: the actors that have, in order.
    current_actor: whose messages come first by default. faults, deviations: how many are left."""

    replicas: tuple[ReplicaState, ...]
    actors: tuple[ActorState | None, ...]
    ended_before: tuple[int, ...]
    messages: tuple[Message, ...]
    ended: tuple[EndedOperation, ...]
    current_actor: int
    faults: int
    deviations: int
    disk_lost: bool

    def started(self, actor: int) -> ActorState:
        """The state of an actor that has begun."""
        found = self.actors[actor]
        assert found is not None
        return found

    def running_actors(self) -> list[int]:
        """The actors that have begun and not ended."""
        return [a.actor for a in self.actors if a is not None and a.outcome is None]

    def is_current(self, message: Message, actor: int) -> bool:
        """Whether this actor waits for the message."""
        return (
            message.actor == actor
            and not message.orphan
            and message.round == self.started(actor).round
        )

    def is_awaited_request(self, message: Message, actor: int) -> bool:
        """Whether it is a request of this actor that may still count in its round."""
        return message.answer is None and self.is_current(message, actor)

    def with_actor(self, actor: ActorState) -> State:
        """The state once an actor went on: with what it sent, if it began a round."""
        former = self.actors[actor.actor]
        messages, ended, ended_before = self.messages, self.ended, self.ended_before
        if former is None:
            ended_before = replaced(ended_before, actor.actor, len(ended))
        if former is None or actor.round > former.round:
            messages += tuple(Message(actor.actor, actor.round, *sent) for sent in actor.sent)
        if actor.outcome is not None and (former is None or former.outcome is None):
            end = EndedOperation(actor.actor, actor.outcome, ended_before[actor.actor])
            ended = (*ended, end)
        return self._replace(
            actors=replaced(self.actors, actor.actor, actor),
            messages=messages,
            ended=ended,
            ended_before=ended_before,
        )

    def with_replica(self, index: int, replica: ReplicaState) -> State:
        """The state with another state of one replica."""
        return self._replace(replicas=replaced(self.replicas, index, replica))

    def with_message(self, index: int, message: Message) -> State:
        """The state with another message at this index."""
        return self._replace(messages=replaced(self.messages, index, message))

    def without_message(self, index: int) -> State:
        """The state without the message at this index."""
        return self._replace(messages=self.messages[:index] + self.messages[index + 1 :])


def replaced(values: tuple[Any, ...], index: int, value: object) -> tuple[Any, ...]:
    """The tuple with another value at this index.

    >>> replaced((1, 2, 3), 1, 7)
    (1, 7, 3)
    """
    return (*values[:index], value, *values[index + 1 :])
