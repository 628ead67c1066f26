"""Errors of the consensus package, one class for each cause."""

from __future__ import annotations

from typing import ClassVar


class ConsensusError(Exception):
    """Base class. `key` is the register's key that the operation was about."""

    explanation: ClassVar[str]

    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key

    def __str__(self) -> str:
        return f"{self.key}: {self.explanation}"


class KeyStateLost(ConsensusError):
    """The newest file of a key failed its checksum: this acceptor can't vote on the key."""

    explanation = "its state on this disk is damaged, so this acceptor can't vote on it"


class NoQuorum(ConsensusError):
    """Too few acceptors answered, and none was asked to accept the change: it wasn't applied and
    never will be."""

    explanation = "no quorum answered in time; nothing was written"


class OutcomeUnknown(ConsensusError):
    """Acceptors were asked to accept the change and no durable quorum was seen to do so: it may
    have been applied, or may still be."""

    explanation = "the change was sent to acceptors, and whether it was applied is not known"
