"""The key that signs audit records: Ed25519, its public half as a JWK.

Signing needs only the signature itself from a library: a complete one for JOSE, as the verification
uses it, would take 3 MB of memory in each member of the register. Even that library is loaded when
the first key is made, not when the module is imported.
"""

from __future__ import annotations

import hashlib
import hmac
import json

from meadowdock.audit.encoding import base64url

KEY_PURPOSE = b"audit"  # derives the signing key from the fleet key


class SigningKey:
    """Signs records."""

    def __init__(self, seed: bytes) -> None:
        from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

        self.private = Ed25519PrivateKey.from_private_bytes(seed)
        self.x = base64url(self.private.public_key().public_bytes_raw())

    def as_dict(self, private: bool = False) -> dict[str, str]:
        """The public half as a JWK (RFC 8037).

        :raises ValueError: the private half was asked for; it is never given out.
        """
        if private:
            raise ValueError("only the public half of the signing key is given out")
        return {"crv": "Ed25519", "x": self.x, "kty": "OKP"}

    def thumbprint(self) -> str:
        """The key's id in the header of each record (RFC 7638)."""
        members = json.dumps(self.as_dict(), separators=(",", ":"), sort_keys=True)
        return base64url(hashlib.sha256(members.encode()).digest())

    def sign(self, data: bytes) -> bytes:
        """The signature of some data."""
        return self.private.sign(data)


def signing_key(fleet_key: bytes) -> SigningKey:
    """The signing key that all members derive from the fleet key: no further secret is stored."""
    return SigningKey(hmac.digest(fleet_key, KEY_PURPOSE, "sha256"))
