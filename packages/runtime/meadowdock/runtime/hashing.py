"""Hashes of stored and sent data (BLAKE2b, RFC 7693)."""

from __future__ import annotations

import hashlib

FINGERPRINT_SIZE = 16  # bytes
CHECKSUM_SIZE = 32  # bytes


def fingerprint(data: bytes, key: bytes = b"") -> str:
    """Return a hash of data as 32 hexadecimal digits, keyed if a key is given."""
    return hashlib.blake2b(data, key=key, digest_size=FINGERPRINT_SIZE).hexdigest()


def checksum(body: bytes) -> bytes:
    """Return the checksum with which stored files begin."""
    return hashlib.blake2b(body, digest_size=CHECKSUM_SIZE).digest()


def add_checksum(body: bytes) -> bytes:
    """Return a file's body with its checksum prepended."""
    return checksum(body) + body


def verify_checksum(data: bytes | None) -> bytes | None:
    """Return the body of a file, or None if the file is missing, truncated or corrupt.

    >>> data = add_checksum(b"x")
    >>> verify_checksum(data), verify_checksum(data[:-1]), verify_checksum(b"")
    (b'x', None, None)
    """
    if data is None or len(data) < CHECKSUM_SIZE:
        return None
    body = data[CHECKSUM_SIZE:]
    return body if checksum(body) == data[:CHECKSUM_SIZE] else None
