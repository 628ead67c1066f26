"""Conformance of the policy with the tables of docs/design.md, row by row."""

from __future__ import annotations

import pytest

from meadowdock.load_sharing import (
    FORWARD,
    LOCAL,
    REJECT,
    LoadList,
    LocalEndpointState,
    NodeLoad,
    RoundRobin,
    best_omega,
    choose,
    load_state,
    relocation_overhead,
)
from meadowdock.load_sharing.model import Setting, simulate

PHI, OMEGA, STALE = 0.8, 0.9, 2_000_000


def nodes(**rho):
    return tuple(NodeLoad(a, r, "i", False) for a, r in rho.items())


@pytest.mark.parametrize(
    ("rho", "phi", "omega", "expected"),
    [
        (0.0, 0.8, 0.9, "accepting"),
        (0.799, 0.8, 0.9, "accepting"),
        (0.8, 0.8, 0.9, "passive"),
        (0.899, 0.8, 0.9, "passive"),
        (0.9, 0.8, 0.9, "offloading"),
        (1.0, 0.8, 0.9, "offloading"),
        (0.974, 0.975, 0.975, "accepting"),  # phi = omega: no passive band
        (0.975, 0.975, 0.975, "offloading"),
    ],
)
def test_load_state(rho, phi, omega, expected):
    assert load_state(rho, phi, omega) == expected


@pytest.mark.parametrize(
    ("asymmetry", "handling_cost", "forwarding_cost", "expected"),
    [(0.5, 1000, 50, 0.9756), (0.0, 1000, 50, 1.0), (1.0, 1000, 50, 0.9524), (0.5, 1, 0, 1.0)],
)
def test_best_omega_for_two_nodes(asymmetry, handling_cost, forwarding_cost, expected):
    assert (
        round(best_omega(asymmetry, relocation_overhead(handling_cost, forwarding_cost)), 4)
        == expected
    )


# rho, has capacity, available | load list | its age | chosen placement, target, rule
CHOICES = [
    (0.0, True, True, nodes(b=0.0, c=0.0), 0, LOCAL, None, "below-omega"),
    (0.85, True, True, nodes(b=0.0), 0, LOCAL, None, "below-omega"),
    (0.9, True, True, nodes(b=0.0), 0, FORWARD, "b", "offloading"),
    (1.0, True, True, nodes(b=0.79, c=0.0), 0, FORWARD, "b", "offloading"),
    (1.0, True, True, nodes(b=0.8, c=0.1), 0, FORWARD, "c", "offloading"),
    (1.0, True, True, nodes(b=0.8, c=0.95), 0, LOCAL, None, "none-accept"),
    (1.0, True, True, (), 0, LOCAL, None, "none-accept"),
    (1.0, True, True, (NodeLoad("b", 0.0, "i", True),), 0, LOCAL, None, "none-accept"),
    (1.0, True, True, nodes(a=0.0), 0, LOCAL, None, "none-accept"),  # a node never chooses itself
    (1.0, True, True, nodes(b=0.0), STALE + 1, LOCAL, None, "stale"),
    (0.5, False, True, nodes(b=0.0), 0, FORWARD, "b", "full"),
    (0.5, False, True, nodes(b=0.0), STALE + 1, FORWARD, "b", "full"),
    (0.5, False, True, nodes(b=0.85), 0, REJECT, None, "full"),
    (0.0, False, False, nodes(b=0.0), 0, FORWARD, "b", "gone"),
    (0.0, False, False, nodes(b=0.85, c=0.95), 0, FORWARD, "b", "any-room"),
    (0.0, False, False, nodes(c=0.95), 0, FORWARD, "c", "any-room"),
    (0.0, False, False, nodes(b=1.0), 0, REJECT, None, "gone"),
    (0.0, False, False, (), 0, REJECT, None, "gone"),
]


@pytest.mark.parametrize("row", CHOICES)
def test_choice(row):
    rho, has_capacity, available, listed, age, placement, target, rule = row
    local = LocalEndpointState(rho, has_capacity, available)
    chosen = choose(local, LoadList(1, 1, 0, listed), RoundRobin(), age, "a", PHI, OMEGA, STALE)
    found = (chosen.placement, chosen.target and chosen.target.address, chosen.rule)
    assert found == (placement, target, rule)


def test_all_new_requests_are_forwarded_in_turn_while_offloading():
    load_list, round_robin = LoadList(1, 1, 0, nodes(d=0.1, b=0.1, c=0.1)), RoundRobin()
    chosen = [
        choose(
            LocalEndpointState(0.95, True), load_list, round_robin, 0, "a", PHI, OMEGA, STALE
        ).target.address
        for _ in range(7)
    ]
    assert chosen == ["b", "c", "d", "b", "c", "d", "b"]


def test_round_robin_continues_over_a_changed_list():
    round_robin = RoundRobin()
    first = choose(
        LocalEndpointState(1, True),
        LoadList(1, 1, 0, nodes(b=0, c=0, d=0)),
        round_robin,
        0,
        "a",
        PHI,
        OMEGA,
        STALE,
    )
    then = choose(
        LocalEndpointState(1, True),
        LoadList(1, 2, 0, nodes(c=0, d=0)),
        round_robin,
        0,
        "a",
        PHI,
        OMEGA,
        STALE,
    )
    last = choose(
        LocalEndpointState(1, True),
        LoadList(1, 3, 0, nodes(b=0, c=0)),
        round_robin,
        0,
        "a",
        PHI,
        OMEGA,
        STALE,
    )
    assert [c.target.address for c in (first, then, last)] == ["b", "c", "b"]


def test_an_excluded_node_is_not_chosen():
    load_list = LoadList(1, 1, 0, nodes(b=0.1, c=0.1))
    chosen = choose(
        LocalEndpointState(1, True),
        load_list,
        RoundRobin(),
        0,
        "a",
        PHI,
        OMEGA,
        STALE,
        excluded=frozenset({"b"}),
    )
    assert chosen.target.address == "c"


def test_model_reproduces_the_shape_of_the_papers_curve():
    """Sharing is better than none, and an omega 0.05 too high costs more than one 0.05 too low.

    See section V-D of Koegel, Wahl, Scharf and Necker (2009).
    """
    setting = {"capacity": 200_000, "load": 0.9, "calls": 30_000, "interval_us": 1_000_000}
    lost = {w: simulate(Setting(**setting, omega=w, phi=w)).blocked for w in (0.90, 0.95, 1.0)}
    none = simulate(Setting(**setting, sharing="none")).blocked
    assert max(lost.values()) < none
    assert lost[0.95] < lost[1.0]
    assert lost[1.0] - lost[0.95] > lost[0.90] - lost[0.95]
