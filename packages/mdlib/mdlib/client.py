"""Calls through the proxy on this machine. Never retries by itself: the proxy has the budgets."""

from __future__ import annotations

import json
from dataclasses import dataclass

import httpcore
import trio
from returns.result import Failure, Result, Success

from mdverdict import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict

SLACK_US = 1_000_000  # the proxy answers within the due; this is for a proxy that doesn't
LONGEST_US = 4_000_000


@dataclass(frozen=True)
class Answer:
    # Invariant: the endpoint's own answer, whole and checked by the proxy.
    status: int
    body: object
    call: str
    verdict: Verdict = RAN


@dataclass(frozen=True)
class Refused:
    code: str
    verdict: Verdict
    detail: str = ""
    retry_after_us: int = 0


class Client:
    """proxy: ip:port of this machine's mdproxy. token: from the endpoint's enrolment, if any."""

    def __init__(self, proxy, token=None, local=None, connections=64):
        self.proxy, self.token = proxy, token
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=connections, keepalive_expiry=20, local_address=local
        )

    async def call(self, method, path, body=None, due_us=None, key=None) -> Result[Answer, Refused]:
        headers = [(b"content-type", b"application/json")] if body is not None else []
        headers += [(b"md-token", self.token.encode())] if self.token else []
        headers += [(b"md-due", str(due_us).encode())] if due_us is not None else []
        headers += [(b"md-key", key.encode())] if key else []
        sent = False

        async def trace(event, info):
            nonlocal sent
            sent = sent or event == "http11.send_request_headers.started"

        def broke(cause):
            return Failure(Refused("proxy_lost", MAY_HAVE_RUN if sent else NOT_RUN, repr(cause)))

        with trio.move_on_after(((due_us or LONGEST_US) + SLACK_US) / 1e6):
            try:
                answer = await self.pool.request(
                    method,
                    f"http://{self.proxy}{path}",
                    headers=headers,
                    content=json.dumps(body).encode() if body is not None else b"",
                    extensions={"trace": trace},
                )
                return read(answer)
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as cause:
                return broke(cause)
        return broke("no answer from the proxy")

    async def close(self):
        await self.pool.aclose()


def read(answer):
    lines = {name.lower(): value for name, value in answer.headers}
    try:
        facts = json.loads(answer.content) if answer.content else None
        verdict = Verdict(lines[b"md-verdict"].decode())
    except (ValueError, KeyError) as cause:
        return Failure(Refused("proxy_garbage", MAY_HAVE_RUN, repr(cause)))
    if verdict is RAN:
        return Success(Answer(answer.status, facts, lines.get(b"md-call", b"").decode()))
    return Failure(
        Refused(facts["code"], verdict, facts.get("detail", ""), facts.get("retry_after_us", 0))
    )
