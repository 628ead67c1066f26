"""A slab: values in numbered slots, accessed by handles of slot and generation.

A slot is reused after its value was taken. Handles to the earlier value then find nothing, since
their generation is an older one.

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
    """Values by handle; all operations except iteration take constant time."""

    # Invariants: each take increments generations[slot]; values[slot] is FREE iff slot is in
    # free_slots; a handle (slot, generation) is live iff generations[slot] equals its generation
    # and the slot is not free.
    FREE = object()

    def __init__(self) -> None:
        self.values: list[Any] = []
        self.generations: list[int] = []
        self.free_slots: list[int] = []

    def __len__(self) -> int:
        return len(self.values) - len(self.free_slots)

    def put(self, value: T) -> Handle:
        """Store a value and return its handle."""
        if self.free_slots:
            slot = self.free_slots.pop()
            self.values[slot] = value
        else:
            slot = len(self.values)
            self.values.append(value)
            self.generations.append(0)
        return slot, self.generations[slot]

    def is_live(self, handle: Handle) -> bool:
        """Return whether the handle's value has not been taken yet."""
        slot, generation = handle
        return (
            0 <= slot < len(self.values)
            and self.generations[slot] == generation
            and self.values[slot] is not Slab.FREE
        )

    def get(self, handle: Handle) -> T | None:
        """Return the handle's value, or None once it was taken."""
        if not self.is_live(handle):
            return None
        value: T = self.values[handle[0]]
        return value

    def take(self, handle: Handle) -> T | None:
        """Remove and return the handle's value, or None if it was taken before."""
        if not self.is_live(handle):
            return None
        slot = handle[0]
        value: T = self.values[slot]
        self.values[slot] = Slab.FREE
        self.generations[slot] += 1
        self.free_slots.append(slot)
        return value

    def __iter__(self) -> Iterator[T]:
        return (value for value in list(self.values) if value is not Slab.FREE)
