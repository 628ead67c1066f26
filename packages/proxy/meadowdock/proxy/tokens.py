"""Tokens that prove which endpoint a caller on this machine is.

A token is issued at registration. It carries its claims and a keyed digest of them (HMAC-SHA-256,
truncated to 16 bytes), so that a restarted proxy still accepts the tokens of its predecessor.
"""

from __future__ import annotations

import base64
import binascii
import hmac
from typing import NamedTuple

import ormsgpack

from meadowdock.rpc import derive_key

DIGEST_BYTES = 16


class TokenClaims(NamedTuple):
    """What a token proves: an endpoint process and its registration.

    The order of the fields is that on the wire.
    """

    service: str
    address: str
    incarnation: str
    issued_at: int  # microseconds, wall clock; unique for each registration at a proxy


class TokenSigner:
    """Issues and verifies the tokens of one machine."""

    def __init__(self, host: str, fleet_key: bytes) -> None:
        self.key = derive_key(fleet_key, b"token", host.encode())

    def issue(self, claims: TokenClaims) -> str:
        """Return the token of these claims, as URL-safe Base64."""
        body = ormsgpack.packb(list(claims))
        return base64.urlsafe_b64encode(self.digest(body) + body).decode()

    def verify(self, token: str) -> TokenClaims | None:
        """Return the claims of a token, or None if it wasn't issued on this machine."""
        try:
            raw = base64.b64decode(token.encode("ascii"), altchars=b"-_", validate=True)
            digest, body = raw[:DIGEST_BYTES], raw[DIGEST_BYTES:]
            if not hmac.compare_digest(digest, self.digest(body)):
                return None
            return TokenClaims(*ormsgpack.unpackb(body))
        except (binascii.Error, UnicodeEncodeError, ormsgpack.MsgpackDecodeError):
            return None

    def digest(self, body: bytes) -> bytes:
        """Return the keyed digest of a token's body."""
        return hmac.digest(self.key, body, "sha256")[:DIGEST_BYTES]
