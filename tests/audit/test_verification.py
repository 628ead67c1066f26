"""Verification of an audit trail, by `audit.verify` and by mdctl."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from meadowdock import audit


def sign_chain(length=4, key=b"k" * 32):
    records = []
    for version in range(1, length + 1):
        former = audit.record_hash(records[-1]) if records else ""
        payload = {"version": version, "plan": f"p{version}", "former": former}
        records.append(audit.sign(audit.signing_key(key), payload))
    return records


def with_foreign_payload(record):
    """Return the record with the payload of a record from another chain."""
    header, _, signature = record.split(".")
    return ".".join([header, sign_chain(4, b"z" * 32)[3].split(".")[1], signature])


FOREIGN_RECORD = audit.sign(audit.signing_key(b"x" * 32), {"version": 2, "former": ""})
FAULTS = {
    "altered": (
        lambda records: [*records[:3], with_foreign_payload(records[3])],
        "record 4 was altered",
    ),
    "missing": (lambda records: [records[0], *records[2:]], "record 2 is missing"),
    "the first missing": (lambda records: records[1:], "record 1 is missing"),
    "the last missing": (lambda records: records[:3], "records 4 to 4 are missing"),
    "reordered": (
        lambda records: [records[0], records[2], records[1], records[3]],
        "record 3 stands in the place of 2",
    ),
    "signed by another key": (
        lambda records: [records[0], FOREIGN_RECORD, *records[2:]],
        "record 2 is not signed by the key",
    ),
    "of another chain": (
        lambda records: [
            records[0],
            audit.sign(audit.signing_key(b"k" * 32), {"version": 2, "former": "00"}),
            *records[2:],
        ],
        "record 2 does not follow the one before it",
    ),
    "no record": (
        lambda records: [records[0], "junk", *records[2:]],
        "record 2 can't be read",
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fault_of_a_trail_is_reported(fault):
    public = audit.signing_key(b"k" * 32).as_dict(private=False)
    records = sign_chain()
    assert audit.verify(records, public, 4) == []
    tamper, message = FAULTS[fault]
    assert message in audit.verify(tamper(records), public, 4)


def run_mdctl(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "meadowdock.cli", "audit", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


def test_mdctl_verifies_an_exported_trail_with_a_trusted_key(tmp_path):
    key = audit.signing_key(b"k" * 32).as_dict(private=False)
    records = sign_chain()
    trail_file, key_file = tmp_path / "trail.json", tmp_path / "key.json"
    key_file.write_text(json.dumps(key))
    trail_file.write_text(json.dumps({"version": 4, "key": key, "records": records}))
    valid_result = run_mdctl(f"--file={trail_file}", f"--key={key_file}")
    assert (valid_result.returncode, json.loads(valid_result.stdout)["wrong"]) == (0, [])
    trail_file.write_text(json.dumps({"version": 4, "key": key, "records": records[1:]}))
    faulty_result = run_mdctl(f"--file={trail_file}", f"--key={key_file}")
    assert (faulty_result.returncode, json.loads(faulty_result.stdout)["wrong"]) == (
        1,
        ["record 1 is missing"],
    )
    key_file.write_text('{"kty": "OKP"}')
    assert run_mdctl(f"--file={trail_file}", f"--key={key_file}").returncode == 2
