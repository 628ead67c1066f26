"""A few fixed days of random faults, and each kind of fault; `mdsim sweep` runs many more days."""

from __future__ import annotations

import pytest

from meadowdock.simulator.checkers import recovery_time, verify
from meadowdock.simulator.faults import KINDS, MAJOR, Fault
from meadowdock.simulator.scenario import HEALTHY_ENDPOINT, Day, run_day
from meadowdock.simulator.world import run

SECOND = 1_000_000


@pytest.mark.parametrize("seed", [6, 13])
def test_day_of_random_faults_breaks_no_promise(seed):
    breaches, history, _ = run_day(seed)
    assert breaches == []
    assert len(history.asked) > 1000


@pytest.mark.parametrize("part", range(4))
def test_every_kind_of_fault_is_injected(part):
    """Inject each kind, one after another: each must run through and break no promise."""
    kinds = sorted(KINDS)[part::4]
    faults = [Fault(n * 3 * SECOND // 2, k, n, SECOND // 2) for n, k in enumerate(kinds)]
    injected = []

    async def scenario(world):
        day = Day(world, faults)
        for kind in kinds:

            async def inject(pick, duration_us, kind=kind):
                await KINDS[kind][1](day, pick, duration_us)
                injected.append(kind)

            day.injectors[kind] = inject
        return verify(await day.run())

    assert run(scenario, 3, core=3, application=("desk", "desk", "desk", "paper", "paper")) == []
    assert sorted(injected) == kinds


@pytest.mark.parametrize("kind", MAJOR)
def test_service_returns_after_a_major_fault_alone(kind):
    """Service must return within 15 s after the machines are back."""
    breaches, history, _ = run_day(1, (Fault(2 * SECOND, kind, 1, 4 * SECOND),))
    assert breaches == []
    assert recovery_time(history) < 15 * SECOND


def test_overlapping_faults_at_one_target_are_both_undone():
    faults = [
        Fault(n * SECOND // 4, k, 3, SECOND)
        for n in (0, 1)
        for k in ("garbage", "slow", "stall_disk")
    ]

    async def scenario(world):
        day = Day(world, sorted(faults, key=lambda f: f.start_us))
        await day.run()
        return day.endpoint_behaviour.values(), [d.stalled for d in world.disks.values()]

    behaviours, stalled = run(scenario, 1, core=3, application=("desk", "desk", "paper"))
    assert all(behaviour == HEALTHY_ENDPOINT for behaviour in behaviours)
    assert not any(stalled)
