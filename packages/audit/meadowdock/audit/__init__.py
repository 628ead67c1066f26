"""An audit trail that third parties can verify.

Each accepted change has one signed record (JWS, RFC 7515, Ed25519), which refers to the previous
record by its SHA-256. The newest record is part of the current revision of the configuration. That
revision changes only after a durable quorum has stored the newest record in a file of its own.
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
    # The JOSE library needs much memory, so its exception is imported on first use.
    if name == "JoseError":
        from joserfc.errors import JoseError

        return JoseError
    raise AttributeError(name)
