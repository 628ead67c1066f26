"""A slab: values in numbered slots, each reached by a handle of slot and generation.

A slot is used again once its value was taken; a handle to the earlier value then reaches nothing.

>>> slab = Slab()
>>> first = slab.put("a")
>>> slab.take(first)
'a'
>>> second = slab.put("b")
>>> first[0] == second[0], first == second
(True, False)
>>> slab.get(first) is None, slab.get(second)
(True, 'b')
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Generic, TypeVar

Handle = tuple[int, int]  # slot, generation
T = TypeVar("T")


class Slab(Generic[T]):
    """Values by handle; all operations but iteration take constant time."""

    # Invariants: generations[slot] grows by one at each take; values[slot] is VACANT iff
    # slot is in vacant; a handle (slot, generation) is live iff generations[slot] equals it
    # and the slot is not vacant.
    VACANT = object()

    def __init__(self) -> None:
        self.values: list[Any] = []
        self.generations: list[int] = []
        self.vacant: list[int] = []

    def __len__(self) -> int:
        return len(self.values) - len(self.vacant)

    def put(self, value: T) -> Handle:
        """Store a value and return its handle."""
        if self.vacant:
            slot = self.vacant.pop()
            self.values[slot] = value
        else:
            slot = len(self.values)
            self.values.append(value)
            self.generations.append(0)
        return slot, self.generations[slot]

    def live(self, handle: Handle) -> bool:
        """Whether the handle's value was not taken yet."""
        slot, generation = handle
        return (
            0 <= slot < len(self.values)
            and self.generations[slot] == generation
            and self.values[slot] is not Slab.VACANT
        )

    def get(self, handle: Handle) -> T | None:
        """The handle's value, or None once it was taken."""
        if not self.live(handle):
            return None
        value: T = self.values[handle[0]]
        return value

    def take(self, handle: Handle) -> T | None:
        """Remove and return the handle's value, or None if it was taken before."""
        if not self.live(handle):
            return None
        slot = handle[0]
        value: T = self.values[slot]
        self.values[slot] = Slab.VACANT
        self.generations[slot] += 1
        self.vacant.append(slot)
        return value

    def __iter__(self) -> Iterator[T]:
        return (value for value in list(self.values) if value is not Slab.VACANT)
