"""A short soak of planned work with real processes, and the draw of that work."""

from __future__ import annotations

import pytest
from fleets import free_net

from meadowdock.soak.fleet import soak_topology
from meadowdock.soak.planned_work import RELOAD, RESTART_CORE, RESTART_PROXY, draw_planned_work
from meadowdock.soak.restart_soak import run_restart_soak
from meadowdock.soak.soak import Plan

CORE, PROXIES = (
    list(soak_topology("127.0.0")["core"]),
    list(soak_topology("127.0.0")["application"]),
)
SECONDS = 15.0
# The load is light because other tests run on the same machine.
SHORT_PLAN = Plan(SECONDS, faults=0, calls_per_s=40.0, min_served_share=0.8)
STOP_MIN_S = 1.2  # a stop takes at least the linger


def test_the_same_seed_draws_the_same_planned_work_and_its_restarts_overlap():
    drawn = [draw_planned_work(seed, SECONDS, CORE, PROXIES) for seed in range(40)]
    assert drawn == [draw_planned_work(seed, SECONDS, CORE, PROXIES) for seed in range(40)]
    overlapping = 0
    for work in drawn:
        assert all(0 < each.start_s < SECONDS for each in work)
        assert work == sorted(work, key=lambda each: each.start_s)
        restarts = [each for each in work if each.kind == RESTART_PROXY]
        overlapping += any(
            later.start_s - earlier.start_s < STOP_MIN_S and later.host != earlier.host
            for earlier, later in zip(restarts, restarts[1:], strict=False)
        )
    assert overlapping >= 30
    everything = [each for work in drawn for each in work]
    assert {each.kind for each in everything} == {RESTART_PROXY, RESTART_CORE, RELOAD}
    assert any(each.again_after_s is not None for each in everything)


@pytest.mark.parametrize("seed", (1, 2))
def test_restarts_reloads_and_changes_that_overlap_lose_no_request(tmp_path, seed):
    result = run_restart_soak(seed, SHORT_PLAN, free_net(), str(tmp_path / "run"))
    assert result.violations == [], (str(result), result.violations[:10])
    assert sum(work.kind == RESTART_PROXY for work in result.faults) >= 4
    assert result.changes_acknowledged > 0 and result.served > 0 and result.healthy_calls > 0
