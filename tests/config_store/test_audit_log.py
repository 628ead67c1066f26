"""The audit log's segments and their transfer, repeated commits, and members that lag."""

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

PUBLIC_KEY = SIGNING_KEY.as_dict(private=False)
SHORT_SEGMENT = 8  # records per segment, for tests that need many segments


def changed(number):
    return manifest([manifest_route(f"w{number}", "/balances")])


async def commit_changes(world, numbers, cores=(0, 1, 2)):
    """Commit one configuration after another; return {version: plan id}."""
    plans = {}
    for number in numbers:
        core = cores[number % len(cores)]
        status, planned = await world.operate("POST", "/plan", changed(number), core)
        assert status == 200, planned
        status, response = await world.operate("POST", "/confirm", {"plan": planned["plan"]}, core)
        assert status == 200, response
        plans[response["version"]] = planned["plan"]
    return plans


async def verified_audit(world, core, version):
    status, response = await world.operate("GET", "/audit", core=core)
    assert (status, response.get("version")) == (200, version), response
    assert audit.verify(response["records"], response["key"], version, response["anchor"]) == []
    return response


def audit_log_at(world, host):
    return world.daemon("mdconf", host).store.audit_log


def on_disk(disk, folder):
    return sorted(
        name for name in disk.files if name.startswith(f"{folder}/") and not name.endswith(".aside")
    )


@pytest.mark.parametrize("length", [1, 63, 64, 65, 200])
def test_the_former_layout_is_read_and_migrated(length):
    async def work(world):
        records, disk = audit_chain(length), MemoryDisk()
        write_former_layout(disk, records)
        store = await open_store(disk)
        assert await store.audit_log.read(records) == records  # before anything is written
        await store.audit_log.seal()
        reopened = await open_store(disk)
        assert await reopened.audit_log.read(records) == records
        assert len(on_disk(disk, SEGMENT_FOLDER)) == length // audit_log.RECORDS_PER_SEGMENT
        assert len(on_disk(disk, RECORD_FOLDER)) == length % audit_log.RECORDS_PER_SEGMENT

    run(work)


class StepwiseDisk(SimDisk):
    """A disk that may also lose power before a removal."""

    async def remove(self, name):
        with trio.CancelScope(shield=True) as shield:
            await self.step(shield)
        await super().remove(name)


@pytest.mark.parametrize("max_segments", [2, 256])
def test_power_lost_at_each_step_of_sealing_loses_no_record(monkeypatch, max_segments):
    """Lose power at each step of sealing.

    :param max_segments: with 2, the oldest are dropped during the test
    """
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)
    monkeypatch.setattr(audit_log, "MAX_SEGMENTS", max_segments)
    records = audit_chain(4 * SHORT_SEGMENT + 3)

    async def loses_power_at(step):
        """Return True if the power was lost before sealing was complete."""
        disk = StepwiseDisk(random.Random(step))
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
        assert first in ((1,) if max_segments == 256 else (1, 2 * SHORT_SEGMENT + 1))
        expected = {v: r for v, r in records.items() if v >= first}
        for _ in range(2):
            read_records = await store.audit_log.read(expected)
            assert read_records == expected
            anchor = store.audit_log.state().anchor()
            assert audit.verify(list(read_records.values()), PUBLIC_KEY, len(records), anchor) == []
            await store.audit_log.seal()  # completes what the power loss interrupted
            expected = {v: r for v, r in records.items() if v >= store.audit_log.first_version}
        assert len(on_disk(disk, SEGMENT_FOLDER)) == min(max_segments, 4)
        return scope.cancelled_caught

    async def work(world):
        step = 1
        while await loses_power_at(step):
            step += 1
        assert step > 4 * 4

    run(work)


def test_a_damaged_segment_counts_as_missing_and_is_pulled_from_another_member():
    async def work(world):
        records, disk, intact_disk = audit_chain(200), SimDisk(random.Random(1)), MemoryDisk()
        for target in (disk, intact_disk):
            write_former_layout(target, records)
        disk.lasting = dict(disk.files)
        store, source = await open_store(disk), await open_store(intact_disk)
        await store.audit_log.seal()
        await source.audit_log.seal()
        disk.rot(on_disk(disk, SEGMENT_FOLDER)[1])
        assert await store.audit_log.read(range(65, 129)) == {}
        versions_to_pull = store.audit_log.versions_to_pull(source.audit_log.state())
        assert versions_to_pull == list(range(65, 129))
        await store.audit_log.put_batch(await source.audit_log.read(versions_to_pull))
        assert await (await open_store(disk)).audit_log.read(records) == records

    run(work)


