"""A short soak run with real processes and a few overlapping faults, and the draw of the faults."""

from __future__ import annotations

import pytest
from fleets import free_net

from meadowdock.soak.faults import MAX_CONCURRENT_FAULTS, MAX_DURATION_S, draw_faults
from meadowdock.soak.fleet import soak_topology
from meadowdock.soak.soak import Plan, run_soak

CORE, PROXIES = (
    list(soak_topology("127.0.0")["core"]),
    list(soak_topology("127.0.0")["application"]),
)
SECONDS = 6.0
# The load is light because other tests run on the same machine.
SHORT_PLAN = Plan(SECONDS, faults=5, calls_per_s=40.0, min_served_share=0.8)


def max_overlap(faults):
    return max(
        sum(other.start_s <= fault.start_s < other.start_s + other.duration_s for other in faults)
        for fault in faults
    )


def test_the_same_seed_draws_the_same_faults_and_they_overlap():
    drawn = [draw_faults(seed, SECONDS, CORE, PROXIES, 8) for seed in range(40)]
    assert drawn == [draw_faults(seed, SECONDS, CORE, PROXIES, 8) for seed in range(40)]
    overlaps = [max_overlap(faults) for faults in drawn]
    assert (
        max(overlaps) <= MAX_CONCURRENT_FAULTS and sum(overlap >= 2 for overlap in overlaps) >= 30
    )
    assert all(
        fault.start_s + fault.duration_s <= SECONDS + MAX_DURATION_S
        for faults in drawn
        for fault in faults
    )
    kinds = {fault.kind for faults in drawn for fault in faults}
    assert len(kinds) == 6


def test_no_two_core_machines_are_faulty_at_once():
    for seed in range(40):
        faults = draw_faults(seed, 20, CORE, PROXIES, 20)
        core_faults = [fault for fault in faults if fault.kind.endswith("core")]
        for earlier, later in zip(core_faults, core_faults[1:], strict=False):
            assert earlier.start_s + earlier.duration_s <= later.start_s


@pytest.mark.parametrize("seed", (3,))
def test_real_processes_under_overlapping_faults_break_nothing(tmp_path, seed):
    result = run_soak(seed, SHORT_PLAN, free_net(), str(tmp_path / "run"))
    assert result.violations == [], (str(result), result.violations[:10])
    assert len(result.faults) == SHORT_PLAN.faults and result.changes_acknowledged > 0
    assert result.served > 0 and result.healthy_calls > 0
