"""The audit trail: one signed record for each accepted change, and what is wrong with a false one."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
import trio
from facts import manifest, way
from mesh import configured

from meadowdock import audit
from meadowdock.runtime import SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run


def changed(number):
    return manifest([way(f"w{number}", "/balances")])


def chain(length=4, key=b"k" * 32):
    records = []
    for version in range(1, length + 1):
        former = audit.record_hash(records[-1]) if records else ""
        facts = {"version": version, "plan": f"p{version}", "former": former}
        records.append(audit.sign(audit.signing_key(key), facts))
    return records


def altered(record):
    """Its header and seal, and another chain's facts."""
    head, _, seal = record.split(".")
    return ".".join([head, chain(4, b"z" * 32)[3].split(".")[1], seal])


FOREIGN = audit.sign(audit.signing_key(b"x" * 32), {"version": 2, "former": ""})
FALSE = {
    "altered": (lambda r: [*r[:3], altered(r[3])], "record 4 was altered"),
    "missing": (lambda r: [r[0], *r[2:]], "record 2 is missing"),
    "the first missing": (lambda r: r[1:], "record 1 is missing"),
    "the last missing": (lambda r: r[:3], "records 4 to 4 are missing"),
    "reordered": (lambda r: [r[0], r[2], r[1], r[3]], "record 3 stands in the place of 2"),
    "foreign": (lambda r: [r[0], FOREIGN, *r[2:]], "record 2 is not signed by the key"),
    "of another chain": (
        lambda r: [
            r[0],
            audit.sign(audit.signing_key(b"k" * 32), {"version": 2, "former": "00"}),
            *r[2:],
        ],
        "record 2 does not follow the one before it",
    ),
    "no record": (lambda r: [r[0], "junk", *r[2:]], "record 2 can't be read"),
}


@pytest.mark.parametrize("how", FALSE)
def test_a_false_trail_is_named(how):
    public = audit.signing_key(b"k" * 32).as_dict(private=False)
    records = chain()
    assert audit.verify(records, public, 4) == []
    spoil, said = FALSE[how]
    assert said in audit.verify(spoil(records), public, 4)


async def trail(world, core=0):
    status, told = await world.operate("GET", "/audit", core=core)
    assert status == 200
    assert audit.verify(told["records"], told["key"], told["version"], told["anchor"]) == []
    return told


def test_racing_operators_leave_one_record_for_each_version_and_no_more():
    async def scenario(world):
        await configured(world)
        accepted = {}

        async def change(number):
            core = number % 3
            status, planned = await world.operate("POST", "/plan", changed(number), core)
            status, told = await world.operate("POST", "/confirm", {"plan": planned["plan"]}, core)
            if status == 200:
                accepted[told["version"]] = planned["plan"]

        for turn in range(5):
            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(change, 10 * turn + number)
        told = await trail(world, 1)
        plans = {f["version"]: f["plan"] for f in map(audit.read_payload, told["records"])}
        assert told["version"] == max(accepted)
        assert {v: plans[v] for v in accepted} == accepted

    run(scenario)


def test_records_outlive_the_machines_that_took_them():
    """One core machine after the other loses its disk; at last one more is taken away."""

    async def scenario(world):
        await configured(world)
        for number in range(6):
            host = world.core[number % 3]
            await world.configure(changed(number), number % 3)
            if number < 3:
                world.power_off("mdconf", host)
                world.lose_disk("mdconf", host)
                await world.start("mdconf", host)
                conf = world.node("mdconf", host)
                await world.eventually(lambda c=conf: not c.unready_reasons(), within=15 * SECOND)
        await sleep_us(8 * SECOND)
        for host in world.core:  # and each copy is whole by itself, mended by digests
            assert world.daemon("mdconf", host).store.trail.state().tail == [1, 2, 3, 4, 5, 6]
        world.kill(f"mdconf@{world.core[0]}")
        assert len((await trail(world, 1))["records"]) == 7

    run(scenario)


def ctl(*words):
    return subprocess.run(
        [sys.executable, "-m", "meadowdock.cli", "audit", *words],
        capture_output=True,
        text=True,
        check=False,
    )


def test_mdctl_checks_an_exported_trail_with_a_key_of_ones_own(tmp_path):
    key = audit.signing_key(b"k" * 32).as_dict(private=False)
    records = chain()
    trailed, trusted = tmp_path / "trail.json", tmp_path / "key.json"
    trusted.write_text(json.dumps(key))
    trailed.write_text(json.dumps({"version": 4, "key": key, "records": records}))
    good = ctl(f"--file={trailed}", f"--key={trusted}")
    assert (good.returncode, json.loads(good.stdout)["wrong"]) == (0, [])
    trailed.write_text(json.dumps({"version": 4, "key": key, "records": records[1:]}))
    bad = ctl(f"--file={trailed}", f"--key={trusted}")
    assert (bad.returncode, json.loads(bad.stdout)["wrong"]) == (1, ["record 1 is missing"])
    trusted.write_text('{"kty": "OKP"}')
    assert ctl(f"--file={trailed}", f"--key={trusted}").returncode == 2


def test_a_folder_from_before_the_trail_is_read_and_begins_it_with_its_next_change():
    async def scenario(world):
        await configured(world)
        daemon = world.daemon("mdconf", world.core[0])
        await daemon.proposer.change(  # as the first landing wrote it
            "manifest/head",
            lambda head: {k: v for k, v in head.items() if k != "record"},
            monotonic_us() + SECOND,
        )
        assert await world.configure(changed(1), 1) == 2
        told = await trail(world, 2)
        assert [audit.read_payload(r)["version"] for r in told["records"]] == [2]

    run(scenario)
