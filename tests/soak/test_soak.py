"""The soak in short: real processes, a few faults that overlap; and that it can fail."""

from __future__ import annotations

import pytest
from fleets import free_net

from meadowdock.soak.faults import LONGEST_S, MOST_AT_ONCE, draw
from meadowdock.soak.fleet import topology
from meadowdock.soak.soak import Plan, soak

CORE, PROXIES = list(topology("127.0.0")["core"]), list(topology("127.0.0")["application"])
SECONDS = 6.0
# a light load: other tests run on the same machine
SHORT_FORM = Plan(SECONDS, faults=5, calls_per_s=40.0, served_when_calm=0.8)


def overlapping(faults):
    return max(
        sum(other.at_s <= t.at_s < other.at_s + other.for_s for other in faults) for t in faults
    )


def test_the_same_seed_draws_the_same_faults_and_they_overlap():
    drawn = [draw(seed, SECONDS, CORE, PROXIES, 8) for seed in range(40)]
    assert drawn == [draw(seed, SECONDS, CORE, PROXIES, 8) for seed in range(40)]
    most = [overlapping(faults) for faults in drawn]
    assert max(most) <= MOST_AT_ONCE and sum(m >= 2 for m in most) >= 30
    assert all(t.at_s + t.for_s <= SECONDS + LONGEST_S for faults in drawn for t in faults)
    kinds = {t.kind for faults in drawn for t in faults}
    assert len(kinds) == 6


def test_no_two_core_machines_are_faulty_at_once():
    for seed in range(40):
        core = [t for t in draw(seed, 20, CORE, PROXIES, 20) if t.kind.endswith("core")]
        for one, other in zip(core, core[1:], strict=False):
            assert one.at_s + one.for_s <= other.at_s


@pytest.mark.parametrize("seed", (3,))
def test_real_processes_under_overlapping_faults_break_nothing(tmp_path, seed):
    result = soak(seed, SHORT_FORM, free_net(), str(tmp_path / "run"))
    assert result.broken == [], (str(result), result.broken[:10])
    assert len(result.faults) == SHORT_FORM.faults and result.orders_acknowledged > 0
    assert result.served > 0 and result.calm_calls > 0
