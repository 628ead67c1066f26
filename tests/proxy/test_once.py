"""Run-once calls: a key repeated after any one fault, at any machine, never runs a second time."""

from __future__ import annotations

import itertools

import pytest
import trio
from facts import manifest
from mesh import configured, hosts

from meadowdock.client import EndpointRequest, ExecutionRecord
from meadowdock.runtime import MILLISECOND, Disk, MemoryDisk, monotonic_us, sleep_us
from meadowdock.simulator import run

S = 1_000_000
STAGES = ["arriving", "waiting", "at the endpoint", "spilled"]
FAULTS = ["home killed", "neighbour killed", "endpoint killed", "answer lost", "home frozen"]
WHERE = ["there", "there, restarted", "elsewhere"]


def recorded():
    facts = manifest()
    for service in facts["services"]:
        service["record"] = True
    return facts


async def place(world, host, journal, disks, took_us=300 * MILLISECOND, capacity=1):
    async def work(got):
        journal.append(got)
        await sleep_us(took_us)
        return 200, {"key": got.key, "run": len(journal)}

    disk = disks.setdefault(host, MemoryDisk())
    return await world.endpoint(
        host, "desk", work, capacity=capacity, record=ExecutionRecord(disk), wait=False
    )


@pytest.mark.parametrize(("stage", "fault"), [*itertools.product(STAGES, FAULTS)])
def test_a_key_repeated_after_a_fault_at_any_stage_runs_no_second_time(stage, fault):
    async def scenario(world, where):
        journal, disks, found = [], {}, []
        await configured(world, recorded())
        home, other = hosts(world)
        await place(world, home, journal, disks)
        if stage != "waiting":
            await place(world, other, journal, disks)
        await sleep_us(2 * S)

        async def call(client, key):
            found.append((key, await client.call("POST", "/withdrawals/1", {"a": 1}, key=key)))

        client = world.client(home)
        for number in range({"spilled": 1, "waiting": 1}.get(stage, 0)):
            world.nursery.start_soon(call, client, f"before{number}")
            await sleep_us(20 * MILLISECOND)
        world.nursery.start_soon(call, client, "k")
        await sleep_us(3 * MILLISECOND if stage == "arriving" else 50 * MILLISECOND)
        process = world.processes[f"mdproxy@{home}"]
        if fault == "home frozen":
            process.freeze()
        elif fault == "answer lost":
            world.web.losing |= {f"{home}:8000": 1.0, f"{other}:8000": 1.0}
        else:
            chosen = {"home": f"mdproxy@{home}", "neighbour": f"mdproxy@{other}"}.get(
                fault.split()[0], f"endpoint@{other if stage == 'spilled' else home}:8000"
            )
            world.kill(chosen)
        await sleep_us(3 * S)
        process.wake()
        world.web.losing.clear()
        for role, host in (("mdproxy", home), ("mdproxy", other)):
            if f"{role}@{host}" not in world.processes:
                await world.start(role, host)
        if where == "there, restarted":
            world.kill(f"mdproxy@{home}")
            await world.start("mdproxy", home)
        for host in (home, other):
            if f"endpoint@{host}:8000" not in world.processes and host in disks:
                await place(world, host, journal, disks)
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())
        await sleep_us(2 * S)
        repeating = client if where != "elsewhere" else world.client(other)
        repeating.sent["k"] = True  # the caller knows that it may have sent it
        before = [got.key for got in journal].count("k")
        assert before <= 1
        first = dict(found).get("k")
        await call(repeating, "k")
        result = found[-1][1]
        runs = [number for number, got in enumerate(journal, 1) if got.key == "k"]
        assert len(runs) == before
        if result.value_or(None):  # answered: by what ran, once
            assert result.unwrap().body == {"key": "k", "run": runs[0]}
        else:
            assert result.failure().verdict.value == "may-have-run"
        if first is not None and first.value_or(None) and where == "there":
            assert result.unwrap().body == first.unwrap().body

    for where in WHERE:
        run(lambda world, where=where: scenario(world, where), application=("desk", "desk"))