def test_the_oldest_segments_are_dropped_behind_a_checkpoint_that_verifies(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)
    monkeypatch.setattr(audit_log, "MAX_SEGMENTS", 3)

    async def work(world):
        records, disk = audit_chain(100), MemoryDisk()
        store = await open_store(disk)
        for version, text in records.items():
            await store.audit_log.put({version: text})
            await store.audit_log.seal()
        reopened = await open_store(disk)
        assert reopened.audit_log.state() == store.audit_log.state()
        assert reopened.audit_log.first_version == 73  # the last 3 of 12 sealed segments are kept
        assert len(on_disk(disk, SEGMENT_FOLDER)) + len(on_disk(disk, RECORD_FOLDER)) == 3 + 4
        kept = list((await reopened.audit_log.read(range(1, 101))).values())
        anchor = reopened.audit_log.state().anchor()
        assert audit.verify(kept, PUBLIC_KEY, 100, anchor) == []
        assert audit.verify(kept[1:], PUBLIC_KEY, 100, anchor) == ["record 73 is missing"]
        assert audit.verify(kept, PUBLIC_KEY, 100, {**anchor, "former": "00"}) == [
            "record 73 does not follow the one before it"
        ]
        await reopened.audit_log.put({1: records[1]})  # dropped records are not stored again
        assert not reopened.audit_log.holds(1)
        blank = await open_store(MemoryDisk())
        await blank.audit_log.adopt_first_version(
            AuditLogState.from_wire(reopened.audit_log.state().to_wire())
        )
        assert (blank.audit_log.first_version, blank.audit_log.previous_hash) == (
            73,
            anchor["former"],
        )

    run(work)


def test_of_two_diverging_chains_the_one_with_the_later_record_is_sealed(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)

    async def work(world):
        kept_chain, other = audit_chain(SHORT_SEGMENT), audit_chain(1, 5, "00")
        store = await open_store(MemoryDisk())
        await store.audit_log.put(kept_chain | other)
        for _ in range(SHORT_SEGMENT):
            await store.audit_log.seal()
            await store.audit_log.put(kept_chain)
        await store.audit_log.seal()
        assert list(store.audit_log.segments) == [0]
        assert await store.audit_log.read(kept_chain) == kept_chain

    run(work)


def test_the_cost_of_a_start_and_of_a_ballot_does_not_grow_with_the_history():
    async def work(world):
        _, short = await measure(300)
        _, long = await measure(3_000)
        for figure in ("files read", "records in memory", "files on disk"):
            assert long[figure] <= max(short[figure], 2 * audit_log.RECORDS_PER_SEGMENT), figure
        assert long["head in a ballot"] < short["head in a ballot"] + 16
        assert long["largest message"] <= 64 << 10
        assert long["bytes after 10 missed"] <= short["bytes after 10 missed"] + 256

    run(work)


class LossyTransfer(dict):
    """For World.meddle: drops this ratio of the messages of the audit log's transfer."""

    def __init__(self, rng, ratio):
        self.rng, self.ratio = rng, ratio

    def __contains__(self, method):
        return method.startswith("trail.") and self.rng.random() < self.ratio

    def __getitem__(self, method):
        return None


@pytest.mark.parametrize("fault", ["none", "power", "loss"])
def test_a_member_catches_up_after_missing_600_changes(fault):
    async def scenario(world):
        await start_configured(world)
        host = world.core[0]
        disk = world.disks["mdconf", host]
        world.power_off("mdconf", host)
        await commit_changes(world, range(600), cores=(1, 2))
        if fault == "loss":
            world.meddle = LossyTransfer(world.rng, 0.5)
        await world.start("mdconf", host)
        durable = set()
        if fault == "power":
            await world.eventually(lambda: len(on_disk(disk, SEGMENT_FOLDER)) >= 3)
            world.power_off("mdconf", host)
            durable = set(on_disk(disk, SEGMENT_FOLDER))
            # the catch-up is in progress
            assert 3 <= len(durable) < 600 // audit_log.RECORDS_PER_SEGMENT
            # a simulated write that was in progress still ends, and is logged, after the power loss
            await sleep_us(5 * MILLISECOND)
            world.trace.lines.clear()
            await world.start("mdconf", host)
        _, response = await world.operate("GET", "/status")
        assert response["catching_up"]["audit_records"] > 0
        await world.eventually(
            lambda: audit_log_at(world, host).missing(601) == [],
            within=(30 if fault == "loss" else 10) * SECOND,
        )
        pulled = [line["first"] for _, line in world.trace.events(606) if line["what"] == "audit"]
        assert pulled
        assert not {f"{(first - 1) // audit_log.RECORDS_PER_SEGMENT:08d}" for first in pulled} & {
            name.split("/")[1][:8] for name in durable
        }  # no durable segment is pulled again
        world.meddle = {}
        _, response = await world.operate("GET", "/status")
        assert response["catching_up"] == {"audit_records": 0}
        world.kill(f"mdconf@{world.core[1]}")  # the restarted member is needed for the majority now
        assert await world.configure(changed(1000), core=0) == 602
        assert len((await verified_audit(world, 0, 602))["records"]) == 602

    run(scenario, application=())


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_disk_lost_right_after_a_change_of_members_loses_no_record(monkeypatch, seed):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)

    async def scenario(world):
        await start_configured(world)
        await commit_changes(world, range(40))
        await sleep_us(3 * SECOND)
        host = await restart_first_core_with_blank_disk(world)
        link = f"{host}:7421"
        status, response = await world.operate(
            "POST", "/members", {"old": link, "new": link}, core=1
        )
        assert (status, response["state"]) == (200, "changed"), response
        # Immediately, before members compare: lose the second disk, then the third machine.
        world.power_off("mdconf", world.core[1])
        world.lose_disk("mdconf", world.core[1])
        await world.start("mdconf", world.core[1])
        await world.eventually(
            lambda: not world.node("mdconf", world.core[1]).unready_reasons(), within=20 * SECOND
        )
        world.kill(f"mdconf@{world.core[2]}")
        assert len((await verified_audit(world, 1, 41))["records"]) == 41

    run(scenario, seed, application=())


