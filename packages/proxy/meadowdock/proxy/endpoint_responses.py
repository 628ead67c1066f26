"""Checks of what an endpoint answers, before any of it goes to the caller."""

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
    """The headers with names in lower case, of a response that is complete and is this call's.

    `service` is the service's entry in the configuration in force.

    :raises InvalidEndpointResponse: the first check that failed.
    """
    lines = [(name.lower(), value) for name, value in headers]
    by_name = dict(lines)
    check_framing(by_name, status)
    check_body(status, body)
    call_in_response = by_name.get(b"md-call")
    must_match = service["echo"] or call_in_response is not None
    if must_match and call_in_response != call_id.encode():
        raise InvalidEndpointResponse("another call's id")
    incarnation = by_name.get(b"md-incarnation")
    if incarnation is not None and incarnation != endpoint.incarnation.encode():
        raise InvalidEndpointResponse("another incarnation")
    return lines


def check_framing(by_name: dict[bytes, bytes], status: int) -> None:
    """Check status, length and encoding.

    :raises InvalidEndpointResponse:
    """
    chunked = by_name.get(b"transfer-encoding", b"").lower() == b"chunked"
    if b"content-length" not in by_name and not chunked and status not in BODILESS_STATUSES:
        raise InvalidEndpointResponse("no length, so nobody knows if it is whole")
    if not 200 <= status <= 599:
        raise InvalidEndpointResponse(f"status {status}")
    if by_name.get(b"content-encoding", b"identity").lower() != b"identity":
        raise InvalidEndpointResponse("encoded body")


def check_body(status: int, body: bytes) -> None:
    """Check that the body is JSON, and that there is one.

    :raises InvalidEndpointResponse:
    """
    if body:
        try:
            json.loads(body, parse_constant=reject_constant)
        except (ValueError, RecursionError):
            raise InvalidEndpointResponse("body is no JSON") from None
    elif status not in BODILESS_STATUSES:
        raise InvalidEndpointResponse("empty body")


def reject_constant(word: str) -> NoReturn:
    """NaN and Infinity, which Python's parser accepts, are not JSON."""
    raise ValueError(word)


def reported_load(lines: Headers) -> float | None:
    """The load in 0..1 that an endpoint reports of itself in a response; None without one."""
    value = dict(lines).get(b"md-load")
    try:
        load = float(value) if value is not None else None
    except ValueError:
        return None
    return load if load is not None and 0 <= load <= 1 else None
