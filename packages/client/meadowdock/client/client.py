"""Calls through the proxy on this machine. Never retries by itself: the proxy has the budgets."""

from __future__ import annotations

import json
from collections import OrderedDict
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from meadowdock.outcome import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict
from meadowdock.runtime import SECOND, HttpConnectionFailed, Net, deadline_scope, monotonic_us

SLACK_US = SECOND  # the proxy answers within the due; this is for a proxy that doesn't
LONGEST_US = 4 * SECOND
KEYS = 10_000


@dataclass(frozen=True)
class Answer:
    # Invariant: the endpoint's own answer, whole and checked by the proxy.
    status: int
    body: object
    call: str
    verdict: Verdict = RAN


@dataclass(frozen=True)
class Rejected:
    code: str
    verdict: Verdict
    detail: str = ""
    retry_after_us: int = 0


class Client:
    """proxy: ip:port of this machine's mdproxy. token: from the endpoint's enrolment, if any.
    net: the network seam, made with this machine's own IP number.

    Invariants: idle holds only connections whose last answer was read whole; sent holds the last
    KEYS keys that left here and whose call is not surely not-run: sent again they are marked."""

    def __init__(self, net: Net, proxy, token=None):
        self.net, self.proxy, self.token = net, proxy, token
        self.idle = []
        self.sent = OrderedDict()

    async def connection(self):
        while self.idle:
            connection = self.idle.pop()
            if not connection.stale():
                return connection
            await connection.close()
        return self.net.http(self.proxy)

    async def call(
        self, method, path, body=None, due_us=None, key=None, repeat=False
    ) -> Result[Answer, Rejected]:
        """One call, sent once. Failure tells by its verdict whether it may have run. repeat: this
        key may have been sent before, by whomever; this client's own repeats it knows itself."""
        repeat = repeat or key in self.sent
        found = await self.send(method, path, body, due_us, key, repeat)
        if key and (repeat or found.map(lambda _: True).lash(may_have_run).value_or(False)):
            self.sent[key] = True
            while len(self.sent) > KEYS:
                self.sent.popitem(last=False)
        return found

    async def send(self, method, path, body, due_us, key, repeat):
        lines = [
            *([(b"content-type", b"application/json")] if body is not None else []),
            *([(b"md-token", self.token.encode())] if self.token else []),
            *([(b"md-due", str(due_us).encode())] if due_us is not None else []),
            *([(b"md-key", key.encode())] if key else []),
            *([(b"md-repeat", b"1")] if key and repeat else []),
        ]
        data = json.dumps(body).encode() if body is not None else b""
        sent = False

        def started():
            nonlocal sent
            sent = True

        cause = "no answer from the proxy"
        with deadline_scope(monotonic_us() + (due_us or LONGEST_US) + SLACK_US):
            connection = await self.connection()
            try:
                status, headers, answer = await connection.request(
                    method, path, lines, data, started
                )
                self.idle.append(connection)
                return read(status, headers, answer)
            except HttpConnectionFailed as broken:
                cause = broken
        return Failure(Rejected("proxy_lost", MAY_HAVE_RUN if sent else NOT_RUN, str(cause)))

    async def close(self):
        idle, self.idle = self.idle, []
        for connection in idle:
            await connection.close()


def may_have_run(refused):
    return Success(refused.verdict is not NOT_RUN)


def read(status, headers, body):
    lines = {name.lower(): value for name, value in headers}
    try:
        facts = json.loads(body) if body else None
        verdict = Verdict(lines[b"md-verdict"].decode())
    except (ValueError, KeyError) as cause:
        return Failure(Rejected("proxy_garbage", MAY_HAVE_RUN, repr(cause)))
    if verdict is RAN:
        return Success(Answer(status, facts, lines.get(b"md-call", b"").decode()))
    return Failure(
        Rejected(facts["code"], verdict, facts.get("detail", ""), facts.get("retry_after_us", 0))
    )
