"""An audit trail that others can verify.

Each accepted change is one signed record (JWS, RFC 7515, Ed25519) that refers to the record before
it by its SHA-256. The newest record is part of the configuration's current revision itself, which
changes only once a durable quorum has stored the record before as a file of its own.
"""

from __future__ import annotations

from meadowdock.audit.keys import SigningKey, signing_key
from meadowdock.audit.record import read_payload, record_hash, sign
from meadowdock.audit.verification import Anchor, verify

__all__ = [
    "Anchor",
    "SigningKey",
    "read_payload",
    "record_hash",
    "sign",
    "signing_key",
    "verify",
]


def __getattr__(name: str) -> type[Exception]:
    # The library for JOSE is heavy: its error is looked up by those who verify, not before.
    if name == "JoseError":
        from joserfc.errors import JoseError

        return JoseError
    raise AttributeError(name)
