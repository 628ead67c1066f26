"""Requests to any member of the config store. Another is asked only if no byte reached the first."""

from __future__ import annotations

import json
from typing import Any

import httpcore

from meadowdock.cli.exceptions import OutcomeUnknown, Unreachable

CONNECT_TIMEOUT_S = 2
DEFAULT_TIMEOUT_S = 30
TRANSPORT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


def ask(
    cores: list[str],
    method: str,
    path: str,
    body: bytes = b"",
    key: str | None = None,
    wait_s: float = DEFAULT_TIMEOUT_S,
) -> tuple[int, Any]:
    """The status and JSON content of the response of the first member that takes a connection.

    cores: their addresses, "ip:port". key: the operators' key, if the core wants one. wait_s:
    seconds for a read or a write.

    :raises Unreachable: no member took a connection.
    :raises OutcomeUnknown: the request was sent, and there is no usable response.
    """
    for core in cores:
        try:
            return ask_one(core, method, path, body, key, wait_s)
        except Unreachable:
            continue
    raise Unreachable(", ".join(cores))


def ask_one(
    core: str, method: str, path: str, body: bytes, key: str | None, wait_s: float
) -> tuple[int, Any]:
    """As `ask`, of one member."""
    sent = False

    def trace(event: str, info: dict[str, Any]) -> None:
        nonlocal sent
        sent = sent or event == "http11.send_request_headers.started"

    headers: dict[bytes | str, bytes | str] = {"content-type": "application/json"}
    if key:
        headers["authorization"] = f"Bearer {key}"
    timeout = {
        "connect": CONNECT_TIMEOUT_S,
        "read": wait_s,
        "write": wait_s,
        "pool": CONNECT_TIMEOUT_S,
    }
    with httpcore.ConnectionPool() as pool:
        try:
            response = pool.request(
                method,
                f"http://{core}{path}",
                headers=headers,
                content=body,
                extensions={"trace": trace, "timeout": timeout},
            )
            return response.status, json.loads(response.content)
        except TRANSPORT_ERRORS as cause:
            if sent:
                raise OutcomeUnknown(f"{core}: {cause!r}") from cause
            raise Unreachable(core) from cause
        except ValueError as cause:
            raise OutcomeUnknown(f"{core}: the answer is no JSON") from cause
