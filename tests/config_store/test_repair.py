"""Repair of the core's durable state: damaged files, members that lag, old files, full disks."""

from __future__ import annotations

import random

import pytest
import trio
from manifests import manifest, manifest_route
from mesh import start_configured

from meadowdock.config_store import repair, revision
from meadowdock.config_store.store import Store
from meadowdock.runtime import MILLISECOND, SECOND, sleep_us
from meadowdock.simulator import run


def changed(number):
    return manifest([manifest_route(f"w{number}", "/balances")])


def files(world, host, kind):
    return sorted(n for n in world.disks["mdconf", host].files if n.startswith(f"{kind}/"))


def counts(world, host):
    return world.daemon("mdconf", host).repairer.counts


def test_a_start_with_a_damaged_key_gets_a_new_disk_id_and_rejoins():
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        old_disk_id = world.daemon("mdconf", host).store.disk_id
        world.power_off("mdconf", host)
        world.disks["mdconf", host].rot(files(world, host, "key")[-1])
        await world.start("mdconf", host)
        node = world.node("mdconf", host)
        assert node.daemon.store.disk_id != old_disk_id
        assert not node.daemon.store.is_voter
        # the damaged state is kept aside
        assert files(world, host, "aside-" + node.daemon.store.disk_id)
        await world.eventually(lambda: not node.unready_reasons(), within=15 * SECOND)
        world.kill(f"mdconf@{world.core[1]}")
        assert await world.configure(changed(1), core=2) == 2

    run(scenario)


def test_an_unreadable_disk_id_is_replaced_and_the_keys_are_kept():
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        store = world.daemon("mdconf", host).store
        old_disk_id, states = store.disk_id, dict(store.acceptor.states)
        world.power_off("mdconf", host)
        disk = world.disks["mdconf", host]
        disk.rot("disk")
        reopened = Store(disk, random.Random(1), lambda *_, **__: None)
        await reopened.load()
        assert reopened.disk_id != old_disk_id
        assert reopened.acceptor.states == states

    run(scenario)


@pytest.mark.parametrize("kind", ["key", "blob"])
def test_a_file_damaged_while_the_process_runs_is_repaired(kind):
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        await sleep_us(2 * SECOND)
        for other in world.core:  # a renewal would replace the damaged file of the lease
            world.kill(f"mdreg@{other}")
        await sleep_us(SECOND)
        disk = world.disks["mdconf", host]
        for name in files(world, host, kind):
            disk.rot(name)
        await sleep_us(5 * SECOND)
        counter = {"key": "key_file", "blob": "range_file"}[kind]
        assert counts(world, host)[counter] == len(files(world, host, kind)) > 0
        world.power_off("mdconf", host)
        await world.start("mdconf", host)
        await world.eventually(lambda: not world.node("mdconf", host).unready_reasons())

    run(scenario)


def test_a_lagging_member_is_repaired_by_comparing_digests():
    async def scenario(world):
        await start_configured(world)
        acceptors = [world.daemon("mdconf", h).store.acceptor for h in world.core]
        # a majority accepted; the write to the first member was lost
        for acceptor in acceptors[1:]:
            await acceptor.prepare("duty/spare", (7, "p"))
            await acceptor.write("duty/spare", (7, "p"), {"epoch": 3})
        await world.eventually(lambda: acceptors[0].read("duty/spare")[1] == {"epoch": 3})
        assert counts(world, world.core[0])["key"] == 1
        assert acceptors[0].read("duty/spare") == acceptors[1].read("duty/spare")

    run(scenario)


def test_a_late_write_does_not_override_a_promise():
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        daemon = world.daemon("mdconf", host)
        ballot, value = daemon.store.acceptor.read("manifest/head")
        await daemon.store.acceptor.prepare("manifest/head", (ballot[0] + 9, "x"))
        await daemon.repairer.repair_keys(
            {"manifest/head": [[ballot[0] + 5, "y"], {**value, "version": 99}]}
        )
        assert daemon.store.acceptor.read("manifest/head") == (ballot, value)

    run(scenario)


