"""At-most-once calls by idempotency keys.

A key that is repeated after any one fault, at any proxy, never runs a second time.
"""

from __future__ import annotations

import itertools

import pytest
import trio
from manifests import manifest
from mesh import hosts, start_configured

from meadowdock.client import EndpointRequest, ExecutionRecord
from meadowdock.runtime import MILLISECOND, Disk, MemoryDisk, monotonic_us, sleep_us
from meadowdock.simulator import run

SECOND = 1_000_000
STAGES = ["arriving", "waiting", "at the endpoint", "forwarded"]
FAULTS = [
    "local proxy killed",
    "peer proxy killed",
    "endpoint killed",
    "response lost",
    "local proxy frozen",
]
REPEATED_AT = ["same proxy", "same proxy, restarted", "other proxy"]


def manifest_with_records():
    """Return a manifest whose services keep a record of the keys that ran."""
    configuration = manifest()
    for service in configuration["services"]:
        service["record"] = True
    return configuration


async def start_endpoint(world, host, executed, disks, took_us=300 * MILLISECOND, capacity=1):
    """Start an endpoint that keeps its record on the host's disk."""

    async def work(request):
        executed.append(request)
        await sleep_us(took_us)
        return 200, {"key": request.key, "run": len(executed)}

    disk = disks.setdefault(host, MemoryDisk())
    return await world.endpoint(
        host, "desk", work, capacity=capacity, record=ExecutionRecord(disk), wait=False
    )


@pytest.mark.parametrize(("stage", "fault"), [*itertools.product(STAGES, FAULTS)])
def test_a_key_repeated_after_a_fault_at_any_stage_runs_at_most_once(stage, fault):
    async def scenario(world, repeated_at):
        executed, disks, outcomes = [], {}, []
        await start_configured(world, manifest_with_records())
        local, peer = hosts(world)
        await start_endpoint(world, local, executed, disks)
        if stage != "waiting":
            await start_endpoint(world, peer, executed, disks)
        await sleep_us(2 * SECOND)

        async def call(client, key):
            outcomes.append((key, await client.call("POST", "/withdrawals/1", {"a": 1}, key=key)))

        client = world.client(local)
        for number in range({"forwarded": 1, "waiting": 1}.get(stage, 0)):
            world.nursery.start_soon(call, client, f"before{number}")
            await sleep_us(20 * MILLISECOND)
        world.nursery.start_soon(call, client, "k")
        await sleep_us(3 * MILLISECOND if stage == "arriving" else 50 * MILLISECOND)
        process = world.processes[f"mdproxy@{local}"]
        if fault == "local proxy frozen":
            process.freeze()
        elif fault == "response lost":
            world.web.losing |= {f"{local}:8000": 1.0, f"{peer}:8000": 1.0}
        else:
            killed_process = {"local": f"mdproxy@{local}", "peer": f"mdproxy@{peer}"}.get(
                fault.split()[0], f"endpoint@{peer if stage == 'forwarded' else local}:8000"
            )
            world.kill(killed_process)
        await sleep_us(3 * SECOND)
        process.wake()
        world.web.losing.clear()
        for role, host in (("mdproxy", local), ("mdproxy", peer)):
            if f"{role}@{host}" not in world.processes:
                await world.start(role, host)
        if repeated_at == "same proxy, restarted":
            world.kill(f"mdproxy@{local}")
            await world.start("mdproxy", local)
        for host in (local, peer):
            if f"endpoint@{host}:8000" not in world.processes and host in disks:
                await start_endpoint(world, host, executed, disks)
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())
        await sleep_us(2 * SECOND)
        repeating_client = client if repeated_at != "other proxy" else world.client(peer)
        repeating_client.sent["k"] = True  # the caller knows that it may have sent the key
        runs_before = [request.key for request in executed].count("k")
        assert runs_before <= 1
        first_outcome = dict(outcomes).get("k")
        await call(repeating_client, "k")
        repeat_outcome = outcomes[-1][1]
        run_numbers = [number for number, request in enumerate(executed, 1) if request.key == "k"]
        assert len(run_numbers) == runs_before
        if repeat_outcome.value_or(None):  # the response of the one request that ran
            assert repeat_outcome.unwrap().body == {"key": "k", "run": run_numbers[0]}
        else:
            assert repeat_outcome.failure().verdict.value == "may-have-run"
        if (
            first_outcome is not None
            and first_outcome.value_or(None)
            and repeated_at == "same proxy"
        ):
            assert repeat_outcome.unwrap().body == first_outcome.unwrap().body

    for repeated_at in REPEATED_AT:
        run(
            lambda world, repeated_at=repeated_at: scenario(world, repeated_at),
            application=("desk", "desk"),
        )


