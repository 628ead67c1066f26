"""Requests to the config store, of which any member can serve a request.

A request is sent to another member only if no byte of it was sent to the previous one.
"""

from __future__ import annotations

import json
from typing import Any

import httpcore

from meadowdock.cli.bounded_network import AnswerBounds, BoundedNetwork, read_body
from meadowdock.cli.exceptions import OutcomeUnknown, Unreachable

CONNECT_TIMEOUT_S = 2
DEFAULT_TIMEOUT_S = 30
TRANSPORT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


def send_request(
    members: list[str],
    method: str,
    path: str,
    body: bytes = b"",
    key: str | None = None,
    wait_s: float = DEFAULT_TIMEOUT_S,
) -> tuple[int, Any]:
    """Send a request to the first member that accepts a connection.

    :param members: their addresses, "ip:port".
    :param key: the operators' key, if the members require one.
    :param wait_s: time-out of each read and write in seconds.
    :returns: the status and the JSON content of the response.
    :raises Unreachable: no member accepted a connection.
    :raises OutcomeUnknown: the request was sent, but there was no usable response.
    """
    for member in members:
        try:
            return send_request_to_member(member, method, path, body, key, wait_s)
        except Unreachable:
            continue
    raise Unreachable(", ".join(members))


def send_request_to_member(
    member: str, method: str, path: str, body: bytes, key: str | None, wait_s: float
) -> tuple[int, Any]:
    """Send a request to one member, as `send_request` does."""
    sent = False
    bounds = AnswerBounds()

    def trace(event: str, info: dict[str, Any]) -> None:
        nonlocal sent
        sent = sent or event == "http11.send_request_headers.started"
        bounds.in_head = bounds.in_head and event != "http11.receive_response_headers.complete"

    headers: dict[bytes | str, bytes | str] = {"content-type": "application/json"}
    if key:
        headers["authorization"] = f"Bearer {key}"
    timeout = {
        "connect": CONNECT_TIMEOUT_S,
        "read": wait_s,
        "write": wait_s,
        "pool": CONNECT_TIMEOUT_S,
    }
    with httpcore.ConnectionPool(network_backend=BoundedNetwork(bounds)) as pool:
        try:
            with pool.stream(
                method,
                f"http://{member}{path}",
                headers=headers,
                content=body,
                extensions={"trace": trace, "timeout": timeout},
            ) as response:
                return response.status, json.loads(read_body(response.iter_stream()))
        except TRANSPORT_ERRORS as cause:
            if sent:
                raise OutcomeUnknown(f"{member}: {cause!r}") from cause
            raise Unreachable(member) from cause
        except ValueError as cause:
            raise OutcomeUnknown(f"{member}: the answer is no JSON") from cause
