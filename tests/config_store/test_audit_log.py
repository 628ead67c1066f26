"""The audit log's segments and their transfer; commits that are sent again; members that lag."""

from __future__ import annotations

import random

import pytest
import trio
from audit_log_facts import SIGNING_KEY, audit_chain, measure, open_store, write_former_layout
from item_builders import removed_item, route, service
from manifests import manifest, manifest_route
from mesh import restart_first_core_with_blank_disk, start_configured

from meadowdock import audit
from meadowdock.config_store import audit_log, audit_log_transfer, repair
from meadowdock.config_store.audit_log import RECORD_FOLDER, SEGMENT_FOLDER, AuditLogState
from meadowdock.rpc import Rejected
from meadowdock.runtime import MILLISECOND, SECOND, MemoryDisk, sleep_us
from meadowdock.simulator import SimDisk, run

PUBLIC = SIGNING_KEY.as_dict(private=False)
SHORT = 8  # records in a segment, where a test needs many segments


def changed(number):
    return manifest([manifest_route(f"w{number}", "/balances")])


async def change(world, numbers, cores=(0, 1, 2)):
    """One configuration after another; {version: plan}"""
    plans = {}
    for number in numbers:
        core = cores[number % len(cores)]
        status, planned = await world.operate("POST", "/plan", changed(number), core)
        assert status == 200, planned
        status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]}, core)
        assert status == 200, told
        plans[told["version"]] = planned["plan"]
    return plans


async def checked_audit(world, core, version):
    status, told = await world.operate("GET", "/audit", core=core)
    assert (status, told.get("version")) == (200, version), told
    assert audit.verify(told["records"], told["key"], version, told["anchor"]) == []
    return told


def audit_log_at(world, host):
    return world.daemon("mdconf", host).store.audit_log


def on_disk(disk, folder):
    return sorted(
        name for name in disk.files if name.startswith(f"{folder}/") and not name.endswith(".aside")
    )


# ---------------------------------------------------------------- one member's disk


@pytest.mark.parametrize("length", [1, 63, 64, 65, 200])
def test_the_former_layout_is_read_and_migrated(length):
    async def work(world):
        records, disk = audit_chain(length), MemoryDisk()
        write_former_layout(disk, records)
        store = await open_store(disk)
        assert await store.audit_log.read(records) == records  # before anything is written
        await store.audit_log.seal()
        again = await open_store(disk)
        assert await again.audit_log.read(records) == records
        assert len(on_disk(disk, SEGMENT_FOLDER)) == length // audit_log.RECORDS_PER_SEGMENT
        assert len(on_disk(disk, RECORD_FOLDER)) == length % audit_log.RECORDS_PER_SEGMENT

    run(work)


class Stepwise(SimDisk):
    """The power can go before a removal too."""

    async def remove(self, name):
        with trio.CancelScope(shield=True) as shield:
            await self.step(shield)
        await super().remove(name)


@pytest.mark.parametrize("kept", [2, 256])
def test_power_lost_at_each_step_of_sealing_loses_no_record(monkeypatch, kept):
    """kept: segments; with 2 the oldest are dropped meanwhile."""
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)
    monkeypatch.setattr(audit_log, "MAX_SEGMENTS", kept)
    records = audit_chain(4 * SHORT + 3)

    async def cut_at(step):
        """True if the power went before the sealing was through."""
        disk = Stepwise(random.Random(step))
        write_former_layout(disk, records)
        disk.lasting = dict(disk.files)
        store = await open_store(disk)
        with trio.CancelScope() as scope:
            disk.lose_at, disk.on_loss = step, scope.cancel
            await store.audit_log.seal()
        disk.lose_at = None
        disk.power_off()
        store = await open_store(disk)
        first = store.audit_log.first_version
        assert first in ((1,) if kept == 256 else (1, 2 * SHORT + 1))
        wanted = {v: r for v, r in records.items() if v >= first}
        for _ in range(2):
            held = await store.audit_log.read(wanted)
            assert held == wanted
            anchor = store.audit_log.state().anchor()
            assert audit.verify(list(held.values()), PUBLIC, len(records), anchor) == []
            await store.audit_log.seal()  # what the power loss left half done is ended
            wanted = {v: r for v, r in records.items() if v >= store.audit_log.first_version}
        assert len(on_disk(disk, SEGMENT_FOLDER)) == min(kept, 4)
        return scope.cancelled_caught

    async def work(world):
        step = 1
        while await cut_at(step):
            step += 1
        assert step > 4 * 4

    run(work)