def test_a_repeated_key_gets_the_response_from_the_endpoints_record():
    """The proxy was restarted: the key is no longer known there, and the response was lost."""

    async def scenario(world):
        executed, disks = [], {}
        await start_configured(world, manifest_with_records())
        (host,) = hosts(world)
        await start_endpoint(world, host, executed, disks)
        await sleep_us(2 * SECOND)
        client = world.client(host)

        async def call():
            outcomes.append(await client.call("POST", "/withdrawals/1", {"a": 1}, key="k"))

        outcomes = []
        world.nursery.start_soon(call)
        await sleep_us(50 * MILLISECOND)
        world.kill(f"mdproxy@{host}")
        await sleep_us(SECOND)
        assert outcomes[0].failure().verdict.value == "may-have-run"
        await world.start("mdproxy", host)
        await world.eventually(lambda: world.daemon("mdproxy", host).endpoints.by_address)
        await world.eventually(lambda: not world.node("mdproxy", host).unready_reasons())
        await call()
        assert outcomes[1].unwrap().body == {"key": "k", "run": 1}
        assert len(executed) == 1

    run(scenario, application=("desk",))


def test_every_rejection_of_an_unknown_repeat_is_may_have_run():
    async def scenario(world):
        await start_configured(world)
        (host,) = hosts(world)

        async def repeat_key(path, *extra_headers):
            headers = [(b"md-key", b"k"), (b"md-repeat", b"1"), *extra_headers]
            status, response_headers, body = await world.http(
                host, "POST", f"{host}:7400", path, {}, headers
            )
            return status, body["code"], response_headers[b"md-verdict"]

        assert await repeat_key("/withdrawals/1") == (409, "key_may_have_run", b"may-have-run")
        assert await repeat_key("/nowhere") == (404, "way_unknown", b"may-have-run")
        expired = await repeat_key("/withdrawals/1", (b"md-due", b"0"))
        assert expired[2] == b"may-have-run"

    run(scenario, application=("desk",))


def key_request(key="k", body=None, repeat=False, caller="guest"):
    return EndpointRequest("POST", "/w", "", caller, key, "c", 0, body, repeat)


def test_the_record_is_persistent_and_bounded_and_runs_a_key_once(tmp_path):
    async def scenario():
        executed_keys = []

        async def work(request):
            executed_keys.append(request.key)
            if request.key == "breaks":
                raise RuntimeError
            return 200, {"n": len(executed_keys)}

        record = ExecutionRecord(Disk(tmp_path), capacity=3)
        first = await record.run_once(key_request(), work)
        assert (await record.run_once(key_request(), work)).body == first.body
        assert (await record.run_once(key_request(body={"other": 1}), work)).status == 422
        # Keys are scoped to their caller.
        assert (await record.run_once(key_request(caller="paper"), work)).status == 200
        with pytest.raises(RuntimeError):
            await record.run_once(key_request("breaks"), work)
        reopened = ExecutionRecord(Disk(tmp_path), capacity=3)
        assert (await reopened.run_once(key_request(), work)).body == first.body
        # The request that raised an error may have run.
        assert (await reopened.run_once(key_request("breaks"), work)).status == 409
        assert (await reopened.run_once(key_request("new", repeat=True), work)).status == 409
        for number in range(5):
            await reopened.run_once(key_request(f"n{number}"), work)
        assert len(reopened.entries) == 3
        assert len(await reopened.disk.list_folder("key")) == 3
        assert executed_keys.count("k") == 2
        assert executed_keys.count("breaks") == 1

    trio.run(scenario)


def test_a_truncated_record_counts_as_a_call_that_may_have_run(tmp_path):
    async def scenario():
        async def work(request):
            return 200, {}

        record = ExecutionRecord(Disk(tmp_path))
        await record.run_once(key_request(), work)
        (name,) = await record.disk.list_folder("key")
        with open(tmp_path / "key" / name, "r+b") as file:
            file.truncate(20)
        assert (await ExecutionRecord(Disk(tmp_path)).run_once(key_request(), work)).status == 409

    trio.run(scenario)


def test_two_concurrent_calls_with_one_key_run_once():
    async def scenario(world):
        executed, disks = [], {}
        await start_configured(world, manifest_with_records())
        local, peer = hosts(world)
        await start_endpoint(world, local, executed, disks, capacity=4)
        await sleep_us(2 * SECOND)
        outcomes = []

        async def call(host):
            outcomes.append(
                await world.client(host).call("POST", "/withdrawals/1", {"a": 1}, key="k")
            )

        started_at = monotonic_us()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, local)
            nursery.start_soon(call, peer)  # forwarded to the same endpoint
        assert monotonic_us() - started_at < SECOND
        assert len(executed) == 1
        outcome_prefixes = sorted(str(outcome.value_or("refused"))[:7] for outcome in outcomes)
        assert outcome_prefixes == ["Answer(", "refused"]

    run(scenario, application=("desk", "desk"))
