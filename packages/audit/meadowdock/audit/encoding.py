"""Base64 for URLs without padding, as JOSE uses it (RFC 7515, section 2)."""

from __future__ import annotations

import base64


def base64url(data: bytes) -> str:
    """Encode data."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def from_base64url(text: str) -> bytes:
    """Decode data.

    :raises ValueError: the text is not valid.

    >>> from_base64url(base64url(b"ab"))
    b'ab'
    """
    padding = "=" * (-len(text) % 4)
    return base64.urlsafe_b64decode(text + padding)
