"""Errors of the consensus package, one class for each cause."""

from __future__ import annotations

from typing import ClassVar


class ConsensusError(Exception):
    """Base class of the package's errors.

    :ivar key: the register's key that the operation was about.
    """

    explanation: ClassVar[str]

    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key

    def __str__(self) -> str:
        return f"{self.key}: {self.explanation}"


class KeyStateLost(ConsensusError):
    """The newest file of a key failed its checksum, so this acceptor can't vote on the key."""

    explanation = "its state on this disk is damaged, so this acceptor can't vote on it"


class NoQuorum(ConsensusError):
    """No ballot was granted by a quorum in time, so no acceptor was asked to accept the change.

    The change was not applied and never will be. For a read, it means that no quorum agreed.
    """

    explanation = "no quorum answered in time; nothing was written"


class OutcomeUnknown(ConsensusError):
    """Acceptors were asked to accept the change, but no durable quorum confirmed it.

    The change may have been applied, or may still be applied by another proposer.
    """

    explanation = "the change was sent to acceptors, and whether it was applied is not known"
