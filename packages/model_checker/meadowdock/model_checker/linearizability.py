"""A linearizability checker for recorded histories, after Wing & Gong with Lowe's cache of states.

Each key is judged by itself: a history is linearizable exactly if that of each of its keys is
(Herlihy & Wing). Calls that surely did nothing are left out by whoever records: if one had an
effect after all, some other call saw a state that no order of the rest explains.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Any

NEVER = float("inf")


@dataclass(frozen=True)
class RecordedCall:
    """One call, as its caller saw it. returned is NEVER if its outcome is unknown: it took effect
    at some moment after invoked, or never. observed: what it returned."""

    key: Hashable
    invoked: int
    returned: float
    action: Hashable
    observed: Hashable = None

    @property
    def unknown(self) -> bool:
        """Its outcome is unknown."""
        return self.returned == NEVER


@dataclass(frozen=True)
class SequentialModel:
    """What one key does without concurrency. apply(state, call) -> the state after the call, or
    None if a call that came here would not have returned what this one observed."""

    initial: Hashable
    apply: Callable[[Any, RecordedCall], Any]


def unexplained_keys(history: Iterable[RecordedCall], model: SequentialModel) -> list[Hashable]:
    """The keys whose calls no order explains, in the order of their first call."""
    by_key: dict[Hashable, list[RecordedCall]] = defaultdict(list)
    for call in sorted(history, key=lambda c: c.invoked):
        by_key[call.key].append(call)
    return [key for key, calls in by_key.items() if not linearizable(calls, model)]


def linearizable(calls: list[RecordedCall], model: SequentialModel) -> bool:
    """Is there an order of these calls of one key, by their times, that the model explains?

    >>> register = SequentialModel(0, lambda state, call: (
    ...     call.action if call.action else state if call.observed == state else None))
    >>> write, read = RecordedCall("k", 0, 9, 1), lambda a, b, seen: RecordedCall("k", a, b, 0, seen)
    >>> linearizable([write, read(1, 2, 1), read(3, 4, 1)], register)
    True
    >>> linearizable([write, read(1, 2, 1), read(3, 4, 0)], register)
    False
    """
    calls = sorted(calls, key=lambda c: (c.invoked, c.returned))
    required = sum(1 << index for index, call in enumerate(calls) if not call.unknown)
    seen: set[tuple[int, Hashable]] = set()
    stack: list[tuple[int, Hashable]] = [(0, model.initial)]
    while stack:
        done, state = stack.pop()
        if done & required == required:
            return True
        for index in next_indices(calls, done):
            after = model.apply(state, calls[index])
            following = done | 1 << index, after
            if after is not None and following not in seen:
                seen.add(following)
                stack.append(following)
    return False


def next_indices(calls: list[RecordedCall], done: int) -> list[int]:
    """Those that may come next: begun before every call that is not done had returned."""
    earliest = NEVER
    found = []
    for index, call in enumerate(calls):
        if call.invoked > earliest:
            break
        if not done >> index & 1:
            found.append(index)
            earliest = min(earliest, call.returned)
    return [index for index in found if calls[index].invoked <= earliest]
