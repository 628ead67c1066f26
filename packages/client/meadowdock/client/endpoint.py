"""An endpoint: serves calls, proves who it is, enrols, beats, drains and leaves."""

from __future__ import annotations

import json

import trio

from meadowdock.admin_http import App, Response, RouteTable
from meadowdock.client.record import Got
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    deadline_scope,
    monotonic_us,
    sleep_us,
)


class Endpoint:
    """Wanted: enrolled at the proxy of this machine, with fresh beats; the loop sees to it.

    handler(Got) -> (status, body). load() -> 0..1 or None tells the endpoint's own view. record
    keeps the keys of run-once calls: with one, a key runs at most once here.
    Invariant: token is None iff this endpoint must enrol (again)."""

    table = RouteTable()

    def __init__(
        self,
        net,
        service,
        address,
        proxy,
        incarnation,
        handler,
        capacity=16,
        load=None,
        record=None,
    ):
        self.net, self.service, self.address, self.proxy = net, service, address, proxy
        self.incarnation, self.handler, self.capacity = incarnation, handler, capacity
        self.load, self.record = load or (lambda: None), record
        self.token = None
        self.draining = False
        self.beat_us = 500 * MILLISECOND
        self.app = App(self.table, self, None)
        self.enrolled = trio.Event()
        self.working = 0

    async def serve(self, stopping, task_status=trio.TASK_STATUS_IGNORED):
        await self.net.serve_http(
            self.app, self.address, stopping, 4 * SECOND, task_status=task_status
        )

    # ------------------------------------------------------------ calls

    @table.on("GET", "/md/identity")
    async def identity(self, request):
        return Response(200, {"service": self.service, "incarnation": self.incarnation})

    @table.otherwise
    async def called(self, request):
        text = {n: request.header(b"md-" + n) for n in (b"call", b"caller", b"key", b"due")}
        wanted = request.header(b"md-incarnation")
        if wanted is not None and wanted != self.incarnation:
            # meant for a former holder of this address: surely not run
            return Response(503, {"code": "other_incarnation"}, [(b"md-verdict", b"not-run")])
        data = await request.body()
        try:
            body = json.loads(data) if data else None
        except ValueError:
            return Response(400, {"code": "malformed"})
        got = Got(
            request.method,
            request.path,
            request.query,
            text[b"caller"] or "",
            text[b"key"],
            text[b"call"] or "",
            int(text[b"due"] or 0),
            body,
            request.header(b"md-repeat") == "1",
        )
        self.working += 1
        try:
            if got.key and self.record is not None:
                reply = await self.record.answer(got, self.handler)
            else:
                reply = Response(*await self.handler(got))
        finally:
            self.working -= 1
        load = self.load()
        lines = [
            (b"md-call", got.call.encode()),
            (b"md-incarnation", self.incarnation.encode()),
            *([(b"md-load", f"{load:.3f}".encode())] if load is not None else []),
        ]
        reply.headers += lines
        return reply

    # ------------------------------------------------------------ the proxy on this machine

    async def tell(self, path, facts):
        connection = self.net.http(self.proxy)
        try:
            with deadline_scope(monotonic_us() + SECOND):
                lines = [(b"content-type", b"application/json")]
                body = json.dumps(facts).encode()
                status, _, answer = await connection.request("POST", path, lines, body)
                return status, json.loads(answer)
        except (HttpConnectionFailed, ValueError):
            pass
        finally:
            await connection.close()
        return 0, {}

    async def run(self):
        while True:
            if self.token is None:
                await self.enrol()
            else:
                await self.beat()
            await sleep_us(self.beat_us if self.token else self.beat_us // 2)

    async def enrol(self):
        facts = {
            "service": self.service,
            "address": self.address,
            "incarnation": self.incarnation,
            "capacity": self.capacity,
        }
        status, told = await self.tell("/md/enrol", facts)
        if status == 200:
            self.token, self.beat_us = told["token"], told["beat_us"]
            self.enrolled.set()

    async def beat(self):
        load = self.load()
        facts = {
            "token": self.token,
            "capacity": self.capacity,
            "draining": self.draining,
            **({"load": load} if load is not None else {}),
        }
        status, _ = await self.tell("/md/beat", facts)
        if status in (401, 404, 409):
            self.token = None

    async def drain(self, wait_us=4 * SECOND):
        """No new calls; gives back once the calls under way are done, or after the wait."""
        self.draining = True
        if self.token:
            await self.beat()
        with deadline_scope(monotonic_us() + wait_us):
            while self.working:
                await sleep_us(10 * MILLISECOND)

    async def leave(self):
        if self.token:
            await self.tell("/md/leave", {"token": self.token})
            self.token = None
