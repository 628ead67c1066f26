"""Verification of an audit trail with the public key, without trusting the members that store it.

The JOSE library needs much memory, so it is imported on first use.
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
    """The start of a chain whose older records were removed.

    :ivar version: the version of the first record of the chain.
    :ivar former: the hash of the record before it.
    """

    version: int
    former: str


def verify(
    records: Sequence[str],
    public: Mapping[str, str],
    version: int | None = None,
    anchor: Mapping[str, Any] | None = None,
) -> list[str]:
    """Verify a chain of records and return its faults in order; empty if there is none.

    :param public: the public signing key as a JWK.
    :param version: the version of the current revision, if known.
    :param anchor: {"version", "former"} as in Anchor; without it, the chain must begin with the
        record whose "former" hash is empty.

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
    chain_start = None if anchor is None else Anchor(anchor["version"], anchor["former"])
    payloads = [read_payload(record) for record in records]
    versions = {payload["version"] for payload in payloads if payload}
    verifier = ChainVerifier(key, versions, chain_start)
    for record, payload in zip(records, payloads, strict=True):
        verifier.check_record(record, payload)
    if version is not None:
        verifier.check_end(version)
    return verifier.faults


class ChainVerifier:
    """Checks a chain record by record and collects its faults.

    Invariants: position is the version in the chain of the last record that was checked, and former
    is the hash of that record. Before the first record, both are those of the record that precedes
    the anchor; without an anchor, position is None and former is empty.
    """

    def __init__(self, key: OKPKey, versions: set[int], anchor: Anchor | None) -> None:
        self.key = key
        self.versions = versions  # of all records of the chain
        self.faults: list[str] = []
        self.position: int | None = None
        self.former = ""
        if anchor is not None:
            self.position = anchor.version - 1
            self.former = anchor.former

    def check_record(self, record: str, payload: dict[str, Any] | None) -> None:
        """Check the next record."""
        self.position = position = self.next_position(payload)
        if payload is None:
            self.faults.append(f"record {position} can't be read")
        else:
            self.faults += signature_faults(record, payload["version"], self.key)
            self.check_position(payload, position)
        self.former = record_hash(record)

    def next_position(self, payload: dict[str, Any] | None) -> int:
        """Return the expected version of the next record."""
        if self.position is not None:
            return self.position + 1
        is_start = payload is not None and payload.get("former") == ""
        return payload["version"] if payload is not None and is_start else FIRST_VERSION

    def check_position(self, payload: dict[str, Any], position: int) -> None:
        """Check that the record follows the previous one."""
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
    """Return the fault of a record's signature, if there is one."""
    from joserfc import jws
    from joserfc.errors import JoseError

    try:
        jws.deserialize_compact(record, key, algorithms=[ALGORITHM])
    except (JoseError, ValueError):
        if read_header(record).get("kid") != key.thumbprint():
            return [f"record {version} is not signed by the key"]
        return [f"record {version} was altered"]
    return []
