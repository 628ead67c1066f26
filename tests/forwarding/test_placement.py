"""The choice of a node for a request, with and without a local endpoint."""

from __future__ import annotations

import pytest

from meadowdock.forwarding.placement import (
    FULL_ANY_CAPACITY,
    PeerLoads,
    Placement,
    Thresholds,
    ZonePlacement,
    local_state,
)
from meadowdock.load_sharing import FORWARD, LOCAL, REJECT, LoadList, LocalEndpointState, NodeLoad

SERVICE = "desk"
THRESHOLDS = Thresholds(phi=0.7, omega=0.8, stale_us=1_000)
ABSENT = LocalEndpointState(rho=0.0, has_capacity=False, available=False)
FULL = LocalEndpointState(rho=1.0, has_capacity=False)
IDLE = LocalEndpointState(rho=0.1, has_capacity=True)
BUSY = LocalEndpointState(rho=0.9, has_capacity=True)


def node(address, rho=0.1, zone="a", draining=False):
    return NodeLoad(address, rho, "incarnation", draining, zone)


def placement(*nodes, kind=ZonePlacement):
    chooser = kind("own", "a", str) if kind is ZonePlacement else kind("own")
    chooser.loads.update(LoadList(1, 1, 0), {SERVICE: nodes})
    return chooser


def chosen(chooser, local, tried=frozenset()):
    choice = chooser.choose(SERVICE, local, THRESHOLDS, tried, 0)
    return choice.placement, choice.target and choice.target.address, choice.rule


def test_requests_stay_local_below_omega():
    assert chosen(placement(node("n1")), IDLE) == (LOCAL, None, "below-omega")


def test_requests_of_a_busy_endpoint_go_to_accepting_peers_in_turn():
    chooser = placement(node("n1"), node("n2"), node("n3", rho=0.75))
    found = [chosen(chooser, BUSY)[1] for _ in range(3)]
    assert found == ["n1", "n2", "n1"]


def test_peer_that_was_tried_or_has_no_capacity_is_not_chosen():
    chooser = placement(node("n1"), node("n2"), node("n3"))
    chooser.loads.exclude(SERVICE, "n2")
    chooser.loads.exclude("another service", "n3")
    assert {chosen(chooser, BUSY, {"n1"})[1] for _ in range(3)} == {"n3"}
    chooser.loads.update(LoadList(1, 2, 0), chooser.loads.nodes)
    assert {chosen(chooser, BUSY, {"n1"})[1] for _ in range(3)} == {"n2", "n3"}


def test_peers_of_the_zone_are_preferred_without_a_local_endpoint():
    chooser = placement(node("n1", zone="b"), node("n2"), node("n3", zone="b"))
    assert {chosen(chooser, ABSENT)[1] for _ in range(3)} == {"n2"}
    assert {chosen(chooser, ABSENT, {"n2"})[1] for _ in range(2)} == {"n1", "n3"}


def test_requests_of_a_full_endpoint_go_to_any_peer_that_may_have_a_slot():
    chooser = placement(node("n1", rho=0.9), node("n2", rho=0.75))
    assert chosen(chooser, FULL) == (FORWARD, "n2", FULL_ANY_CAPACITY)
    assert chosen(chooser, FULL, {"n2"}) == (FORWARD, "n1", FULL_ANY_CAPACITY)
    assert chosen(chooser, FULL, {"n1", "n2"}) == (REJECT, None, "full")


def test_placement_of_the_paper_blocks_at_a_full_endpoint():
    chooser = placement(node("n1", rho=0.75), kind=Placement)
    assert chosen(chooser, FULL) == (REJECT, None, "full")


def test_each_peer_is_asked_once_to_queue_a_request():
    chooser = placement(node("own"), node("n1", zone="b"), node("n2"), node("n3", draining=True))
    already_asked = set()
    while (found := chooser.peer_to_queue_at(SERVICE, already_asked)) is not None:
        already_asked.add(found.address)
    assert already_asked == {"n1", "n2"}


def test_first_peer_depends_on_the_initial_address():
    chooser = ZonePlacement("own", "a", lambda: "n1")
    chooser.loads.update(LoadList(1, 1, 0), {SERVICE: (node("n1"), node("n2"))})
    assert chosen(chooser, BUSY)[1] == "n2"


def test_each_node_is_counted_once():
    loads = PeerLoads()
    loads.update(LoadList(1, 1, 0), {"one": (node("n1"), node("n2")), "two": (node("n1"),)})
    assert loads.addresses() == {"n1", "n2"}


@pytest.mark.parametrize(
    ("has_capacity", "expected"),
    [
        (None, ABSENT),
        (True, LocalEndpointState(0.5, True)),
        (False, LocalEndpointState(0.5, False)),
    ],
)
def test_local_state_is_that_of_the_endpoint_of_the_next_request(has_capacity, expected):
    class Endpoint:
        pass

    class Occupation:
        rho = 0.5

    Endpoint.has_capacity = has_capacity
    endpoint = Endpoint() if has_capacity is not None else None
    assert local_state(endpoint, Occupation() if endpoint else None) == expected