def test_a_segment_that_went_bad_is_missing_and_pulled_from_another_member():
    async def work(world):
        records, disk, whole = audit_chain(200), SimDisk(random.Random(1)), MemoryDisk()
        for target in (disk, whole):
            write_former_layout(target, records)
        disk.lasting = dict(disk.files)
        store, source = await open_store(disk), await open_store(whole)
        await store.audit_log.seal()
        await source.audit_log.seal()
        disk.rot(on_disk(disk, SEGMENT_FOLDER)[1])
        assert await store.audit_log.read(range(65, 129)) == {}
        versions_to_pull = store.audit_log.versions_to_pull(source.audit_log.state())
        assert versions_to_pull == list(range(65, 129))
        await store.audit_log.put_batch(await source.audit_log.read(versions_to_pull))
        assert await (await open_store(disk)).audit_log.read(records) == records

    run(work)


def test_the_oldest_segments_go_behind_a_checkpoint_that_verify_takes(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)
    monkeypatch.setattr(audit_log, "MAX_SEGMENTS", 3)

    async def work(world):
        records, disk = audit_chain(100), MemoryDisk()
        store = await open_store(disk)
        for version, text in records.items():
            await store.audit_log.put({version: text})
            await store.audit_log.seal()
        again = await open_store(disk)
        assert again.audit_log.state() == store.audit_log.state()
        assert again.audit_log.first_version == 73  # of 12 sealed segments the last 3
        assert len(on_disk(disk, SEGMENT_FOLDER)) + len(on_disk(disk, RECORD_FOLDER)) == 3 + 4
        kept = list((await again.audit_log.read(range(1, 101))).values())
        anchor = again.audit_log.state().anchor()
        assert audit.verify(kept, PUBLIC, 100, anchor) == []
        assert audit.verify(kept[1:], PUBLIC, 100, anchor) == ["record 73 is missing"]
        assert audit.verify(kept, PUBLIC, 100, {**anchor, "former": "00"}) == [
            "record 73 does not follow the one before it"
        ]
        await again.audit_log.put({1: records[1]})  # what was dropped does not come back
        assert not again.audit_log.holds(1)
        blank = await open_store(MemoryDisk())
        await blank.audit_log.adopt_beginning(
            AuditLogState.from_wire(again.audit_log.state().to_wire())
        )
        assert (blank.audit_log.first_version, blank.audit_log.previous_hash) == (
            73,
            anchor["former"],
        )

    run(work)


def test_of_two_chains_the_later_record_decides_before_a_segment_is_sealed(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)

    async def work(world):
        true, other = audit_chain(SHORT), audit_chain(1, 5, "00")
        store = await open_store(MemoryDisk())
        await store.audit_log.put(true | other)
        for _ in range(SHORT):
            await store.audit_log.seal()
            await store.audit_log.put(true)
        await store.audit_log.seal()
        assert list(store.audit_log.segments) == [0]
        assert await store.audit_log.read(true) == true

    run(work)


def test_a_start_and_a_ballot_stay_flat_while_the_history_grows():
    async def work(world):
        _, short = await measure(300)
        _, long = await measure(3_000)
        for what in ("files read", "records in memory", "files on disk"):
            assert long[what] <= max(short[what], 2 * audit_log.RECORDS_PER_SEGMENT), what
        assert long["head in a ballot"] < short["head in a ballot"] + 16
        assert long["largest message"] <= 64 << 10
        assert long["bytes after 10 missed"] <= short["bytes after 10 missed"] + 256

    run(work)


# ---------------------------------------------------------------- members that lag


class Lossy(dict):
    """For World.meddle: messages of the trail's transfer are lost, this part of them."""

    def __init__(self, rng, part):
        self.rng, self.part = rng, part

    def __contains__(self, method):
        return method.startswith("trail.") and self.rng.random() < self.part

    def __getitem__(self, method):
        return None


