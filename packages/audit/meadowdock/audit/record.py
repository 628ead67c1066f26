"""Audit records: compact JWS (RFC 7515) whose payload is canonical JSON (RFC 8785)."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from meadowdock.audit.encoding import base64url, from_base64url
from meadowdock.audit.keys import SigningKey

ALGORITHM = "Ed25519"
HEADER, PAYLOAD = 0, 1  # indexes of the segments of a compact JWS; the third is the signature


def sign(key: SigningKey, payload: dict[str, Any]) -> str:
    """Return the signed record of a payload."""
    import rfc8785  # imported on first use

    header = json.dumps({"alg": ALGORITHM, "kid": key.thumbprint()}, separators=(",", ":"))
    signed = f"{base64url(header.encode())}.{base64url(rfc8785.dumps(payload))}"
    return f"{signed}.{base64url(key.sign(signed.encode()))}"


def record_hash(record: str) -> str:
    """Return the SHA-256 in hexadecimal digits, by which the next record refers to this one."""
    return hashlib.sha256(record.encode()).hexdigest()


def read_payload(record: str) -> dict[str, Any] | None:
    """Return the payload of a record without verifying its signature.

    The result is None if the payload can't be decoded or has no version.
    """
    payload = read_segment(record, PAYLOAD)
    return payload if isinstance(payload.get("version"), int) else None


def read_header(record: str) -> dict[str, Any]:
    """Return the header of a record without verifying its signature; empty if it is malformed."""
    return read_segment(record, HEADER)


def read_segment(record: str, index: int) -> dict[str, Any]:
    """Return the JSON object in one segment of a record; empty if it is malformed."""
    try:
        content = json.loads(from_base64url(record.split(".")[index]))
    except (ValueError, IndexError):
        return {}
    return content if isinstance(content, dict) else {}
