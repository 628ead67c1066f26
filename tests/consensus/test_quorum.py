"""Which members form a quorum or a durable quorum, also under a joint configuration."""

from __future__ import annotations

import pytest

from meadowdock.consensus import FailureDomain, Tolerance, VoterSets

QUORUMS = [
    ([], "a", False),
    (["abc"], "a", False),
    (["abc"], "ab", True),
    (["abc"], "adef", False),  # only voters count
    (["abcd"], "ab", False),
    (["abc", "cde"], "abc", False),  # a joint configuration needs a majority of both sets
    (["abc", "cde"], "bcd", True),
    (["abc", "cde"], "abde", True),
]


@pytest.mark.parametrize(("sets", "members", "expected"), QUORUMS)
def test_a_quorum_is_a_majority_of_each_voter_set(sets, members, expected):
    assert VoterSets.from_sets(sets).is_quorum(members) == expected


def test_an_excluded_member_does_not_count_towards_a_durable_quorum():
    voters = VoterSets.from_sets(["abc"], tolerance=Tolerance(disks=1))
    assert voters.is_durable("ab")
    assert not voters.without("a").is_durable("ab")
    assert voters.without("a").is_durable("abc")


def test_zones_are_required_only_while_the_zone_of_each_voter_is_known():
    domains = {"a": FailureDomain("x"), "b": FailureDomain("x"), "c": FailureDomain("y")}
    tolerance = Tolerance(zones=1)
    assert not VoterSets.from_sets(["abc"], domains, tolerance).is_durable("ab")
    assert VoterSets.from_sets(["abc"], domains, tolerance).is_durable("bc")
    del domains["c"]
    assert VoterSets.from_sets(["abc"], domains, tolerance).is_durable("ab")