@pytest.mark.parametrize("trouble", ["none", "power", "loss"])
def test_a_member_that_was_away_for_600_changes_is_complete_again(trouble):
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        disk = world.disks["mdconf", host]
        world.power_off("mdconf", host)
        await change(world, range(600), cores=(1, 2))
        if trouble == "loss":
            world.meddle = Lossy(world.rng, 0.5)
        await world.start("mdconf", host)
        durable = set()
        if trouble == "power":
            await world.eventually(lambda: len(on_disk(disk, SEGMENT_FOLDER)) >= 3)
            world.power_off("mdconf", host)
            durable = set(on_disk(disk, SEGMENT_FOLDER))
            assert 3 <= len(durable) < 600 // audit_log.RECORDS_PER_SEGMENT  # in the middle of it
            await sleep_us(
                5 * MILLISECOND
            )  # a simulated write ends, and is logged, after its process
            world.trace.lines.clear()
            await world.start("mdconf", host)
        _, told = await world.operate("GET", "/status")
        assert told["catching_up"]["audit_records"] > 0
        await world.eventually(
            lambda: audit_log_at(world, host).missing(601) == [],
            within=(30 if trouble == "loss" else 10) * SECOND,
        )
        again = [line["first"] for _, line in world.trace.events(606) if line["what"] == "audit"]
        assert again
        assert not {f"{(first - 1) // audit_log.RECORDS_PER_SEGMENT:08d}" for first in again} & {
            name.split("/")[1][:8] for name in durable
        }  # nothing that was durable is pulled again
        world.meddle = {}
        _, told = await world.operate("GET", "/status")
        assert told["catching_up"] == {"audit_records": 0}
        world.kill(f"mdconf@{world.core[1]}")  # it counts for the majority now
        assert await world.configure(changed(1000), core=0) == 602
        assert len((await checked_audit(world, 0, 602))["records"]) == 602

    run(scenario, application=())


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_disk_lost_right_after_a_change_of_members_takes_no_record(monkeypatch, seed):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)

    async def scenario(world):
        await start_configured(world)
        await change(world, range(40))
        await sleep_us(3 * SECOND)
        host = await restart_first_core_with_blank_disk(world)
        link = f"{host}:7421"
        status, told = await world.operate("POST", "/members", {"old": link, "new": link}, core=1)
        assert (status, told["state"]) == (200, "changed"), told
        # at once, before anything is compared: the next one's disk, and the third's machine
        world.power_off("mdconf", world.core[1])
        world.lose_disk("mdconf", world.core[1])
        await world.start("mdconf", world.core[1])
        await world.eventually(
            lambda: not world.node("mdconf", world.core[1]).unready_reasons(), within=20 * SECOND
        )
        world.kill(f"mdconf@{world.core[2]}")
        assert len((await checked_audit(world, 1, 41))["records"]) == 41

    run(scenario, seed, application=())


def test_a_member_with_old_state_serves_nothing_old_and_may_lead_a_change_of_members(monkeypatch):
    """It is cut off first, then leads, at once, a change in which another disk is new. Nothing is
    compared meanwhile: the change alone has to carry the trail."""
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)
    monkeypatch.setattr(audit_log_transfer, "RUN_INTERVAL_US", 3600 * SECOND)

    async def scenario(world):
        await start_configured(world)
        old, other, third = world.core
        world.power_off("mdconf", old)
        await change(world, range(60), cores=(1, 2))
        for host in (other, third):
            world.web.cut(old, host)
        await world.start("mdconf", old)
        daemon = world.daemon("mdconf", old)
        status, told = await world.operate("GET", "/manifest", core=0)
        assert (status, told["code"]) == (503, "no_majority")
        with pytest.raises(Rejected, match="no_majority"):
            await daemon.revision_handlers.on_current_revision(None, 0)
        world.power_off("mdconf", other)
        world.lose_disk("mdconf", other)
        world.web.heal()
        await world.start("mdconf", other)
        await world.eventually(lambda: not world.node("mdconf", other).unready_reasons())
        leaders = [line["of"] for _, line in world.trace.events(607)]
        assert leaders == [daemon.node.settings.name]
        assert (await world.operate("GET", "/manifest", core=0))[1]["version"] == 61
        world.kill(f"mdconf@{third}")  # the only one that had seen all of it
        assert len((await checked_audit(world, 0, 61))["records"]) == 61
        assert len((await checked_audit(world, 1, 61))["records"]) == 61

    run(scenario, application=())


def test_a_change_of_members_sends_the_trail_in_bounded_pieces(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)
    sizes = []
    original = audit_log.AuditLog.read

    async def read(self, versions):
        records = await original(self, versions)
        sizes.append(len(records))
        return records

    async def scenario(world):
        await start_configured(world)
        await change(world, range(60))
        host = await restart_first_core_with_blank_disk(world)
        monkeypatch.setattr(audit_log.AuditLog, "read", read)
        link = f"{host}:7421"
        status, told = await world.operate("POST", "/members", {"old": link, "new": link}, core=1)
        assert (status, told["state"]) == (200, "changed"), told
        assert audit_log_at(world, host).missing(61) == []
        assert sum(sizes) >= 60
        assert max(sizes) <= SHORT

    run(scenario, application=())


# ---------------------------------------------------------------- orders sent again


