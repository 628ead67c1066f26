"""Evaluation of the answers to a broadcast.

Answers are mappings from member to answer; a member whose request failed is not in them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from meadowdock.consensus.ballot import ZERO_BALLOT, Ballot
from meadowdock.consensus.messages import Acceptance, AcceptedPair, Answer, Promise, Refusal
from meadowdock.consensus.quorum import VoterSets

# Whether a write may be acknowledged once these members have accepted it.
QuorumRule = Callable[[VoterSets, Iterable[str]], bool]


class HighestBallot(NamedTuple):
    """The highest accepted ballot among a set of answers, and the members that accepted it."""

    ballot: Ballot
    members: tuple[str, ...]


def granted_by(answers: Mapping[str, Answer]) -> list[str]:
    """Return the members that granted a prepare or a write, in the order of their answers."""
    return [m for m, answer in answers.items() if isinstance(answer, Promise | Acceptance)]


def refused_ballots(answers: Mapping[str, Answer]) -> list[Ballot]:
    """Return the higher ballots because of which a prepare or a write was refused."""
    return [answer.promised for answer in answers.values() if isinstance(answer, Refusal)]


def is_decided(answers: Mapping[str, Answer], voter_sets: VoterSets, rule: QuorumRule) -> bool:
    """Return whether a phase of a ballot needs no further answers.

    It is decided once it is granted, or once a quorum answered with at least one refusal: waiting
    for the members that have not answered would only delay the next attempt.
    """
    if rule(voter_sets, granted_by(answers)):
        return True
    return voter_sets.is_quorum(answers) and bool(refused_ballots(answers))


def highest_promised_value(answers: Mapping[str, Answer]) -> Any:
    """Return the value with the highest accepted ballot among the promises, or None without one."""
    promises = [answer for answer in answers.values() if isinstance(answer, Promise)]
    newest = max(promises, key=lambda promise: promise.accepted)
    return newest.value if newest.accepted != ZERO_BALLOT else None


def agreed_pair(answers: Mapping[str, AcceptedPair], voter_sets: VoterSets) -> AcceptedPair | None:
    """Return the highest accepted pair if a quorum has accepted it, else None.

    >>> new, old = AcceptedPair(Ballot(2, "x"), 7), AcceptedPair(Ballot(1, "y"), 6)
    >>> agreed_pair({"a": new, "b": new, "c": old}, VoterSets.from_sets(["abc"])).value
    7
    >>> agreed_pair({"a": new, "b": old, "c": old}, VoterSets.from_sets(["abc"])) is None
    True
    """
    highest = highest_ballot(answers)
    if not voter_sets.is_quorum(highest.members):
        return None
    return next(pair for pair in answers.values() if pair.ballot == highest.ballot)


def highest_ballot(answers: Mapping[str, AcceptedPair]) -> HighestBallot:
    """Return the highest accepted ballot and the members that accepted it.

    A write in progress changes at least one of the two.

    >>> new, old = AcceptedPair(Ballot(2, "x"), 7), AcceptedPair(Ballot(1, "y"), 6)
    >>> highest_ballot({"a": new, "b": new, "c": old}).members
    ('a', 'b')
    """
    ballot = max((pair.ballot for pair in answers.values()), default=ZERO_BALLOT)
    members = (member for member, pair in answers.items() if pair.ballot == ballot)
    return HighestBallot(ballot, tuple(sorted(members)))
