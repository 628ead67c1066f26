"""The peer of the next gossip exchange: seeds, members, and members that didn't answer."""

from __future__ import annotations

import random

import pytest

from meadowdock.membership import MemberEntry, MembershipView
from meadowdock.membership.peers import BACKOFF_INITIAL, BACKOFF_MAX, SEED_INTERVAL, PeerSelector


def entry(address):
    return MemberEntry(address, "mdproxy", "a", 1, 0, False, 0)


@pytest.fixture
def view():
    return MembershipView(entry("me"), ("me", "seed"), random.Random(1), lambda *_, **__: None)


@pytest.fixture
def peers(view):
    return PeerSelector(view)


def test_without_members_a_seed_other_than_this_process_is_selected(view, peers):
    assert {peers.select(now) for now in range(20)} == {"seed"}
    view.seeds = ("me",)
    assert peers.select(20) is None


def test_members_are_selected_and_a_seed_after_each_seed_interval(view, peers):
    view.merge([entry("a"), entry("b")], 0)
    assert {peers.select(now) for now in range(20)} == {"a", "b"}
    assert peers.select(SEED_INTERVAL + 1) == "seed"
    assert peers.select(SEED_INTERVAL + 2) in ("a", "b")


def test_the_backoff_of_a_silent_peer_grows_up_to_its_limit(view, peers):
    view.merge([entry("a"), entry("b")], 0)
    peers.record_failure("a", 0)
    assert {peers.select(now) for now in range(20)} == {"b"}
    assert peers.backoffs["a"].until == 2 * BACKOFF_INITIAL
    for _ in range(20):
        peers.record_failure("a", 0)
    assert peers.backoffs["a"].until == BACKOFF_MAX
    peers.record_success("a")
    assert {peers.select(now) for now in range(20)} == {"a", "b"}


def test_a_peer_in_backoff_is_selected_if_there_is_no_other(view, peers):
    view.merge([entry("a")], 0)
    peers.record_failure("a", 0)
    assert peers.select(1) == "a"