def test_a_confirm_sent_again_after_300_changes_and_a_restart_of_all_is_acknowledged():
    async def scenario(world):
        await start_configured(world)
        first = await change(world, [0])
        ((version, plan),) = first.items()
        _, open_plan = await world.operate("POST", "/plan", changed(1))
        await change(world, range(2, 302))
        for again in ("while they run", "after a restart of all"):
            for core in range(3):
                status, told = await world.operate("POST", "/confirm", {"plan": plan}, core)
                assert (status, told.get("version")) == (200, version), (again, told)
                status, told = await world.operate("GET", f"/plan/{plan}", core=core)
                assert (told["state"], told["version"]) == ("confirmed", version), again
            status, told = await world.operate("POST", "/confirm", {"plan": open_plan["plan"]})
            assert (status, told["code"]) == (409, "outdated"), again  # never made: never said so
            for host in world.core:
                world.power_off("mdconf", host)
            for host in world.core:
                await world.start("mdconf", host)
            for host in world.core:
                await world.eventually(lambda h=host: not world.node("mdconf", h).unready_reasons())
        current = await world.daemon("mdconf", world.core[0]).revisions.read(10**12)
        assert len(current.history) == repair.RETAINED_VERSIONS

    run(scenario, application=())


def test_a_confirm_sent_again_at_a_member_that_lacks_the_record_asks_the_others(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)

    async def scenario(world):
        await start_configured(world)
        ((version, plan),) = (await change(world, [0])).items()
        await change(world, range(1, 60))
        await sleep_us(3 * SECOND)
        host = world.core[0]
        disk = world.disks["mdconf", host]
        held = audit_log_at(world, host)
        for name in on_disk(disk, SEGMENT_FOLDER):
            disk.rot(name)
        status, told = await world.operate("POST", "/confirm", {"plan": plan})
        assert (status, told.get("version")) == (200, version), told
        await world.eventually(lambda: held.missing(60) == [], within=30 * SECOND)

    run(scenario, application=())


@pytest.mark.parametrize("silent", [1, 2])
def test_a_member_that_stands_still_does_not_hold_up_a_piece(monkeypatch, silent):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)

    async def scenario(world):
        await start_configured(world)
        ((version, plan),) = (await change(world, [0])).items()
        await change(world, range(1, 60))
        await sleep_us(3 * SECOND)
        disk = world.disks["mdconf", world.core[0]]
        world.processes[f"mdconf@{world.core[silent]}"].freeze()
        for turn in range(2):  # whichever is asked first
            for name in on_disk(disk, SEGMENT_FOLDER):
                disk.rot(name)
            world.daemon("mdconf", world.core[0]).audit_log_transfer.round_number = turn
            status, told = await world.operate("POST", "/confirm", {"plan": plan})
            assert (status, told.get("version")) == (200, version), told
            await sleep_us(2 * SECOND)

    run(scenario, application=())


def test_a_confirm_older_than_the_trail_is_refused_as_expired(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT)
    monkeypatch.setattr(audit_log, "MAX_SEGMENTS", 2)

    async def scenario(world):
        await start_configured(world)
        ((_, plan),) = (await change(world, [0])).items()
        await change(world, range(1, 60))
        await sleep_us(3 * SECOND)
        assert all(audit_log_at(world, host).first_version > 32 for host in world.core)
        status, told = await world.operate("POST", "/confirm", {"plan": plan})
        assert (status, told["code"]) == (410, "plan_expired")
        assert len((await checked_audit(world, 0, 61))["records"]) == 62 - told_first(world)

    def told_first(world):
        return audit_log_at(world, world.core[0]).first_version

    run(scenario, application=())


def test_a_head_with_256_pairs_from_the_former_version_is_read_and_shortened():
    async def scenario(world):
        await start_configured(world)
        daemon = world.daemon("mdconf", world.core[0])
        pairs = [[v, f"{v:032x}"] for v in range(2, 257)]

        def former(head):
            return {**head, "version": 256, "history": [*head["history"], *pairs]}

        await daemon.proposer.change("manifest/head", former, 10**12)
        status, told = await world.operate("POST", "/confirm", {"plan": f"{7:032x}"}, 1)
        assert (status, told["version"]) == (200, 7)
        assert await world.configure(changed(1), 1) == 257
        assert len((await daemon.revisions.read(10**12)).history) == repair.RETAINED_VERSIONS

    run(scenario, application=())


def test_a_dropped_item_stays_dropped_after_many_changes_and_a_lost_disk():
    async def scenario(world):
        await start_configured(world)
        for items in ([service("desk"), route("r", 5)], [removed_item(route("r"), 6)]):
            await world.set_items(items)
        await change(world, range(100))
        for host in world.core:
            world.power_off("mdconf", host)
            await world.start("mdconf", host)
        host = await restart_first_core_with_blank_disk(world)
        link = f"{host}:7421"
        status, told = await world.operate("POST", "/members", {"old": link, "new": link}, core=1)
        assert status == 200, told
        world.kill(f"mdconf@{world.core[1]}")
        await world.set_items([route("r", 5)])  # an older one that comes late
        _, told = await world.operate("GET", "/items")
        assert "r" not in [item["name"] for item in told["items"] if item["kind"] == "route"]

    run(scenario, application=())