def test_the_endpoint_here_tells_from_its_record_what_became_of_a_key():
    """The proxy was restarted and has forgotten it; the answer was lost with it."""

    async def scenario(world):
        journal, disks = [], {}
        await configured(world, recorded())
        (home,) = hosts(world)
        await place(world, home, journal, disks)
        await sleep_us(2 * S)
        client = world.client(home)

        async def call():
            found.append(await client.call("POST", "/withdrawals/1", {"a": 1}, key="k"))

        found = []
        world.nursery.start_soon(call)
        await sleep_us(50 * MILLISECOND)
        world.kill(f"mdproxy@{home}")
        await sleep_us(S)
        assert found[0].failure().verdict.value == "may-have-run"
        await world.start("mdproxy", home)
        await world.eventually(lambda: world.daemon("mdproxy", home).endpoints.by_address)
        await world.eventually(lambda: not world.node("mdproxy", home).unready_reasons())
        await call()
        assert found[1].unwrap().body == {"key": "k", "run": 1}
        assert len(journal) == 1

    run(scenario, application=("desk",))


def test_a_repeat_that_nobody_knows_is_refused_as_may_have_run_whatever_else_is_wrong():
    async def scenario(world):
        await configured(world)
        (home,) = hosts(world)

        async def ask(path, *headers):
            lines = [(b"md-key", b"k"), (b"md-repeat", b"1"), *headers]
            status, told, body = await world.http(home, "POST", f"{home}:7400", path, {}, lines)
            return status, body["code"], told[b"md-verdict"]

        assert await ask("/withdrawals/1") == (409, "key_may_have_run", b"may-have-run")
        assert await ask("/nowhere") == (404, "way_unknown", b"may-have-run")
        late = await ask("/withdrawals/1", (b"md-due", b"0"))
        assert late[2] == b"may-have-run"

    run(scenario, application=("desk",))


def got(key="k", body=None, repeat=False, caller="guest"):
    return EndpointRequest("POST", "/w", "", caller, key, "c", 0, body, repeat)


def test_the_record_lasts_is_bounded_and_runs_a_key_once(tmp_path):
    async def scenario():
        ran = []

        async def work(got):
            ran.append(got.key)
            if got.key == "breaks":
                raise RuntimeError
            return 200, {"n": len(ran)}

        record = ExecutionRecord(Disk(tmp_path), capacity=3)
        first = await record.run_once(got(), work)
        assert (await record.run_once(got(), work)).body == first.body
        assert (await record.run_once(got(body={"other": 1}), work)).status == 422
        assert (
            await record.run_once(got(caller="paper"), work)
        ).status == 200  # keys are a caller's
        with pytest.raises(RuntimeError):
            await record.run_once(got("breaks"), work)
        again = ExecutionRecord(Disk(tmp_path), capacity=3)
        assert (await again.run_once(got(), work)).body == first.body
        assert (await again.run_once(got("breaks"), work)).status == 409  # it may have run
        assert (await again.run_once(got("new", repeat=True), work)).status == 409
        for number in range(5):
            await again.run_once(got(f"n{number}"), work)
        assert len(again.entries) == 3
        assert len(await again.disk.names("key")) == 3
        assert ran.count("k") == 2
        assert ran.count("breaks") == 1

    trio.run(scenario)


def test_a_record_that_is_cut_short_is_taken_for_a_call_that_may_have_run(tmp_path):
    async def scenario():
        async def work(got):
            return 200, {}

        record = ExecutionRecord(Disk(tmp_path))
        await record.run_once(got(), work)
        (name,) = await record.disk.names("key")
        with open(tmp_path / "key" / name, "r+b") as file:
            file.truncate(20)
        assert (await ExecutionRecord(Disk(tmp_path)).run_once(got(), work)).status == 409

    trio.run(scenario)


def test_two_callers_with_one_key_at_once_run_once():
    async def scenario(world):
        journal, disks = [], {}
        await configured(world, recorded())
        home, other = hosts(world)
        await place(world, home, journal, disks, capacity=4)
        await sleep_us(2 * S)
        found = []

        async def call(host):
            found.append(await world.client(host).call("POST", "/withdrawals/1", {"a": 1}, key="k"))

        at = monotonic_us()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, home)
            nursery.start_soon(call, other)  # spilled to the same endpoint
        assert monotonic_us() - at < S
        assert len(journal) == 1
        words = sorted(str(f.value_or("refused"))[:7] for f in found)
        assert words == ["Answer(", "refused"]

    run(scenario, application=("desk", "desk"))
