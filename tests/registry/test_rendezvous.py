"""Rendezvous hashing: the owner of each key, and which owners change when a candidate fails."""

from __future__ import annotations

import pytest

from meadowdock.registry.rendezvous import rank_candidates

KEYS = [str(number) for number in range(300)]
CANDIDATES = ["a", "b", "c"]


def owners(candidates):
    return {key: rank_candidates(key, candidates)[0] for key in KEYS}


def test_the_order_of_the_candidates_does_not_affect_the_owners():
    assert owners(CANDIDATES) == owners(CANDIDATES[::-1])


def test_without_candidates_the_ranking_is_empty():
    assert rank_candidates("collector", []) == []


@pytest.mark.parametrize("failed", CANDIDATES)
def test_only_the_keys_of_a_failed_candidate_change_their_owner(failed):
    before = owners(CANDIDATES)
    after = owners([candidate for candidate in CANDIDATES if candidate != failed])
    assert {before[key] for key in KEYS if after[key] != before[key]} == {failed}
