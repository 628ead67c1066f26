"""What must hold in every state of an exploration."""

from __future__ import annotations

from itertools import combinations
from typing import NamedTuple

from meadowdock.model_checker.actor import KEY, MoveMembers, Operation
from meadowdock.model_checker.messages import Ending, Outcome
from meadowdock.model_checker.replica import ReplicaState


class Ended(NamedTuple):
    """An actor's end. known_at_start: how many had ended when it began."""

    actor: int
    outcome: Outcome
    known_at_start: int


def broken_invariant(
    replicas: tuple[ReplicaState, ...], ended: tuple[Ended, ...], operations: tuple[Operation, ...]
) -> tuple[str, str] | None:
    """(invariant, detail) of the first one that is broken, or None."""
    return (
        one_value_per_ballot(replicas)
        or one_line_of_values(ended, operations)
        or never_back(ended, operations)
        or refused_is_nowhere(replicas, ended, operations)
    )


def one_value_per_ballot(replicas: tuple[ReplicaState, ...]) -> tuple[str, str] | None:
    """No two replicas accepted different values under one ballot of a key."""
    accepted = {}
    for replica in replicas:
        for key, (_, ballot, value) in replica.keys.items():
            if accepted.setdefault((key, ballot), value) != value:
                return "one value per ballot", f"{key} at {ballot}: {value}"
    return None


def told_values(ended: tuple[Ended, ...], operations: tuple[Operation, ...]) -> list[Ended]:
    """The ends of those that were told the register's value."""
    return [
        e
        for e in ended
        if e.outcome.ending is Ending.ACKNOWLEDGED
        and not isinstance(operations[e.actor], MoveMembers)
    ]


def extends(later: tuple, earlier: tuple) -> bool:
    """Is the earlier value an ancestor of the later?"""
    return later[: len(earlier)] == earlier


def one_line_of_values(
    ended: tuple[Ended, ...], operations: tuple[Operation, ...]
) -> tuple[str, str] | None:
    """Of two values that operations were told, one is an ancestor of the other."""
    values = [e.outcome.value for e in told_values(ended, operations)]
    for one, other in combinations(values, 2):
        if not extends(one, other) and not extends(other, one):
            return "one line of values", f"{one} and {other}"
    return None


def never_back(
    ended: tuple[Ended, ...], operations: tuple[Operation, ...]
) -> tuple[str, str] | None:
    """An operation is told no less than what had been told before it began."""
    told = told_values(ended, operations)
    for later in told:
        for earlier in told:
            if ended.index(earlier) < later.known_at_start and not extends(
                later.outcome.value, earlier.outcome.value
            ):
                return "never back", f"{later.outcome.value} after {earlier.outcome.value}"
    return None


def refused_is_nowhere(
    replicas: tuple[ReplicaState, ...], ended: tuple[Ended, ...], operations: tuple[Operation, ...]
) -> tuple[str, str] | None:
    """No replica ever holds what was told to be surely not done."""
    refused = {operations[e.actor].name for e in ended if e.outcome.ending is Ending.NOT_APPLIED}
    for replica in replicas:
        _, _, value = replica.keys.get(KEY, (None, None, None))
        if refused & set(value or ()):
            return "refused is nowhere", f"{refused} in {value}"
    return None
