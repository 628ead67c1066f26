"""Whom the next gossip exchange goes to: seeds, members, and those that lately didn't answer."""

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


def test_without_members_a_seed_is_asked_but_not_oneself(view, peers):
    assert {peers.choose(at) for at in range(20)} == {"seed"}
    view.seeds = ("me",)
    assert peers.choose(20) is None


def test_members_are_asked_and_now_and_then_a_seed(view, peers):
    view.merge([entry("a"), entry("b")], 0)
    assert {peers.choose(at) for at in range(20)} == {"a", "b"}
    assert peers.choose(SEED_INTERVAL + 1) == "seed"
    assert peers.choose(SEED_INTERVAL + 2) in ("a", "b")


def test_a_silent_peer_is_avoided_for_longer_each_time(view, peers):
    view.merge([entry("a"), entry("b")], 0)
    peers.note_failure("a", 0)
    assert {peers.choose(at) for at in range(20)} == {"b"}
    assert peers.backoffs["a"].until == 2 * BACKOFF_INITIAL
    for _ in range(20):
        peers.note_failure("a", 0)
    assert peers.backoffs["a"].until == BACKOFF_MAX
    peers.note_success("a")
    assert {peers.choose(at) for at in range(20)} == {"a", "b"}


def test_if_all_are_silent_they_are_asked_all_the_same(view, peers):
    view.merge([entry("a")], 0)
    peers.note_failure("a", 0)
    assert peers.choose(1) == "a"
