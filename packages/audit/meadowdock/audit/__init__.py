"""An audit trail that others can check: each accepted change is one signed record (JWS, RFC 7515,
Ed25519), chained to the one before by its SHA-256. The newest is a part of the head itself; the head
is only changed once a majority holds the record before as a file of its own.

>>> key = signing_key(b"k" * 32)
>>> first = sign(key, {"version": 1, "former": ""})
>>> second = sign(key, {"version": 2, "former": name(first)})
>>> verify([first, second], key.as_dict(private=False))
[]
>>> verify([second], key.as_dict(private=False))
['record 1 is missing']
>>> verify([second, first], key.as_dict(private=False))
['record 2 stands in the place of 1', 'record 1 stands in the place of 2']
>>> verify([first, sign(signing_key(b"x" * 32), {"version": 2, "former": name(first)})],
...        key.as_dict(private=False))
['record 2 is not signed by the key']
"""

from __future__ import annotations

import base64
import hashlib
import hmac
import json
from typing import Any

ALGORITHM = "Ed25519"


# The libraries for keys are heavy: they are loaded when a record is signed or checked, not before.


def __getattr__(name: str) -> type:
    if name == "JoseError":
        from joserfc.errors import JoseError

        return JoseError
    raise AttributeError(name)


def base64url(data: bytes) -> str:
    """Base64 for URLs without padding, as JOSE writes it."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


class Key:
    """Signs records. It needs nothing but the signature itself from a library: a whole one for JOSE,
    as those who check have it, takes 3 MB of each member of the register."""

    def __init__(self, seed: bytes) -> None:
        from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

        self.private = Ed25519PrivateKey.from_private_bytes(seed)
        self.x = base64url(self.private.public_key().public_bytes_raw())

    def as_dict(self, private: bool = False) -> dict[str, str]:
        """The public half as a JWK (RFC 8037); the other is told to nobody."""
        if private:
            raise ValueError("only the public half is told")
        return {"crv": "Ed25519", "x": self.x, "kty": "OKP"}

    def thumbprint(self) -> str:
        """Of RFC 7638."""
        members = json.dumps(self.as_dict(), separators=(",", ":"), sort_keys=True)
        return base64url(hashlib.sha256(members.encode()).digest())


def signing_key(fleet_key: bytes) -> Key:
    """The fleet's own: all members sign alike, and nothing more is to be kept secret."""
    return Key(hmac.digest(fleet_key, b"audit", "sha256"))


def sign(key: Key, facts: dict) -> str:
    """The signed record of some facts, as a compact JWS."""
    import rfc8785

    header = json.dumps({"alg": ALGORITHM, "kid": key.thumbprint()}, separators=(",", ":"))
    signed = f"{base64url(header.encode())}.{base64url(rfc8785.dumps(facts))}"
    return f"{signed}.{base64url(key.private.sign(signed.encode()))}"


def name(record: str) -> str:
    """The hash by which the next record names this one."""
    return hashlib.sha256(record.encode()).hexdigest()


def verify(
    records: list[str],
    public: dict[str, str],
    version: int | None = None,
    anchor: dict | None = None,
) -> list[str]:
    """Every fault of the chain, in order; none is good. version: that of the head, if known.
    A chain begins with the record that names none before it, or at the anchor: {"version": of the
    first record, "former": the hash of the one before}."""
    from joserfc.jwk import OKPKey

    key, wrong = OKPKey.import_key(public), []
    told = [read(record) for record in records]
    present = {facts["version"] for facts in told if facts}
    former, place = "", None
    if anchor is not None:
        former, place = anchor["former"], anchor["version"] - 1
    for record, facts in zip(records, told, strict=True):
        if place is None:
            place = facts["version"] if facts and facts.get("former") == "" else 1
        else:
            place += 1
        if facts is None:
            wrong.append(f"record {place} can't be read")
        else:
            wrong += unsigned(record, facts["version"], key)
            if facts["version"] == place:
                if facts.get("former") != former:
                    wrong.append(f"record {place} does not follow the one before it")
            elif place in present:
                wrong.append(f"record {facts['version']} stands in the place of {place}")
            else:
                wrong.append(f"record {place} is missing")
                place = facts["version"]
        former = name(record)
    if version is not None and version > (place or 0):
        wrong.append(f"records {(place or 0) + 1} to {version} are missing")
    return wrong


def unsigned(record: str, version: int, key: Any) -> list[str]:
    """What is wrong with a record's signature: nothing or one fault."""
    from joserfc import jws
    from joserfc.errors import JoseError

    try:
        jws.deserialize_compact(record, key, algorithms=[ALGORITHM])
        return []
    except (JoseError, ValueError):
        foreign = part(record, 0).get("kid") != key.thumbprint()
        return [f"record {version} " + ("is not signed by the key" if foreign else "was altered")]


def read(record: str) -> dict | None:
    """The facts that a record tells, unproved, or None."""
    facts = part(record, 1)
    return facts if isinstance(facts.get("version"), int) else None


def part(record: str, index: int) -> dict:
    """The header (0) or the facts (1) of a record, unproved; empty if they can't be read."""
    try:
        text = record.split(".")[index]
        facts = json.loads(base64.urlsafe_b64decode(text + "=" * (-len(text) % 4)))
        return facts if isinstance(facts, dict) else {}
    except (ValueError, IndexError):
        return {}
