"""Collects the parts of a body; a large one is stored only once."""

from __future__ import annotations


class BodyBuffer:
    """The parts of a body, joined.

    Invariant: size is the number of bytes; joined is None as long as there is one part at most.

    :param store: the type of a joined body.
    """

    __slots__ = ("store", "first", "joined", "size")

    def __init__(self, store: type[bytearray] = bytearray) -> None:
        self.store = store
        self.first = b""
        self.joined: bytearray | None = None
        self.size = 0

    def append(self, part: bytes) -> None:
        """Add a part."""
        if self.joined is not None:
            self.joined += part
        elif not self.size:
            self.first = part
        else:
            self.joined = self.store(self.first)
            self.joined += part
            self.first = b""
        self.size += len(part)

    def take(self) -> bytes | bytearray:
        """Return the body."""
        if self.joined is None:
            return self.first
        return self.joined
