"""Checks of an endpoint's response, made before any of it is sent to the caller."""

from __future__ import annotations

import json
from typing import Any, NoReturn

from meadowdock.proxy.endpoints import Endpoint
from meadowdock.proxy.exceptions import InvalidEndpointResponse

Headers = list[tuple[bytes, bytes]]

BODILESS_STATUSES = (204, 304)


def check_endpoint_response(
    endpoint: Endpoint,
    service: dict[str, Any],
    call_id: str,
    status: int,
    headers: Headers,
    body: bytes,
) -> Headers:
    """Check that a response is complete and belongs to this call.

    Return its headers with names in lower case. `service` is the service's entry in the
    configuration in force.

    :raises InvalidEndpointResponse: the first check that failed.
    """
    lowercase_headers = [(name.lower(), value) for name, value in headers]
    by_name = dict(lowercase_headers)
    check_framing(by_name, status)
    check_body(status, body)
    call_in_response = by_name.get(b"md-call")
    must_match = service["echo"] or call_in_response is not None
    if must_match and call_in_response != call_id.encode():
        raise InvalidEndpointResponse(f"md-call is {call_in_response!r}, not {call_id}")
    incarnation = by_name.get(b"md-incarnation")
    if incarnation is not None and incarnation != endpoint.incarnation.encode():
        raise InvalidEndpointResponse(
            f"md-incarnation is {incarnation!r}, not {endpoint.incarnation}"
        )
    return lowercase_headers


def check_framing(by_name: dict[bytes, bytes], status: int) -> None:
    """Check status, length and encoding.

    :raises InvalidEndpointResponse: the first of them that is wrong.
    """
    chunked = by_name.get(b"transfer-encoding", b"").lower() == b"chunked"
    if b"content-length" not in by_name and not chunked and status not in BODILESS_STATUSES:
        raise InvalidEndpointResponse(
            "neither content-length nor chunked, so a truncated body can't be detected"
        )
    if not 200 <= status <= 599:
        raise InvalidEndpointResponse(f"status {status} is not in 200..599")
    if by_name.get(b"content-encoding", b"identity").lower() != b"identity":
        raise InvalidEndpointResponse(f"content-encoding {by_name[b'content-encoding']!r}")


def check_body(status: int, body: bytes) -> None:
    """Check that the body is JSON, and present unless the status has none.

    :raises InvalidEndpointResponse: it is not.
    """
    if body:
        try:
            json.loads(body, parse_constant=reject_constant)
        except (ValueError, RecursionError):
            raise InvalidEndpointResponse(f"body of {len(body)} bytes is not JSON") from None
    elif status not in BODILESS_STATUSES:
        raise InvalidEndpointResponse(f"empty body with status {status}")


def reject_constant(constant: str) -> NoReturn:
    """Refuse NaN and Infinity, which Python's parser accepts but JSON does not have.

    :raises ValueError: always.
    """
    raise ValueError(constant)


def reported_load(headers: Headers) -> float | None:
    """Return the load in 0..1 that an endpoint reports in its response, or None."""
    value = dict(headers).get(b"md-load")
    try:
        load = float(value) if value is not None else None
    except ValueError:
        return None
    return load if load is not None and 0 <= load <= 1 else None
