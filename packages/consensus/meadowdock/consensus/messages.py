"""Requests from proposers to acceptors and the answers to them, with their forms on the wire.

The names of the methods and the order of the arguments are part of the protocol between processes:
`tests/golden` holds one frame of each.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, ClassVar, NamedTuple, Protocol, TypeVar

from meadowdock.consensus.ballot import Ballot

GRANTED = "yes"
REFUSED = "no"

AnswerT = TypeVar("AnswerT", covariant=True)


class Request(Protocol[AnswerT]):
    """What each request has: its method on the wire, its arguments and the form of its answer."""

    @property
    def method(self) -> str:
        """The name of the method on the wire."""

    def to_wire(self) -> list[Any]:
        """The arguments as they are sent."""

    def answer_from_wire(self, sent: Sequence[Any]) -> AnswerT:
        """An answer as it was sent."""


@dataclass(frozen=True, slots=True)
class Promise:
    """A granted prepare: the acceptor takes no lower ballot, and has accepted this pair so far."""

    accepted: Ballot
    value: Any


@dataclass(frozen=True, slots=True)
class Acceptance:
    """A granted write: the value is on the acceptor's disk under this ballot."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Refusal:
    """A prepare or write was refused, because this higher ballot had been promised."""

    promised: Ballot


class AcceptedPair(NamedTuple):
    """The answer to a read: the accepted ballot of a key and the value that belongs to it."""

    ballot: Ballot
    value: Any


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """Asks for the promise to accept no lower ballot (phase 1 of Paxos)."""

    method: ClassVar[str] = "prepare"
    key: str
    ballot: Ballot

    def to_wire(self) -> list[Any]:
        """The arguments as they are sent."""
        return [self.key, tuple(self.ballot)]

    @staticmethod
    def answer_to_wire(answer: Promise | Refusal) -> tuple[str, tuple[Any, ...], Any]:
        """An answer as it is sent."""
        if isinstance(answer, Refusal):
            return REFUSED, tuple(answer.promised), None
        return GRANTED, tuple(answer.accepted), answer.value

    @staticmethod
    def answer_from_wire(sent: Sequence[Any]) -> Promise | Refusal:
        """An answer as it was sent."""
        verdict, ballot, value = sent
        if verdict == GRANTED:
            return Promise(Ballot(*ballot), value)
        return Refusal(Ballot(*ballot))


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Asks to accept a value under a ballot (phase 2 of Paxos, there called accept)."""

    method: ClassVar[str] = "write"
    key: str
    ballot: Ballot
    value: Any

    def to_wire(self) -> list[Any]:
        """The arguments as they are sent."""
        return [self.key, tuple(self.ballot), self.value]

    @staticmethod
    def answer_to_wire(answer: Acceptance | Refusal) -> tuple[str, tuple[Any, ...]]:
        """An answer as it is sent."""
        if isinstance(answer, Refusal):
            return REFUSED, tuple(answer.promised)
        return GRANTED, tuple(answer.ballot)

    @staticmethod
    def answer_from_wire(sent: Sequence[Any]) -> Acceptance | Refusal:
        """An answer as it was sent."""
        verdict, ballot = sent
        if verdict == GRANTED:
            return Acceptance(Ballot(*ballot))
        return Refusal(Ballot(*ballot))


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Asks for the accepted pair of a key; it changes no state."""

    method: ClassVar[str] = "read"
    key: str

    def to_wire(self) -> list[Any]:
        """The arguments as they are sent."""
        return [self.key]

    @staticmethod
    def answer_to_wire(answer: AcceptedPair) -> tuple[tuple[Any, ...], Any]:
        """An answer as it is sent."""
        return tuple(answer.ballot), answer.value

    @staticmethod
    def answer_from_wire(sent: Sequence[Any]) -> AcceptedPair:
        """An answer as it was sent."""
        ballot, value = sent
        return AcceptedPair(Ballot(*ballot), value)


Answer = Promise | Acceptance | Refusal | AcceptedPair
