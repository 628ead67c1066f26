"""A short soak of first starts with real processes, and the draw of their disturbances."""

from __future__ import annotations

import pytest
from fleets import free_net

from meadowdock.soak.fleet import soak_topology
from meadowdock.soak.soak import Plan
from meadowdock.soak.start_plan import KINDS, LOG_OUTPUTS, MAX_START_DELAY_S, draw_start
from meadowdock.soak.start_soak import run_start_soak

CORE, PROXIES = (
    list(soak_topology("127.0.0")["core"]),
    list(soak_topology("127.0.0")["application"]),
)
# The load is light because other tests run on the same machine.
SHORT_PLAN = Plan(2.0, faults=0, calls_per_s=40.0, min_served_share=0.8)


def test_the_same_seed_draws_the_same_start_and_all_kinds_come_up():
    drawn = [draw_start(seed, CORE, PROXIES) for seed in range(40)]
    assert drawn == [draw_start(seed, CORE, PROXIES) for seed in range(40)]
    assert {fault.kind for start in drawn for fault in start.faults} == set(KINDS)
    assert {output for start in drawn for output in start.log_outputs.values()} == set(LOG_OUTPUTS)
    for start in drawn:
        assert len(start.delays_s) == 2 * len(CORE) + len(PROXIES)
        assert all(0 <= delay_s <= MAX_START_DELAY_S for delay_s in start.delays_s.values())
        assert len(start.faults) >= 3


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_disturbed_first_start_ends_with_a_deployment_that_serves(tmp_path, seed):
    result = run_start_soak(seed, SHORT_PLAN, free_net(), str(tmp_path / "run"))
    assert result.violations == [], (str(result), result.violations[:10])
    assert result.changes_acknowledged > 0 and result.served > 0 and result.healthy_calls > 0
