"""Calls to any mdconf. Another one is asked only if no byte reached the first."""

from __future__ import annotations

import json

import httpcore


class Unreachable(Exception):
    pass


class OutcomeUnknown(Exception):
    pass


def ask(cores, method, path, body=b"", key=None, wait_s=30):
    """(status, facts) from the first mdconf that takes a connection."""
    for core in cores:
        sent = False

        def trace(event, info):
            nonlocal sent
            sent = sent or event == "http11.send_request_headers.started"

        with httpcore.ConnectionPool() as pool:
            try:
                answer = pool.request(
                    method,
                    f"http://{core}{path}",
                    headers={
                        "content-type": "application/json",
                        **({"authorization": f"Bearer {key}"} if key else {}),
                    },
                    content=body,
                    extensions={
                        "trace": trace,
                        "timeout": {"connect": 2, "read": wait_s, "write": wait_s, "pool": 2},
                    },
                )
                return answer.status, json.loads(answer.content)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as cause:
                if sent:
                    raise OutcomeUnknown(f"{core}: {cause!r}") from cause
            except ValueError as cause:
                raise OutcomeUnknown(f"{core}: the answer is no JSON") from cause
    raise Unreachable(", ".join(cores))
