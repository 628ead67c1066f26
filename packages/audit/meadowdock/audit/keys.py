"""The Ed25519 key that signs audit records, with its public key as a JWK.

Signing uses only the Ed25519 implementation of the cryptography library, which is imported when the
first key is created. The complete JOSE library, which verification uses, would take 3 MB of memory
in each member of the config store.
"""

from __future__ import annotations

import hashlib
import hmac
import json

from meadowdock.audit.encoding import base64url

KEY_PURPOSE = b"audit"  # HMAC message that derives the signing key from the fleet key


class SigningKey:
    """An Ed25519 key that signs audit records."""

    def __init__(self, seed: bytes) -> None:
        from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

        self.private = Ed25519PrivateKey.from_private_bytes(seed)
        self.x = base64url(self.private.public_key().public_bytes_raw())

    def as_dict(self, private: bool = False) -> dict[str, str]:
        """Return the public key as a JWK (RFC 8037).

        :raises ValueError: the private key was requested, which is never exported.
        """
        if private:
            raise ValueError("the private signing key can't be exported, only the public one")
        return {"crv": "Ed25519", "x": self.x, "kty": "OKP"}

    def thumbprint(self) -> str:
        """Return the key ID in the header of each record (RFC 7638)."""
        members = json.dumps(self.as_dict(), separators=(",", ":"), sort_keys=True)
        return base64url(hashlib.sha256(members.encode()).digest())

    def sign(self, data: bytes) -> bytes:
        """Return the signature of some data."""
        return self.private.sign(data)


def signing_key(fleet_key: bytes) -> SigningKey:
    """Derive the signing key from the fleet key, so that no further secret has to be stored."""
    return SigningKey(hmac.digest(fleet_key, KEY_PURPOSE, "sha256"))