def test_a_lagging_member_serves_no_stale_state_and_can_lead_a_change_of_members(monkeypatch):
    """The member is cut off first, and then leads a change that brings in another blank disk.

    No comparison runs meanwhile: the change alone has to transfer the audit log.
    """
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)
    monkeypatch.setattr(audit_log_transfer, "RUN_INTERVAL_US", 3600 * SECOND)

    async def scenario(world):
        await start_configured(world)
        old, other, third = world.core
        world.power_off("mdconf", old)
        await commit_changes(world, range(60), cores=(1, 2))
        for host in (other, third):
            world.web.cut(old, host)
        await world.start("mdconf", old)
        daemon = world.daemon("mdconf", old)
        status, response = await world.operate("GET", "/manifest", core=0)
        assert (status, response["code"]) == (503, "no_majority")
        with pytest.raises(Rejected, match="no_majority"):
            await daemon.revision_handlers.on_current_revision(None, 0)
        world.power_off("mdconf", other)
        world.lose_disk("mdconf", other)
        world.web.heal()
        await world.start("mdconf", other)
        await world.eventually(lambda: not world.node("mdconf", other).unready_reasons())
        leaders = [line["of"] for _, line in world.trace.events(607)]
        assert leaders == [daemon.node.settings.node_name]
        assert (await world.operate("GET", "/manifest", core=0))[1]["version"] == 61
        world.kill(f"mdconf@{third}")  # the only member that had all records
        assert len((await verified_audit(world, 0, 61))["records"]) == 61
        assert len((await verified_audit(world, 1, 61))["records"]) == 61

    run(scenario, application=())


def test_a_change_of_members_transfers_the_audit_log_in_bounded_batches(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)
    sizes = []
    original = audit_log.AuditLog.read

    async def read(self, versions):
        records = await original(self, versions)
        sizes.append(len(records))
        return records

    async def scenario(world):
        await start_configured(world)
        await commit_changes(world, range(60))
        host = await restart_first_core_with_blank_disk(world)
        monkeypatch.setattr(audit_log.AuditLog, "read", read)
        link = f"{host}:7421"
        status, response = await world.operate(
            "POST", "/members", {"old": link, "new": link}, core=1
        )
        assert (status, response["state"]) == (200, "changed"), response
        assert audit_log_at(world, host).missing(61) == []
        assert sum(sizes) >= 60
        assert max(sizes) <= SHORT_SEGMENT

    run(scenario, application=())


def test_a_repeated_commit_is_acknowledged_after_300_changes_and_a_restart_of_all():
    async def scenario(world):
        await start_configured(world)
        first = await commit_changes(world, [0])
        ((version, plan),) = first.items()
        _, uncommitted_plan = await world.operate("POST", "/plan", changed(1))
        await commit_changes(world, range(2, 302))
        for phase in ("while they run", "after a restart of all"):
            for core in range(3):
                status, response = await world.operate("POST", "/confirm", {"plan": plan}, core)
                assert (status, response.get("version")) == (200, version), (phase, response)
                status, response = await world.operate("GET", f"/plan/{plan}", core=core)
                assert (response["state"], response["version"]) == ("confirmed", version), phase
            status, response = await world.operate(
                "POST", "/confirm", {"plan": uncommitted_plan["plan"]}
            )
            # never committed, so never acknowledged
            assert (status, response["code"]) == (409, "outdated"), phase
            for host in world.core:
                world.power_off("mdconf", host)
            for host in world.core:
                await world.start("mdconf", host)
            for host in world.core:
                await world.eventually(lambda h=host: not world.node("mdconf", h).unready_reasons())
        current = await world.daemon("mdconf", world.core[0]).revisions.read(10**12)
        assert len(current.history) == repair.RETAINED_VERSIONS

    run(scenario, application=())


