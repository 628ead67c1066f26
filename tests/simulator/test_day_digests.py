"""Simulated days and overloads of gateways behave exactly as recorded in the golden files.

`mdsim digest --check tests/golden/day_digests.json` compares all days.
"""

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
FAST_SEEDS = ("44", "48", "30")  # the days that take the least real time
GATED_SPAN_US = 1 * SECOND


def gated_overload_digest(seed: int) -> str:
    """Return the digest of a short overload of gateways: answers, executions and log lines."""
    demands = (LONG, SHORT)
    trace = CanonicalTrace()

    async def scenario(world):
        await offer(world, list(world.application), demands, GATED_SPAN_US, seed)
        for request in world.request_audit.asked:
            trace.row("call", request.id.decode(), request.at, request.took, request.status)
        for execution in world.request_audit.runs():
            trace.row(
                "execution",
                execution.id.decode(),
                execution.instance.decode(),
                execution.begun,
                execution.status,
            )
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
def test_day_has_the_golden_digest(seed):
    assert digests([int(seed)], jobs=1)["days"][seed] == DAYS["days"][seed]


@pytest.mark.parametrize("seed", sorted(GATED["gated overload"]))
def test_overload_of_gateways_has_the_golden_digest(seed):
    assert gated_overload_digest(int(seed)) == GATED["gated overload"][seed]


def test_digest_check_names_the_seeds_that_differ(tmp_path, monkeypatch, capsys):
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


def test_digest_check_passes_with_equal_digests(tmp_path, monkeypatch):
    golden = tmp_path / "golden.json"
    write_digests(golden, {"days": {"1": "same"}})
    monkeypatch.setattr("meadowdock.simulator.__main__.digests", lambda *_: {"days": {"1": "same"}})
    with pytest.raises(SystemExit) as ended:
        Commands().digest(seeds=1, check=golden)
    assert ended.value.code == 0
