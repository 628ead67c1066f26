"""Bounds on the connections at internal ports."""

from __future__ import annotations

import pytest

from meadowdock.runtime import client_memory, peer_connections
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.peer_connections import PeerLimits

DESCRIPTORS = 64  # 4 for handshakes, 12 for peers


@pytest.fixture(autouse=True)
def clock(monkeypatch):
    for module in (client_memory, peer_connections):
        monkeypatch.setattr(module, "monotonic_us", lambda: 0)


def make_limits(memory_mb=1):
    return PeerLimits(DESCRIPTORS, ClientMemory(memory_mb))


def accept(limits, closed, name, is_busy=False):
    entry = limits.accept(lambda: closed.append(name), lambda: is_busy)
    assert entry is not None
    return entry


def test_connections_that_prove_nothing_and_take_the_place_of_peers():
    limits, closed = make_limits(), []
    for number in range(10):
        assert accept(limits, closed, f"peer {number}").authenticated()
    for number in range(100):
        accept(limits, closed, f"unknown {number}")
    assert len(limits.handshakes.clients) <= 4
    assert len(limits.peers.clients) == 10
    assert len(closed) >= 96
    assert not [name for name in closed if name.startswith("peer")]


def test_peers_beyond_the_bound_close_one_that_rests_and_none_whose_call_runs():
    limits, closed = make_limits(), []
    for number in range(12):
        assert accept(limits, closed, number, is_busy=number > 0).authenticated()
    assert accept(limits, closed, "next", is_busy=True).authenticated()
    assert closed == [0]
    assert not accept(limits, closed, "one too many").authenticated()


def test_frames_of_peers_that_are_in_no_account():
    limits, closed = make_limits(memory_mb=3), []
    entries = [accept(limits, closed, number) for number in range(4)]
    for entry in entries:
        assert entry.authenticated()
        entry.received(400_000, 400_000)
    assert closed
    assert limits.memory.total <= 1_000_000


def test_link_of_a_peer_that_is_closed_while_clients_hold_the_memory():
    limits, closed = make_limits(memory_mb=3), []
    peer = accept(limits, closed, "peer")
    assert peer.authenticated()
    peer.received(600_000, 600_000)
    for number in range(3):  # fewer than the handshakes that may be in progress
        accept(limits, closed, number).received(150_000, 150_000)
    assert closed
    assert "peer" not in closed
