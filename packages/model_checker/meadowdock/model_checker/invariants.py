"""What must hold in every state of an exploration."""

from __future__ import annotations

from itertools import combinations
from typing import Any, NamedTuple

from meadowdock.consensus import Ballot
from meadowdock.model_checker.messages import Ending, Outcome
from meadowdock.model_checker.operations import KEY, MoveMembers, Operation
from meadowdock.model_checker.replica import ReplicaState


class EndedOperation(NamedTuple):
    """An actor's end. known_at_start: how many had ended when it began."""

    actor: int
    outcome: Outcome
    known_at_start: int


class Violation(NamedTuple):
    """A broken invariant."""

    invariant: str
    detail: str


Value = tuple[Any, ...]
Replicas = tuple[ReplicaState, ...]
Ended = tuple[EndedOperation, ...]
Operations = tuple[Operation, ...]


def broken_invariant(replicas: Replicas, ended: Ended, operations: Operations) -> Violation | None:
    """The first invariant that is broken, or None."""
    return (
        one_value_per_ballot(replicas)
        or single_history(ended, operations)
        or no_stale_value(ended, operations)
        or not_applied_is_absent(replicas, ended, operations)
    )


def one_value_per_ballot(replicas: Replicas) -> Violation | None:
    """No two replicas accepted different values under one ballot of a key."""
    accepted: dict[tuple[str, Ballot], Any] = {}
    for replica in replicas:
        for key, state in replica.keys.items():
            if accepted.setdefault((key, state.accepted), state.value) != state.value:
                detail = f"{key} at {tuple(state.accepted)}: {state.value}"
                return Violation("one value per ballot", detail)
    return None


def single_history(ended: Ended, operations: Operations) -> Violation | None:
    """Of two values that operations observed, one is an ancestor of the other."""
    values = [end.outcome.value for end in observers(ended, operations)]
    for one, other in combinations(values, 2):
        if not extends(one, other) and not extends(other, one):
            return Violation("single history", f"{one} and {other}")
    return None


def no_stale_value(ended: Ended, operations: Operations) -> Violation | None:
    """An operation observes no less than what had been observed before it began."""
    observed = observers(ended, operations)
    for later in observed:
        for earlier in observed:
            precedes = ended.index(earlier) < later.known_at_start
            if precedes and not extends(later.outcome.value, earlier.outcome.value):
                detail = f"{later.outcome.value} after {earlier.outcome.value}"
                return Violation("no stale value", detail)
    return None


def not_applied_is_absent(
    replicas: Replicas, ended: Ended, operations: Operations
) -> Violation | None:
    """No replica ever stores a change whose operation ended as surely not applied."""
    not_applied = {
        operations[end.actor].name for end in ended if end.outcome.ending is Ending.NOT_APPLIED
    }
    for replica in replicas:
        state = replica.keys.get(KEY)
        if state is not None and not_applied & set(state.value or ()):
            return Violation("not applied is absent", f"{not_applied} in {state.value}")
    return None


def observers(ended: Ended, operations: Operations) -> list[EndedOperation]:
    """The ends of the operations that observed the register's value."""
    return [
        end
        for end in ended
        if end.outcome.ending is Ending.ACKNOWLEDGED
        and not isinstance(operations[end.actor], MoveMembers)
    ]


def extends(later: Value, earlier: Value) -> bool:
    """Whether the earlier value is an ancestor of the later."""
    return later[: len(earlier)] == earlier
