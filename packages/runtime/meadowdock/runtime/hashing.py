"""Hashes of stored and sent data (BLAKE2b, RFC 7693)."""

from __future__ import annotations

import hashlib

FINGERPRINT_SIZE = 16  # bytes
CHECKSUM_SIZE = 32  # bytes


def fingerprint(data: bytes, key: bytes = b"") -> str:
    """A hash of data as 32 hexadecimal digits, keyed if a key is given."""
    return hashlib.blake2b(data, key=key, digest_size=FINGERPRINT_SIZE).hexdigest()


def checksum(body: bytes) -> bytes:
    """The checksum that stored files begin with."""
    return hashlib.blake2b(body, digest_size=CHECKSUM_SIZE).digest()


def add_checksum(body: bytes) -> bytes:
    """A file's body with its checksum before it."""
    return checksum(body) + body


def verify_checksum(data: bytes | None) -> bytes | None:
    """The body of a file, or None if it is missing, torn or altered.

    >>> data = add_checksum(b"x")
    >>> verify_checksum(data), verify_checksum(data[:-1]), verify_checksum(b"")
    (b'x', None, None)
    """
    if data is None or len(data) < CHECKSUM_SIZE:
        return None
    body = data[CHECKSUM_SIZE:]
    return body if checksum(body) == data[:CHECKSUM_SIZE] else None
