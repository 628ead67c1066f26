"""A linearizability checker for recorded histories: Wing & Gong's search, with Lowe's state cache.

Each key is checked separately, since a history is linearizable if and only if its restriction to
each key is (Herlihy & Wing). The recorder omits calls that are known to have had no effect: if such
a call had one after all, some other call observed a state that no order of the recorded calls
explains.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Any

NEVER = float("inf")


@dataclass(frozen=True)
class RecordedCall:
    """One call, as its caller saw it.

    :ivar returned: when the call returned, or NEVER if its outcome is unknown: it took effect at
        some time after it was invoked, or not at all.
    :ivar observed: what the call returned.
    """

    key: Hashable
    invoked: int
    returned: float
    action: Hashable
    observed: Hashable = None

    @property
    def unknown(self) -> bool:
        """Whether the outcome of the call is unknown."""
        return self.returned == NEVER


@dataclass(frozen=True)
class SequentialModel:
    """The behaviour of one key without concurrency.

    :ivar apply: apply(state, call) returns the state after the call, or None if the call could not
        have returned what it observed in this state.
    """

    initial: Hashable
    apply: Callable[[Any, RecordedCall], Any]


def non_linearizable_keys(
    history: Iterable[RecordedCall], model: SequentialModel
) -> list[Hashable]:
    """Return the keys whose calls are not linearizable, in the order of their first call."""
    by_key: dict[Hashable, list[RecordedCall]] = defaultdict(list)
    for call in sorted(history, key=lambda c: c.invoked):
        by_key[call.key].append(call)
    return [key for key, calls in by_key.items() if not is_linearizable(calls, model)]


def is_linearizable(calls: list[RecordedCall], model: SequentialModel) -> bool:
    """Return whether these calls of one key are linearizable.

    They are if the model allows them in some order in which each call takes effect between its
    invocation and its return.

    >>> register = SequentialModel(0, lambda state, call: (
    ...     call.action if call.action else state if call.observed == state else None))
    >>> write, read = RecordedCall("k", 0, 9, 1), lambda a, b, seen: RecordedCall("k", a, b, 0, seen)
    >>> is_linearizable([write, read(1, 2, 1), read(3, 4, 1)], register)
    True
    >>> is_linearizable([write, read(1, 2, 1), read(3, 4, 0)], register)
    False
    """
    calls = sorted(calls, key=lambda c: (c.invoked, c.returned))
    required = sum(1 << index for index, call in enumerate(calls) if not call.unknown)
    visited: set[tuple[int, Hashable]] = set()
    stack: list[tuple[int, Hashable]] = [(0, model.initial)]  # (bit set of applied calls, state)
    while stack:
        applied, state = stack.pop()
        if applied & required == required:
            return True
        for index in next_indices(calls, applied):
            next_state = model.apply(state, calls[index])
            successor = applied | 1 << index, next_state
            if next_state is not None and successor not in visited:
                visited.add(successor)
                stack.append(successor)
    return False


def next_indices(calls: list[RecordedCall], applied: int) -> list[int]:
    """Return the calls that may be applied next.

    These are the calls invoked before any call that is not applied yet has returned.

    :param calls: sorted by invocation.
    :param applied: the bit set of the applied calls.
    """
    earliest_return = NEVER
    candidates = []
    for index, call in enumerate(calls):
        if call.invoked > earliest_return:
            break
        if not applied >> index & 1:
            candidates.append(index)
            earliest_return = min(earliest_return, call.returned)
    return [index for index in candidates if calls[index].invoked <= earliest_return]
