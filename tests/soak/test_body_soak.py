"""A short soak run of clients that send large bodies, and the draw of it."""

from __future__ import annotations

import pytest
from fleets import free_net

from meadowdock.soak.body_soak import CROWDS_MAX, KINDS, draw_body_crowds, run_body_soak
from meadowdock.soak.fleet import soak_topology
from meadowdock.soak.soak import Plan

HOSTS = list(soak_topology("127.0.0")["application"])
SECONDS = 10.0
# The load is light because other tests run on the same machine.
SHORT_PLAN = Plan(SECONDS, faults=8, calls_per_s=40.0, min_served_share=0.8)


def test_the_same_seed_draws_the_same_crowds_of_all_kinds():
    drawn = [draw_body_crowds(seed, SECONDS, HOSTS, 8) for seed in range(60)]
    assert drawn == [draw_body_crowds(seed, SECONDS, HOSTS, 8) for seed in range(60)]
    assert {crowd.kind for crowds in drawn for crowd in crowds} == set(KINDS)
    for crowds in drawn:
        for number, crowd in enumerate(crowds):
            assert sum(crowd.overlaps(other) for other in crowds[:number]) <= 2 * CROWDS_MAX


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_large_bodies_beside_restarts_and_changes_break_nothing(tmp_path, seed):
    result = run_body_soak(seed, SHORT_PLAN, free_net(), str(tmp_path / "run"))
    assert result.violations == [], (str(result), result.violations[:10])
    assert result.served > 0 and result.healthy_calls > 0 and result.changes_acknowledged > 0
