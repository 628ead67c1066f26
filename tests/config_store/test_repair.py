"""State of the core that mends itself: files gone bad, members that lag, old files, full disks."""

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


def test_a_start_on_a_rotten_key_goes_on_as_another_disk_and_asks_for_its_place():
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        former = world.daemon("mdconf", host).store.disk
        world.power_off("mdconf", host)
        world.disks["mdconf", host].rot(files(world, host, "key")[-1])
        await world.start("mdconf", host)
        conf = world.node("mdconf", host)
        assert conf.daemon.store.disk != former
        assert not conf.daemon.store.is_voter
        assert files(world, host, "aside-" + conf.daemon.store.disk)  # nothing is thrown away
        await world.eventually(lambda: not conf.unready_reasons(), within=15 * SECOND)
        world.kill(f"mdconf@{world.core[1]}")
        assert await world.configure(changed(1), core=2) == 2

    run(scenario)


def test_an_unreadable_id_is_another_disk_with_the_same_keys():
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        store = world.daemon("mdconf", host).store
        former, cells = store.disk, dict(store.acceptor.states)
        world.power_off("mdconf", host)
        disk = world.disks["mdconf", host]
        disk.rot("disk")
        again = Store(disk, random.Random(1), lambda *_, **__: None)
        await again.load()
        assert again.disk != former
        assert again.acceptor.states == cells

    run(scenario)


@pytest.mark.parametrize("kind", ["key", "blob"])
def test_a_file_that_goes_bad_under_the_running_process_is_mended(kind):
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        await sleep_us(2 * SECOND)
        for other in world.core:  # a renewed lease has a new file, whatever became of the old
            world.kill(f"mdreg@{other}")
        await sleep_us(SECOND)
        disk = world.disks["mdconf", host]
        for name in files(world, host, kind):
            disk.rot(name)
        await sleep_us(5 * SECOND)
        what = {"key": "key_file", "blob": "range_file"}[kind]
        assert counts(world, host)[what] == len(files(world, host, kind)) > 0
        world.power_off("mdconf", host)
        await world.start("mdconf", host)
        await world.eventually(lambda: not world.node("mdconf", host).unready_reasons())

    run(scenario)


def test_a_member_that_lags_is_mended_by_digests_while_nothing_changes():
    async def scenario(world):
        await start_configured(world)
        acceptors = [world.daemon("mdconf", h).store.acceptor for h in world.core]
        for acceptor in acceptors[1:]:  # a majority accepted, the write to the first was lost
            await acceptor.prepare("duty/spare", (7, "p"))
            await acceptor.write("duty/spare", (7, "p"), {"epoch": 3})
        await world.eventually(lambda: acceptors[0].read("duty/spare")[1] == {"epoch": 3})
        assert counts(world, world.core[0])["key"] == 1
        assert acceptors[0].read("duty/spare") == acceptors[1].read("duty/spare")

    run(scenario)


def test_a_late_write_never_takes_the_place_of_a_promise():
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        own = world.daemon("mdconf", host)
        ballot, value = own.store.acceptor.read("manifest/head")
        await own.store.acceptor.prepare("manifest/head", (ballot[0] + 9, "x"))
        await own.repairer.repair_keys(
            {"manifest/head": [[ballot[0] + 5, "y"], {**value, "version": 99}]}
        )
        assert own.store.acceptor.read("manifest/head") == (ballot, value)

    run(scenario)


def test_thousands_of_changes_keep_the_folder_bounded(monkeypatch):
    """With the power lost now and then, also in the middle of removing."""
    monkeypatch.setattr(repair, "PLAN_LIFETIME_US", SECOND)
    monkeypatch.setattr(revision, "HISTORY_LENGTH", 40)

    async def scenario(world):
        await start_configured(world)
        most, version = 0, 1
        for number in range(2000):
            core = number % 3
            status, planned = await world.operate("POST", "/plan", changed(number), core)
            assert status == 200, planned
            if number % 10 == 0:
                continue  # a plan that nobody confirms
            status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]}, core)
            assert (status, told["version"]) == (200, version + 1)
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
                most = max(most, *(len(files(world, h, "blob")) for h in world.core))
        await sleep_us(5 * SECOND)
        assert sum(counts(world, h)["removed"] for h in world.core) > 3000
        assert most < 1000  # of 3600 plans and ranges
        for core in range(3):
            status, told = await world.operate("GET", "/manifest", core=core)
            assert (status, told["version"]) == (200, version)
        assert {w["name"] for w in told["manifest"]["ways"]} == {"w1999"}

    run(scenario, application=())


def test_an_old_plan_is_refused_clearly_and_a_confirm_that_races_with_removal_is_whole(monkeypatch):
    monkeypatch.setattr(repair, "PLAN_LIFETIME_US", 4 * SECOND)

    async def scenario(world):
        await start_configured(world)
        _, first = await world.operate("POST", "/plan", changed(1))
        await sleep_us(5 * SECOND)
        status, told = await world.operate("POST", "/confirm", {"plan": first["plan"]})
        assert (status, told["code"]) == (410, "plan_expired")
        assert (await world.operate("GET", f"/plan/{first['plan']}"))[1]["state"] == "expired"
        await sleep_us(14 * SECOND)
        status, told = await world.operate("POST", "/confirm", {"plan": first["plan"]})
        assert (status, told["code"]) == (404, "plan_unknown")
        # the same ranges again, planned just when their former files are about to go
        for wait in range(8):
            number = 10 + wait
            _, old = await world.operate("POST", "/plan", changed(number))
            await sleep_us(7 * SECOND + wait * 200 * MILLISECOND)
            _, planned = await world.operate("POST", "/plan", changed(number), core=1)
            assert planned["plan"] != old["plan"]
            status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]})
            assert status == 200, told
            status, told = await world.operate("GET", "/manifest", core=2)
            assert (status, told["manifest"]["ways"][0]["name"]) == (200, f"w{number}")

    run(scenario, application=())


@pytest.mark.parametrize("fault", ["full", "stalled"])
def test_a_full_or_stalled_disk_is_told_and_the_member_returns_by_itself(fault):
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        disk, conf = world.disks["mdconf", host], world.node("mdconf", host)
        full = fault == "full"
        disk.full, disk.stalled = full, None if full else trio.Event()
        assert await world.configure(changed(1), core=1) == 2  # the others go on
        why = "can't be written" if full else "does not answer"
        await world.eventually(lambda: any(why in w for w in conf.unready_reasons()))
        status, told = await world.operate("GET", "/status")
        assert why in told["disk_here"]
        if not full:
            disk.stalled.set()
        disk.full, disk.stalled = False, None
        await world.eventually(lambda: conf.unready_reasons() == [])
        assert (await world.operate("GET", "/status"))[1]["disk_here"] == "good"

    run(scenario)