def test_the_number_of_chunk_files_stays_bounded_over_thousands_of_changes(monkeypatch):
    """Power is lost now and then, also in the middle of a removal."""
    monkeypatch.setattr(repair, "PLAN_LIFETIME_US", SECOND)
    monkeypatch.setattr(revision, "HISTORY_LENGTH", 40)

    async def scenario(world):
        await start_configured(world)
        max_files, version = 0, 1
        for number in range(2000):
            core = number % 3
            status, planned = await world.operate("POST", "/plan", changed(number), core)
            assert status == 200, planned
            if number % 10 == 0:
                continue  # a plan that is never committed
            status, response = await world.operate(
                "POST", "/confirm", {"plan": planned["plan"]}, core
            )
            assert (status, response["version"]) == (200, version + 1)
            version += 1
            if number % 200 == 50:
                host = world.core[(number // 200) % 3]
                disk = world.disks["mdconf", host]
                disk.lose_at = disk.steps + world.rng.randrange(3, 40)
                await sleep_us(SECOND)
                if disk.lose_at is None:
                    world.processes.pop(f"mdconf@{host}")
                    disk.power_off()
                    await world.start("mdconf", host)
                    await world.eventually(
                        lambda h=host: not world.node("mdconf", h).unready_reasons()
                    )
                disk.lose_at = None
            if number > 400:
                max_files = max(max_files, *(len(files(world, h, "blob")) for h in world.core))
        await sleep_us(5 * SECOND)
        assert sum(counts(world, h)["removed"] for h in world.core) > 3000
        assert max_files < 1000  # of 3600 plans and chunks
        for core in range(3):
            status, response = await world.operate("GET", "/manifest", core=core)
            assert (status, response["version"]) == (200, version)
        assert {w["name"] for w in response["manifest"]["ways"]} == {"w1999"}

    run(scenario, application=())


def test_an_expired_plan_is_rejected_and_a_commit_racing_with_chunk_removal_is_complete(
    monkeypatch,
):
    monkeypatch.setattr(repair, "PLAN_LIFETIME_US", 4 * SECOND)

    async def scenario(world):
        await start_configured(world)
        _, old_plan = await world.operate("POST", "/plan", changed(1))
        await sleep_us(5 * SECOND)
        status, response = await world.operate("POST", "/confirm", {"plan": old_plan["plan"]})
        assert (status, response["code"]) == (410, "plan_expired")
        assert (await world.operate("GET", f"/plan/{old_plan['plan']}"))[1]["state"] == "expired"
        await sleep_us(14 * SECOND)
        status, response = await world.operate("POST", "/confirm", {"plan": old_plan["plan"]})
        assert (status, response["code"]) == (404, "plan_unknown")
        # The same chunks are planned again, just when their old files are about to be removed.
        for attempt in range(8):
            number = 10 + attempt
            _, old = await world.operate("POST", "/plan", changed(number))
            await sleep_us(7 * SECOND + attempt * 200 * MILLISECOND)
            _, planned = await world.operate("POST", "/plan", changed(number), core=1)
            assert planned["plan"] != old["plan"]
            status, response = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
            assert status == 200, response
            status, response = await world.operate("GET", "/manifest", core=2)
            assert (status, response["manifest"]["ways"][0]["name"]) == (200, f"w{number}")

    run(scenario, application=())


@pytest.mark.parametrize("fault", ["full", "stalled"])
def test_a_full_or_stalled_disk_is_reported_and_the_member_recovers(fault):
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        disk, node = world.disks["mdconf", host], world.node("mdconf", host)
        full = fault == "full"
        disk.full, disk.stalled = full, None if full else trio.Event()
        assert await world.configure(changed(1), core=1) == 2  # the other members still commit
        reason = "can't be written" if full else "does not answer"
        await world.eventually(lambda: any(reason in r for r in node.unready_reasons()))
        status, response = await world.operate("GET", "/status")
        assert reason in response["disk_here"]
        if not full:
            disk.stalled.set()
        disk.full, disk.stalled = False, None
        await world.eventually(lambda: node.unready_reasons() == [])
        assert (await world.operate("GET", "/status"))[1]["disk_here"] == "good"

    run(scenario)


def test_a_series_of_changes_does_not_fill_the_disk_with_superseded_chunks(monkeypatch):
    monkeypatch.setattr(repair, "CHANGE_TIME_US", SECOND)
    limit, changes = 200_000, 120

    async def scenario(world):
        await start_configured(world)
        for host in world.core:
            world.daemon("mdconf", host).repairer.chunk_limit = limit
        routes = [manifest_route(f"w{n}", f"/balances{n}") for n in range(40)]
        most = 0
        for number in range(changes):
            routes[0] = manifest_route(f"changed{number}", "/balances0")
            assert await world.configure(manifest(routes), core=number % 3) == number + 2
            await sleep_us(200 * MILLISECOND)
            for host in world.core:
                disk = world.disks["mdconf", host]
                most = max(most, sum(len(disk.files[name]) for name in files(world, host, "blob")))
        assert most < 2 * limit, (
            most
        )  # what came in the last CHANGE_TIME_US is kept beyond the limit
        for core in range(3):
            _, response = await world.operate("GET", "/manifest", core=core)
            assert {w["name"] for w in response["manifest"]["ways"]} >= {f"changed{changes - 1}"}

    run(scenario, application=())
