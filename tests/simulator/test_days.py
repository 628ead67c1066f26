"""A few fixed days of random faults; `mdsim sweep` runs many more. Each kind of fault by itself."""

from __future__ import annotations

import pytest

from meadowdock.simulator.checkers import recovery_time, verify
from meadowdock.simulator.faults import KINDS, MAJOR, Fault
from meadowdock.simulator.scenario import KNOBS, Day, live
from meadowdock.simulator.world import run

S = 1_000_000


@pytest.mark.parametrize("seed", [6, 13])
def test_a_day_of_faults_breaks_no_promise(seed):
    breaches, history, _ = live(seed)
    assert breaches == []
    assert len(history.asked) > 1000


@pytest.mark.parametrize("part", range(4))
def test_every_kind_of_fault_strikes(part):
    """Each kind, one after another: what the day itself relies on."""
    kinds = sorted(KINDS)[part::4]
    faults = [Fault(n * 3 * S // 2, k, n, S // 2) for n, k in enumerate(kinds)]
    struck = []

    async def scenario(world):
        day = Day(world, faults)
        for kind in kinds:

            async def strike(place, span, kind=kind):
                await KINDS[kind][1](day, place, span)
                struck.append(kind)

            day.strikes[kind] = strike
        return verify(await day.live())

    assert run(scenario, 3, core=3, application=("desk", "desk", "desk", "paper", "paper")) == []
    assert sorted(struck) == kinds


@pytest.mark.parametrize("kind", MAJOR)
def test_service_returns_after_a_major_fault_alone(kind):
    """Counted from the moment when the machines are back, with no calm before."""
    breaches, history, _ = live(1, (Fault(2 * S, kind, 1, 4 * S),))
    assert breaches == []
    assert recovery_time(history) < 15 * S


def test_faults_that_overlap_at_one_place_are_both_undone():
    faults = [Fault(n * S // 4, k, 3, S) for n in (0, 1) for k in ("garbage", "slow", "stall_disk")]

    async def scenario(world):
        day = Day(world, sorted(faults, key=lambda f: f.at))
        await day.live()
        return day.knobs.values(), [d.stalled for d in world.disks.values()]

    knobs, stalled = run(scenario, 1, core=3, application=("desk", "desk", "paper"))
    assert all(k == KNOBS for k in knobs)
    assert not any(stalled)
