"""Simulated days, and overloads of gates, do, to the microsecond, what they did when the golden files were
written. `mdsim digest --check tests/golden/day_digests.json` compares all days."""

from __future__ import annotations

from pathlib import Path

import pytest
from gates import gated
from overload_demands import LONG, SHORT, SLOTS, items_of
from overloads import offer, worker

from meadowdock.runtime import SECOND
from meadowdock.simulator.__main__ import Commands
from meadowdock.simulator.digest import (
    CanonicalTrace,
    add_log,
    digests,
    read_digests,
    write_digests,
)

GOLDEN = Path(__file__).parents[1] / "golden"
DAYS = read_digests(GOLDEN / "day_digests.json")
GATED = read_digests(GOLDEN / "gated_overload_digests.json")
FAST_SEEDS = ("44", "48", "30")  # the days that take the least time
GATED_SPAN = 1 * SECOND


def gated_overload_digest(seed: int) -> str:
    """A short overload of gates: what callers were told, what ran, and all that was logged."""
    demands = (LONG, SHORT)
    trace = CanonicalTrace()

    async def scenario(world):
        await offer(world, list(world.application), demands, GATED_SPAN, seed)
        for call in world.request_audit.asked:
            trace.row("call", call.id.decode(), call.at, call.took, call.status)
        for ran in world.request_audit.runs():
            trace.row("execution", ran.id.decode(), ran.instance.decode(), ran.begun, ran.status)
        add_log(trace, world.trace.lines)

    gated(
        scenario,
        seed,
        application=("desk", None, None),
        items=items_of(*demands),
        endpoint={"slots": SLOTS, "queue": 4 * SLOTS, "work_us": worker(demands, seed)},
    )
    return trace.hexadecimal()


@pytest.mark.parametrize("seed", FAST_SEEDS)
def test_a_day_is_the_same_as_when_its_digest_was_written(seed):
    assert digests([int(seed)], jobs=1)["days"][seed] == DAYS["days"][seed]


@pytest.mark.parametrize("seed", sorted(GATED["gated overload"]))
def test_an_overload_of_gates_is_the_same_as_when_its_digest_was_written(seed):
    assert gated_overload_digest(int(seed)) == GATED["gated overload"][seed]


def test_the_check_names_the_seeds_that_differ(tmp_path, monkeypatch, capsys):
    golden = tmp_path / "golden.json"
    write_digests(golden, {"days": {"1": "same", "2": "former"}})
    monkeypatch.setattr(
        "meadowdock.simulator.__main__.digests",
        lambda *_: {"days": {"1": "same", "2": "new", "3": "new"}},
    )
    with pytest.raises(SystemExit) as ended:
        Commands().digest(seeds=3, check=golden)
    assert ended.value.code == 1
    assert capsys.readouterr().out.endswith("differ:\ndays 2\ndays 3\n")


def test_the_check_passes_over_equal_digests(tmp_path, monkeypatch):
    golden = tmp_path / "golden.json"
    write_digests(golden, {"days": {"1": "same"}})
    monkeypatch.setattr("meadowdock.simulator.__main__.digests", lambda *_: {"days": {"1": "same"}})
    with pytest.raises(SystemExit) as ended:
        Commands().digest(seeds=1, check=golden)
    assert ended.value.code == 0
