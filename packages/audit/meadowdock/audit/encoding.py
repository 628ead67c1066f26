"""Base64url without padding, as used by JOSE (RFC 7515, section 2)."""

from __future__ import annotations

import base64


def base64url(data: bytes) -> str:
    """Encode data as base64url without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def from_base64url(text: str) -> bytes:
    """Decode base64url without padding.

    :raises ValueError: the text is invalid.

    >>> from_base64url(base64url(b"ab"))
    b'ab'
    """
    padding = "=" * (-len(text) % 4)
    return base64.urlsafe_b64decode(text + padding)
