"""The complete mesh on the virtual clock: it serves calls, and its trace depends on the seed alone."""

from __future__ import annotations

import os
import subprocess
import sys

from mesh import counts, hosts, serving
from returns.pipeline import is_successful

from meadowdock.runtime import SECOND, fingerprint, monotonic_us, sleep_us
from meadowdock.simulator import run


def test_call_is_routed_to_the_local_endpoint_with_its_callers_name():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host = hosts(world)[0]
        result = await world.client(host).call("GET", "/balances/17")
        assert is_successful(result), result
        assert result.unwrap().body == {"path": "/balances/17", "caller": "guest"}
        assert [request.path for request in journal] == ["/balances/17"]
        assert counts(world, host)["rule.below-omega"] == 1

    run(scenario)


async def trace_fingerprint(world):
    """Return a fingerprint of the trace of a few calls."""
    await serving(world)
    for host in world.application:
        await world.client(host).call("GET", "/balances/1")
    await sleep_us(3 * SECOND)
    return fingerprint(repr((world.trace.lines, monotonic_us())).encode())


def test_same_seed_same_trace_in_any_process():
    code = "import test_complete_mesh as t; print(t.run(t.trace_fingerprint, 7))"
    argv = [sys.executable, "-c", code]
    folder = os.path.dirname(__file__)
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
    fingerprints = {
        subprocess.check_output(argv, cwd=folder, env={**environment, "PYTHONHASHSEED": seed})
        for seed in ("1", "2")
    }
    assert fingerprints == {run(trace_fingerprint, 7).encode() + b"\n"}
    assert run(trace_fingerprint, 8) != run(trace_fingerprint, 7)
