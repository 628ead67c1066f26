"""Sends requests through the proxy on this machine.

The client never retries by itself: the proxy retries, within its retry budget.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from typing import Any

from returns.result import Failure, Result, Success

from meadowdock.client.messages import Answer, Rejected
from meadowdock.outcome import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict
from meadowdock.runtime import SECOND, HttpConnectionFailed, Net, deadline_scope, monotonic_us

# How long after the request's deadline the client gives up on a proxy that has not responded.
RESPONSE_MARGIN_US = SECOND
DEFAULT_TIMEOUT_US = 4 * SECOND
REMEMBERED_KEYS = 10_000

Headers = list[tuple[bytes, bytes]]
Outcome = Result[Answer, Rejected]


class Client:
    """Sends requests into the mesh.

    net: the network of the runtime, made with this machine's own IP address. proxy: "ip:port" of
    this machine's mdproxy. token: from the endpoint's enrolment, if the caller is an endpoint.

    Invariants: `idle` holds only connections whose last response was read completely. `sent` holds
    the last REMEMBERED_KEYS idempotency keys that were sent and whose request may have run: if one
    is sent again, it is marked as a repeat.
    """

    def __init__(self, net: Net, proxy: str, token: str | None = None) -> None:
        self.net, self.proxy, self.token = net, proxy, token
        self.idle: list[Any] = []
        self.sent: OrderedDict[str, bool] = OrderedDict()

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        due_us: int | None = None,
        key: str | None = None,
        repeat: bool = False,
    ) -> Outcome:
        """Send a request once; the verdict of a Failure says whether it may have run.

        due_us: microseconds after which a response is of no use any more. key: the idempotency key.
        repeat: the key may have been sent before by another client; this client detects repeats of
        its own keys itself.
        """
        repeat = repeat or key in self.sent
        outcome = await self.send(method, path, body, due_us, key, repeat)
        if key and (repeat or may_have_run(outcome)):
            self.remember(key)
        return outcome

    async def send(
        self,
        method: str,
        path: str,
        body: Any,
        due_us: int | None,
        key: str | None,
        repeat: bool,
    ) -> Outcome:
        """Send a request on an idle or new connection and read the response."""
        headers = self.headers(body, due_us, key, repeat)
        data = json.dumps(body).encode() if body is not None else b""
        sent = False

        def on_first_byte() -> None:
            nonlocal sent
            sent = True

        cause: object = "no answer from the proxy"
        with deadline_scope(monotonic_us() + (due_us or DEFAULT_TIMEOUT_US) + RESPONSE_MARGIN_US):
            connection = await self.connection()
            try:
                response = await connection.request(method, path, headers, data, on_first_byte)
                self.idle.append(connection)
                return parse_response(*response)
            except HttpConnectionFailed as failure:
                cause = failure
        return Failure(Rejected("proxy_lost", MAY_HAVE_RUN if sent else NOT_RUN, str(cause)))

    def headers(self, body: Any, due_us: int | None, key: str | None, repeat: bool) -> Headers:
        """Return the headers of a request."""
        headers: Headers = []
        if body is not None:
            headers.append((b"content-type", b"application/json"))
        if self.token:
            headers.append((b"md-token", self.token.encode()))
        if due_us is not None:
            headers.append((b"md-due", str(due_us).encode()))
        if key:
            headers.append((b"md-key", key.encode()))
        if key and repeat:
            headers.append((b"md-repeat", b"1"))
        return headers

    async def connection(self) -> Any:
        """Return an idle connection that the proxy hasn't closed, or a new one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        return self.net.http_connection(self.proxy)

    def remember(self, key: str) -> None:
        """Remember that a key was sent, and forget the oldest if there are too many."""
        self.sent[key] = True
        while len(self.sent) > REMEMBERED_KEYS:
            self.sent.popitem(last=False)

    async def close(self) -> None:
        """Close the idle connections."""
        idle, self.idle = self.idle, []
        for connection in idle:
            await connection.close()


def may_have_run(outcome: Outcome) -> bool:
    """Return whether an endpoint may have executed the request."""
    if isinstance(outcome, Success):
        return True
    return outcome.failure().verdict is not NOT_RUN


def parse_response(status: int, headers: Headers, body: bytes) -> Outcome:
    """Return the outcome that a proxy's response describes.

    If the response can't be parsed, the request may have run.
    """
    values = {name.lower(): value for name, value in headers}
    try:
        content: Any = json.loads(body) if body else None
        verdict = Verdict(values[b"md-verdict"].decode())
    except (ValueError, KeyError) as cause:
        return Failure(Rejected("proxy_garbage", MAY_HAVE_RUN, repr(cause)))
    if verdict is RAN:
        return Success(Answer(status, content, values.get(b"md-call", b"").decode()))
    rejected = Rejected(
        code=content["code"],
        verdict=verdict,
        detail=content.get("detail", ""),
        retry_after_us=content.get("retry_after_us", 0),
    )
    return Failure(rejected)
