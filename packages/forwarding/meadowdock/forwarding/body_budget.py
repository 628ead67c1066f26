"""The limit of the request bodies that a process holds at once."""

from __future__ import annotations

# The part of a process's memory that bodies may take: a body that goes to a peer exists twice, and
# the process itself and one frame that is being built need the rest.
MEMORY_SHARE = 1 / 3
MEGABYTE = 1_000_000  # bytes


class BodyBudget:
    """Counts the bytes of the request bodies in hand, from their heads to their answers.

    Invariant: held is the sum of all reservations that were not released, and above the limit only
    if a single body is.

    :ivar limit: bytes, or None for no limit.
    """

    def __init__(self, memory_mb: int | None) -> None:
        self.limit = None if memory_mb is None else int(memory_mb * MEGABYTE * MEMORY_SHARE)
        self.held = 0

    def reserve(self, size: int) -> bool:
        """Reserve memory, and return whether there is enough; a body alone always gets it."""
        if self.limit is not None and self.held and self.held + size > self.limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Give a reservation back."""
        self.held -= size
