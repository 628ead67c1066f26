"""Verification of an audit trail: which fault is named, and the command that does it."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from meadowdock import audit


def chain(length=4, key=b"k" * 32):
    records = []
    for version in range(1, length + 1):
        former = audit.record_hash(records[-1]) if records else ""
        payload = {"version": version, "plan": f"p{version}", "former": former}
        records.append(audit.sign(audit.signing_key(key), payload))
    return records


def altered(record):
    """Its header and signature, and another chain's payload."""
    header, _, signature = record.split(".")
    return ".".join([header, chain(4, b"z" * 32)[3].split(".")[1], signature])


FOREIGN = audit.sign(audit.signing_key(b"x" * 32), {"version": 2, "former": ""})
FAULTY = {
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


@pytest.mark.parametrize("fault", FAULTY)
def test_a_fault_of_a_trail_is_named(fault):
    public = audit.signing_key(b"k" * 32).as_dict(private=False)
    records = chain()
    assert audit.verify(records, public, 4) == []
    tamper, message = FAULTY[fault]
    assert message in audit.verify(tamper(records), public, 4)


def run_mdctl(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "meadowdock.cli", "audit", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


def test_mdctl_checks_an_exported_trail_with_a_key_of_ones_own(tmp_path):
    key = audit.signing_key(b"k" * 32).as_dict(private=False)
    records = chain()
    trail_file, key_file = tmp_path / "trail.json", tmp_path / "key.json"
    key_file.write_text(json.dumps(key))
    trail_file.write_text(json.dumps({"version": 4, "key": key, "records": records}))
    good = run_mdctl(f"--file={trail_file}", f"--key={key_file}")
    assert (good.returncode, json.loads(good.stdout)["wrong"]) == (0, [])
    trail_file.write_text(json.dumps({"version": 4, "key": key, "records": records[1:]}))
    bad = run_mdctl(f"--file={trail_file}", f"--key={key_file}")
    assert (bad.returncode, json.loads(bad.stdout)["wrong"]) == (1, ["record 1 is missing"])
    key_file.write_text('{"kty": "OKP"}')
    assert run_mdctl(f"--file={trail_file}", f"--key={key_file}").returncode == 2
