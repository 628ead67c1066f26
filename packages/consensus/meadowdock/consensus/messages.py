"""Requests from proposers to acceptors and the answers to them, with their encoding on the wire.

Method names and the order of arguments are part of the protocol between processes; `tests/golden`
contains a recorded frame of each request.
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
    """The interface of all requests: method name, encoded arguments, and decoding of the answer."""

    @property
    def method(self) -> str:
        """The name of the method on the wire."""

    def to_wire(self) -> list[Any]:
        """Encode the arguments."""

    def answer_from_wire(self, sent: Sequence[Any]) -> AnswerT:
        """Decode an acceptor's answer."""


@dataclass(frozen=True, slots=True)
class Promise:
    """A granted prepare: the acceptor will refuse lower ballots, and last accepted this pair."""

    accepted: Ballot
    value: Any


@dataclass(frozen=True, slots=True)
class Acceptance:
    """A granted write: the acceptor has stored the value under this ballot on its disk."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused prepare or write: the acceptor had already promised this higher ballot."""

    promised: Ballot


class AcceptedPair(NamedTuple):
    """The answer to a read: the ballot last accepted for a key, and the value accepted under it."""

    ballot: Ballot
    value: Any


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    """Asks an acceptor to promise that it will accept no lower ballot (phase 1 of Paxos)."""

    method: ClassVar[str] = "prepare"
    key: str
    ballot: Ballot

    def to_wire(self) -> list[Any]:
        """Encode the arguments."""
        return [self.key, tuple(self.ballot)]

    @staticmethod
    def answer_to_wire(answer: Promise | Refusal) -> tuple[str, tuple[Any, ...], Any]:
        """Encode an answer."""
        if isinstance(answer, Refusal):
            return REFUSED, tuple(answer.promised), None
        return GRANTED, tuple(answer.accepted), answer.value

    @staticmethod
    def answer_from_wire(sent: Sequence[Any]) -> Promise | Refusal:
        """Decode an answer."""
        verdict, ballot, value = sent
        if verdict == GRANTED:
            return Promise(Ballot(*ballot), value)
        return Refusal(Ballot(*ballot))


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Asks an acceptor to accept a value under a ballot (phase 2, the accept message, of Paxos)."""

    method: ClassVar[str] = "write"
    key: str
    ballot: Ballot
    value: Any

    def to_wire(self) -> list[Any]:
        """Encode the arguments."""
        return [self.key, tuple(self.ballot), self.value]

    @staticmethod
    def answer_to_wire(answer: Acceptance | Refusal) -> tuple[str, tuple[Any, ...]]:
        """Encode an answer."""
        if isinstance(answer, Refusal):
            return REFUSED, tuple(answer.promised)
        return GRANTED, tuple(answer.ballot)

    @staticmethod
    def answer_from_wire(sent: Sequence[Any]) -> Acceptance | Refusal:
        """Decode an answer."""
        verdict, ballot = sent
        if verdict == GRANTED:
            return Acceptance(Ballot(*ballot))
        return Refusal(Ballot(*ballot))


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Asks an acceptor for its accepted pair of a key, without changing its state."""

    method: ClassVar[str] = "read"
    key: str

    def to_wire(self) -> list[Any]:
        """Encode the arguments."""
        return [self.key]

    @staticmethod
    def answer_to_wire(answer: AcceptedPair) -> tuple[tuple[Any, ...], Any]:
        """Encode an answer."""
        return tuple(answer.ballot), answer.value

    @staticmethod
    def answer_from_wire(sent: Sequence[Any]) -> AcceptedPair:
        """Decode an answer."""
        ballot, value = sent
        return AcceptedPair(Ballot(*ballot), value)


Answer = Promise | Acceptance | Refusal | AcceptedPair
