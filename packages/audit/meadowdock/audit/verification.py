"""Verification of an audit trail by whoever has the public key: no trust in its members is needed.

The library for JOSE is heavy: it is loaded when a trail is verified, not before.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from meadowdock.audit.record import ALGORITHM, read_header, read_payload, record_hash

if TYPE_CHECKING:
    from joserfc.jwk import OKPKey

FIRST_VERSION = 1


@dataclass(frozen=True, slots=True)
class Anchor:
    """Where a chain begins whose older records were removed. version: of its first record.
    former: the hash of the record before it."""

    version: int
    former: str


def verify(
    records: Sequence[str],
    public: Mapping[str, str],
    version: int | None = None,
    anchor: Mapping[str, Any] | None = None,
) -> list[str]:
    """Every fault of a chain of records, in order; an empty list if there is none.

    public: the signing key's public half as a JWK. version: that of the current revision, if known.
    anchor: {"version", "former"} as in Anchor; without it the chain begins with the record whose
    former hash is empty.

    >>> from meadowdock.audit import record_hash, sign, signing_key
    >>> key = signing_key(b"k" * 32)
    >>> first = sign(key, {"version": 1, "former": ""})
    >>> second = sign(key, {"version": 2, "former": record_hash(first)})
    >>> verify([first, second], key.as_dict(private=False))
    []
    >>> verify([second], key.as_dict(private=False))
    ['record 1 is missing']
    >>> verify([second, first], key.as_dict(private=False))
    ['record 2 stands in the place of 1', 'record 1 stands in the place of 2']
    >>> foreign = sign(signing_key(b"x" * 32), {"version": 2, "former": record_hash(first)})
    >>> verify([first, foreign], key.as_dict(private=False))
    ['record 2 is not signed by the key']
    """
    from joserfc.jwk import OKPKey

    key = OKPKey.import_key(dict(public))
    start = None if anchor is None else Anchor(anchor["version"], anchor["former"])
    payloads = [read_payload(record) for record in records]
    versions = {payload["version"] for payload in payloads if payload}
    verifier = ChainVerifier(key, versions, start)
    for record, payload in zip(records, payloads, strict=True):
        verifier.check(record, payload)
    if version is not None:
        verifier.check_end(version)
    return verifier.faults


class ChainVerifier:
    """Goes through a chain, record by record, and collects its faults.

    Invariants: position is the version that the record checked last should have, or None before
    the first; former is that record's hash."""

    def __init__(self, key: OKPKey, versions: set[int], anchor: Anchor | None) -> None:
        self.key = key
        self.versions = versions  # of all records of the chain
        self.faults: list[str] = []
        self.position: int | None = None
        self.former = ""
        if anchor is not None:
            self.position = anchor.version - 1
            self.former = anchor.former

    def check(self, record: str, payload: dict[str, Any] | None) -> None:
        """Check the next record."""
        self.position = position = self.next_position(payload)
        if payload is None:
            self.faults.append(f"record {position} can't be read")
        else:
            self.faults += signature_faults(record, payload["version"], self.key)
            self.check_position(payload, position)
        self.former = record_hash(record)

    def next_position(self, payload: dict[str, Any] | None) -> int:
        """The version that the next record should have."""
        if self.position is not None:
            return self.position + 1
        is_start = payload is not None and payload.get("former") == ""
        return payload["version"] if payload is not None and is_start else FIRST_VERSION

    def check_position(self, payload: dict[str, Any], position: int) -> None:
        """Check that the record is the one after the former."""
        version = payload["version"]
        if version == position:
            if payload.get("former") != self.former:
                self.faults.append(f"record {position} does not follow the one before it")
        elif position in self.versions:
            self.faults.append(f"record {version} stands in the place of {position}")
        else:
            self.faults.append(f"record {position} is missing")
            self.position = version

    def check_end(self, version: int) -> None:
        """Check that the chain reaches the version of the current revision."""
        last = self.position or 0
        if version > last:
            self.faults.append(f"records {last + 1} to {version} are missing")


def signature_faults(record: str, version: int, key: OKPKey) -> list[str]:
    """What is wrong with a record's signature: nothing or one fault."""
    from joserfc import jws
    from joserfc.errors import JoseError

    try:
        jws.deserialize_compact(record, key, algorithms=[ALGORITHM])
    except (JoseError, ValueError):
        if read_header(record).get("kid") != key.thumbprint():
            return [f"record {version} is not signed by the key"]
        return [f"record {version} was altered"]
    return []
