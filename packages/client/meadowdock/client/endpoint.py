"""An endpoint: it serves requests, proves its identity, enrols, sends heartbeats and drains."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import trio

from meadowdock.admin_http import App, Headers, Request, Response, RouteTable
from meadowdock.client.execution_record import ExecutionRecord, Handler
from meadowdock.client.messages import EndpointRequest
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    Net,
    deadline_scope,
    monotonic_us,
    sleep_us,
)

DEFAULT_HEARTBEAT_US = 500 * MILLISECOND  # until the proxy sets the interval
PROXY_TIMEOUT_US = SECOND
SHUTDOWN_GRACE_US = 4 * SECOND
DRAIN_POLL_US = 10 * MILLISECOND
ENROLMENT_LOST = (401, 404, 409)  # heartbeat statuses after which an endpoint enrols again


class Endpoint:
    """One process that serves a service.

    Its loop, `run`, keeps it enrolled at the proxy of this machine by regular heartbeats.

    address, proxy: "ip:port". handler: takes an EndpointRequest and returns a status and a body.
    load: returns the endpoint's own measure of its load, 0 to 1, or None if it has none. record: if
    given, a request with an idempotency key runs at most once here.

    Invariant: token is None exactly while this endpoint must enrol (again).
    """

    table = RouteTable()

    def __init__(
        self,
        net: Net,
        service: str,
        address: str,
        proxy: str,
        incarnation: str,
        handler: Handler,
        capacity: int = 16,
        load: Callable[[], float | None] | None = None,
        record: ExecutionRecord | None = None,
    ) -> None:
        self.net, self.service, self.address, self.proxy = net, service, address, proxy
        self.incarnation, self.handler, self.capacity = incarnation, handler, capacity
        self.load, self.record = load or (lambda: None), record
        self.token: str | None = None
        self.draining = False
        self.heartbeat_us = DEFAULT_HEARTBEAT_US
        self.app = App(self.table, self, None)
        self.enrolled = trio.Event()
        self.requests_in_flight = 0

    async def serve(
        self,
        stopping: trio.Event,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve requests at the endpoint's address until `stopping` is set."""
        await self.net.serve_http(
            self.app, self.address, stopping, SHUTDOWN_GRACE_US, task_status=task_status
        )

    @table.on("GET", "/md/identity")
    async def identity(self, request: Request) -> Response:
        """Return which process serves at this address.

        The proxy asks before it sends requests on a new connection.
        """
        return Response(200, {"service": self.service, "incarnation": self.incarnation})

    @table.set_fallback
    async def handle_request(self, request: Request) -> Response:
        """Run the handler on a request that is meant for this incarnation."""
        incarnation = request.header(b"md-incarnation")
        if incarnation is not None and incarnation != self.incarnation:
            # Meant for a former process at this address: it certainly has not run.
            return Response(503, {"code": "other_incarnation"}, [(b"md-verdict", b"not-run")])
        data = await request.body()
        try:
            body = json.loads(data) if data else None
        except ValueError:
            return Response(400, {"code": "malformed"})
        received = endpoint_request(request, body)
        self.requests_in_flight += 1
        try:
            response = await self.execute(received)
        finally:
            self.requests_in_flight -= 1
        response.headers += self.response_headers(received)
        return response

    async def execute(self, request: EndpointRequest) -> Response:
        """Return the handler's response; through the record, if the request has a key."""
        if request.key and self.record is not None:
            return await self.record.run_once(request, self.handler)
        return Response(*await self.handler(request))

    def response_headers(self, request: EndpointRequest) -> Headers:
        """Return the headers by which the proxy verifies a response."""
        headers = [
            (b"md-call", request.call_id.encode()),
            (b"md-incarnation", self.incarnation.encode()),
        ]
        load = self.load()
        if load is not None:
            headers.append((b"md-load", f"{load:.3f}".encode()))
        return headers

    async def run(self) -> None:
        """Enrol, and send heartbeats while enrolled; never returns."""
        while True:
            if self.token is None:
                await self.enrol()
            else:
                await self.send_heartbeat()
            await sleep_us(self.heartbeat_us if self.token else self.heartbeat_us // 2)

    async def enrol(self) -> None:
        """Request a token from the proxy, once."""
        enrolment = {
            "service": self.service,
            "address": self.address,
            "incarnation": self.incarnation,
            "capacity": self.capacity,
        }
        status, response = await self.post_to_proxy("/md/enrol", enrolment)
        if status == 200:
            self.token, self.heartbeat_us = response["token"], response["beat_us"]
            self.enrolled.set()

    async def send_heartbeat(self) -> None:
        """Report capacity, load and whether this endpoint drains.

        If the proxy doesn't accept the token any more, drop it, so that `run` enrols again.
        """
        heartbeat: dict[str, Any] = {
            "token": self.token,
            "capacity": self.capacity,
            "draining": self.draining,
        }
        load = self.load()
        if load is not None:
            heartbeat["load"] = load
        status, _ = await self.post_to_proxy("/md/beat", heartbeat)
        if status in ENROLMENT_LOST:
            self.token = None

    async def drain(self, wait_us: int = 4 * SECOND) -> None:
        """Accept no new requests; return once those in flight are done, or after wait_us."""
        self.draining = True
        if self.token:
            await self.send_heartbeat()
        with deadline_scope(monotonic_us() + wait_us):
            while self.requests_in_flight:
                await sleep_us(DRAIN_POLL_US)

    async def deregister(self) -> None:
        """Tell the proxy that this endpoint shuts down."""
        if self.token:
            await self.post_to_proxy("/md/leave", {"token": self.token})
            self.token = None

    async def post_to_proxy(self, path: str, content: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return the status and content of the proxy's response; (0, {}) if there is none."""
        connection = self.net.http_connection(self.proxy)
        try:
            with deadline_scope(monotonic_us() + PROXY_TIMEOUT_US):
                headers = [(b"content-type", b"application/json")]
                body = json.dumps(content).encode()
                status, _, response = await connection.request("POST", path, headers, body)
                return status, json.loads(response)
        except (HttpConnectionFailed, ValueError):
            pass
        finally:
            await connection.close()
        return 0, {}


def endpoint_request(request: Request, body: Any) -> EndpointRequest:
    """Return the request that the proxy's headers describe."""
    return EndpointRequest(
        method=request.method,
        path=request.path,
        query=request.query,
        caller=request.header(b"md-caller") or "",
        key=request.header(b"md-key"),
        call_id=request.header(b"md-call") or "",
        due_us=int(request.header(b"md-due") or 0),
        body=body,
        repeat=request.header(b"md-repeat") == "1",
    )
