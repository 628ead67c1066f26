"""The invariants that must hold in every state of an exploration."""

from __future__ import annotations

from itertools import combinations
from typing import Any, NamedTuple

from meadowdock.consensus import Ballot
from meadowdock.model_checker.messages import Outcome, OutcomeKind
from meadowdock.model_checker.operations import KEY, ChangeMembers, Operation
from meadowdock.model_checker.replica import ReplicaState


class EndedOperation(NamedTuple):
    """The end of an operation."""

    actor: int
    outcome: Outcome
    ended_before_start: int  # how many operations had ended when this one started


class Violation(NamedTuple):
    """A violated invariant."""

    invariant: str
    detail: str


Value = tuple[Any, ...]
Replicas = tuple[ReplicaState, ...]
Ended = tuple[EndedOperation, ...]
Operations = tuple[Operation, ...]


def find_violation(replicas: Replicas, ended: Ended, operations: Operations) -> Violation | None:
    """Return the first violated invariant, or None if all hold."""
    return (
        one_value_per_ballot(replicas)
        or single_history(ended, operations)
        or no_stale_value(ended, operations)
        or not_applied_is_absent(replicas, ended, operations)
    )


def one_value_per_ballot(replicas: Replicas) -> Violation | None:
    """Check that no two replicas accepted different values under one ballot of a key."""
    accepted: dict[tuple[str, Ballot], Any] = {}
    for replica in replicas:
        for key, state in replica.keys.items():
            if accepted.setdefault((key, state.accepted), state.value) != state.value:
                detail = f"{key} at {tuple(state.accepted)}: {state.value}"
                return Violation("one value per ballot", detail)
    return None


def single_history(ended: Ended, operations: Operations) -> Violation | None:
    """Check that of any two values that operations observed, one extends the other."""
    values = [end.outcome.value for end in observers(ended, operations)]
    for first, second in combinations(values, 2):
        if not extends(first, second) and not extends(second, first):
            return Violation("single history", f"{first} and {second}")
    return None


def no_stale_value(ended: Ended, operations: Operations) -> Violation | None:
    """Check that an operation observes every value that had been observed before it started."""
    observed = observers(ended, operations)
    for later in observed:
        for earlier in observed:
            precedes = ended.index(earlier) < later.ended_before_start
            if precedes and not extends(later.outcome.value, earlier.outcome.value):
                detail = f"{later.outcome.value} after {earlier.outcome.value}"
                return Violation("no stale value", detail)
    return None


def not_applied_is_absent(
    replicas: Replicas, ended: Ended, operations: Operations
) -> Violation | None:
    """Check that no replica has accepted a change that was reported as not applied."""
    not_applied = {
        operations[end.actor].name for end in ended if end.outcome.kind is OutcomeKind.NOT_APPLIED
    }
    for replica in replicas:
        state = replica.keys.get(KEY)
        if state is not None and not_applied & set(state.value or ()):
            return Violation("not applied is absent", f"{not_applied} in {state.value}")
    return None


def observers(ended: Ended, operations: Operations) -> list[EndedOperation]:
    """Return the ends of the operations that observed a value of the register."""
    return [
        end
        for end in ended
        if end.outcome.kind is OutcomeKind.ACKNOWLEDGED
        and not isinstance(operations[end.actor], ChangeMembers)
    ]


def extends(later: Value, earlier: Value) -> bool:
    """Return whether the earlier value is a prefix of the later."""
    return later[: len(earlier)] == earlier