def test_a_repeated_commit_at_a_member_that_lacks_the_record_asks_the_others(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)

    async def scenario(world):
        await start_configured(world)
        ((version, plan),) = (await commit_changes(world, [0])).items()
        await commit_changes(world, range(1, 60))
        await sleep_us(3 * SECOND)
        host = world.core[0]
        disk = world.disks["mdconf", host]
        own_log = audit_log_at(world, host)
        for name in on_disk(disk, SEGMENT_FOLDER):
            disk.rot(name)
        status, response = await world.operate("POST", "/confirm", {"plan": plan})
        assert (status, response.get("version")) == (200, version), response
        await world.eventually(lambda: own_log.missing(60) == [], within=30 * SECOND)

    run(scenario, application=())


@pytest.mark.parametrize("frozen", [1, 2])
def test_a_frozen_member_does_not_delay_a_pull(monkeypatch, frozen):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)

    async def scenario(world):
        await start_configured(world)
        ((version, plan),) = (await commit_changes(world, [0])).items()
        await commit_changes(world, range(1, 60))
        await sleep_us(3 * SECOND)
        disk = world.disks["mdconf", world.core[0]]
        world.processes[f"mdconf@{world.core[frozen]}"].freeze()
        for turn in range(2):  # whichever member is asked first
            for name in on_disk(disk, SEGMENT_FOLDER):
                disk.rot(name)
            world.daemon("mdconf", world.core[0]).audit_log_transfer.round_number = turn
            status, response = await world.operate("POST", "/confirm", {"plan": plan})
            assert (status, response.get("version")) == (200, version), response
            await sleep_us(2 * SECOND)

    run(scenario, application=())


def test_a_repeated_commit_older_than_the_audit_log_is_rejected_as_expired(monkeypatch):
    monkeypatch.setattr(audit_log, "RECORDS_PER_SEGMENT", SHORT_SEGMENT)
    monkeypatch.setattr(audit_log, "MAX_SEGMENTS", 2)

    async def scenario(world):
        await start_configured(world)
        ((_, plan),) = (await commit_changes(world, [0])).items()
        await commit_changes(world, range(1, 60))
        await sleep_us(3 * SECOND)
        assert all(audit_log_at(world, host).first_version > 32 for host in world.core)
        status, response = await world.operate("POST", "/confirm", {"plan": plan})
        assert (status, response["code"]) == (410, "plan_expired")
        assert len((await verified_audit(world, 0, 61))["records"]) == 62 - first_version(world)

    def first_version(world):
        return audit_log_at(world, world.core[0]).first_version

    run(scenario, application=())


def test_a_revision_with_a_history_of_256_pairs_from_an_older_release_is_shortened():
    async def scenario(world):
        await start_configured(world)
        daemon = world.daemon("mdconf", world.core[0])
        history_pairs = [[v, f"{v:032x}"] for v in range(2, 257)]

        def with_long_history(head):
            return {**head, "version": 256, "history": [*head["history"], *history_pairs]}

        await daemon.proposer.change("manifest/head", with_long_history, 10**12)
        status, response = await world.operate("POST", "/confirm", {"plan": f"{7:032x}"}, 1)
        assert (status, response["version"]) == (200, 7)
        assert await world.configure(changed(1), 1) == 257
        assert len((await daemon.revisions.read(10**12)).history) == repair.RETAINED_VERSIONS

    run(scenario, application=())


def test_a_dropped_item_stays_dropped_after_many_changes_and_a_lost_disk():
    async def scenario(world):
        await start_configured(world)
        for items in ([service("desk"), route("r", 5)], [removed_item(route("r"), 6)]):
            await world.set_items(items)
        await commit_changes(world, range(100))
        for host in world.core:
            world.power_off("mdconf", host)
            await world.start("mdconf", host)
        host = await restart_first_core_with_blank_disk(world)
        link = f"{host}:7421"
        status, response = await world.operate(
            "POST", "/members", {"old": link, "new": link}, core=1
        )
        assert status == 200, response
        world.kill(f"mdconf@{world.core[1]}")
        await world.set_items([route("r", 5)])  # an older version that arrives late
        _, response = await world.operate("GET", "/items")
        assert "r" not in [item["name"] for item in response["items"] if item["kind"] == "route"]

    run(scenario, application=())
