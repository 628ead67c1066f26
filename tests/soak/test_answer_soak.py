"""A short soak run of endpoints that answer without end or at length, and the draw of it."""

from __future__ import annotations

import pytest
from fleets import free_net

from meadowdock.soak.answer_soak import FAULTY_HOSTS_MAX, KINDS, draw_answer_faults, run_answer_soak
from meadowdock.soak.fleet import soak_topology
from meadowdock.soak.soak import Plan

HOSTS = list(soak_topology("127.0.0")["application"])
SECONDS = 10.0
# The load is light because other tests run on the same machine.
SHORT_PLAN = Plan(SECONDS, faults=8, calls_per_s=40.0, min_served_share=0.8)


def test_the_same_seed_draws_the_same_faults_of_all_kinds():
    drawn = [draw_answer_faults(seed, SECONDS, HOSTS, 8) for seed in range(60)]
    assert drawn == [draw_answer_faults(seed, SECONDS, HOSTS, 8) for seed in range(60)]
    assert {fault.kind for faults in drawn for fault in faults} == {*KINDS, ""}
    for faults in drawn:
        for fault in faults:
            beside = {other.host for other in faults if other.overlaps(fault)}
            assert len(beside) <= FAULTY_HOSTS_MAX + 1


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_answers_without_end_beside_restarts_and_changes_break_nothing(tmp_path, seed):
    result = run_answer_soak(seed, SHORT_PLAN, free_net(), str(tmp_path / "run"))
    assert result.violations == [], (str(result), result.violations[:10])
    assert result.served > 0 and result.healthy_calls > 0 and result.changes_acknowledged > 0
