"""Scenarios and the states of their exploration; immutable, so that they can be compared."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from meadowdock.model_checker.actor import ActorState
from meadowdock.model_checker.invariants import EndedOperation
from meadowdock.model_checker.messages import Message
from meadowdock.model_checker.model_process import Implementation
from meadowdock.model_checker.operations import Operation
from meadowdock.model_checker.replica import ReplicaState


@dataclass(frozen=True)
class Scenario:
    """What is explored, and the bounds of the exploration.

    :ivar voters: the voters in the initial membership record.
    :ivar spares: replicas that a membership change may add.
    :ivar max_faults: the maximum of failed messages, late answers, crashes and lost disks in one
        schedule.
    :ivar message_failures: whether messages may fail.
    :ivar crashes: the replicas that may crash.
    :ivar lost_disks: the replicas that may lose their disk; at most one does in a schedule.
    :ivar max_deviations: the maximum of deviations from the default schedule; None explores every
        order of delivery.
    """

    operations: tuple[Operation, ...]
    voters: tuple[str, ...] = ("x", "y", "z")
    spares: tuple[str, ...] = ()
    implementation: Implementation = Implementation()
    max_faults: int = 1
    message_failures: bool = True
    crashes: tuple[str, ...] = ()
    lost_disks: tuple[str, ...] = ()
    max_deviations: int | None = None


class State(NamedTuple):
    """One state of an exploration."""

    replicas: tuple[ReplicaState, ...]
    actors: tuple[ActorState | None, ...]  # None for an actor that has not started
    ended_before_start: tuple[int, ...]  # for each actor, how many had ended when it started
    messages: tuple[Message, ...]  # in flight
    ended: tuple[EndedOperation, ...]  # in the order in which they ended
    current_actor: int  # the default schedule delivers its messages first
    faults_left: int
    deviations_left: int
    disk_lost: bool

    def started_actor(self, actor: int) -> ActorState:
        """Return the state of an actor that has started."""
        actor_state = self.actors[actor]
        assert actor_state is not None
        return actor_state

    def running_actors(self) -> list[int]:
        """Return the actors that have started and not ended."""
        return [a.actor for a in self.actors if a is not None and a.outcome is None]

    def is_awaited(self, message: Message, actor: int) -> bool:
        """Return whether this actor waits for the message in its current round."""
        return (
            message.actor == actor
            and not message.orphan
            and message.round == self.started_actor(actor).round
        )

    def is_awaited_request(self, message: Message, actor: int) -> bool:
        """Return whether the message is a request whose answer this actor waits for."""
        return message.answer is None and self.is_awaited(message, actor)

    def with_actor(self, actor: ActorState) -> State:
        """Return the state after an actor has started or advanced, with the messages it sent."""
        previous = self.actors[actor.actor]
        messages, ended, ended_before_start = self.messages, self.ended, self.ended_before_start
        if previous is None:
            ended_before_start = replace_at(ended_before_start, actor.actor, len(ended))
        if previous is None or actor.round > previous.round:
            messages += tuple(
                Message(actor.actor, actor.round, *request) for request in actor.sent_requests
            )
        if actor.outcome is not None and (previous is None or previous.outcome is None):
            end = EndedOperation(actor.actor, actor.outcome, ended_before_start[actor.actor])
            ended = (*ended, end)
        return self._replace(
            actors=replace_at(self.actors, actor.actor, actor),
            messages=messages,
            ended=ended,
            ended_before_start=ended_before_start,
        )

    def with_replica(self, index: int, replica: ReplicaState) -> State:
        """Return the state with one replica's state replaced."""
        return self._replace(replicas=replace_at(self.replicas, index, replica))

    def with_message(self, index: int, message: Message) -> State:
        """Return the state with the message at this index replaced."""
        return self._replace(messages=replace_at(self.messages, index, message))

    def without_message(self, index: int) -> State:
        """Return the state without the message at this index."""
        return self._replace(messages=self.messages[:index] + self.messages[index + 1 :])


def replace_at(values: tuple[Any, ...], index: int, value: object) -> tuple[Any, ...]:
    """Return a copy of the tuple with the value at this index replaced.

    >>> replace_at((1, 2, 3), 1, 7)
    (1, 7, 3)
    """
    return (*values[:index], value, *values[index + 1 :])
