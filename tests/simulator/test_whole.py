"""The whole path on the virtual clock: the daemons' own code, discovered, configured, serving."""

from __future__ import annotations

import os
import subprocess
import sys

from mesh import counts, hosts, serving
from returns.pipeline import is_successful

from meadowdock.runtime import SECOND, fingerprint, monotonic_us, sleep_us
from meadowdock.simulator import run


def test_call_is_served_at_home_by_its_way_and_name():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host = hosts(world)[0]
        found = await world.client(host).call("GET", "/balances/17")
        assert is_successful(found), found
        assert found.unwrap().body == {"path": "/balances/17", "caller": "guest"}
        assert [got.path for got in journal] == ["/balances/17"]
        assert counts(world, host)["rule.below-omega"] == 1

    run(scenario)


async def busy_minute(world):
    await serving(world)
    for host in world.application:
        await world.client(host).call("GET", "/balances/1")
    await sleep_us(3 * SECOND)
    return fingerprint(repr((world.trace.lines, monotonic_us())).encode())


def test_same_seed_same_trace_in_any_process():
    argv = [sys.executable, "-c", "import test_whole as t; print(t.run(t.busy_minute, 7))"]
    here = os.path.dirname(__file__)
    paths = {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
    told = {
        subprocess.check_output(argv, cwd=here, env={**paths, "PYTHONHASHSEED": seed})
        for seed in ("1", "2")
    }
    assert told == {run(busy_minute, 7).encode() + b"\n"}
    assert run(busy_minute, 8) != run(busy_minute, 7)
