"""Callers' requests on the proxy's own HTTP interface: admission, forwarding, and the response.

docs/calls.md describes the interface.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from meadowdock.admin_http import BodyTooLarge, ClientDisconnected, Request, Response, RouteTable
from meadowdock.configuration import ANONYMOUS_CALLER, Route
from meadowdock.outcome import MAY_HAVE_RUN, NOT_RUN, Rejection, rejection
from meadowdock.proxy.call import Call, EndpointResponse, Outcome
from meadowdock.proxy.endpoints import HEARTBEAT_TIMEOUT_US
from meadowdock.proxy.exceptions import RequestRejected
from meadowdock.proxy.headers import end_to_end_headers
from meadowdock.proxy.idempotency_keys import KeyRejected
from meadowdock.proxy.registration import NAME_FORMAT
from meadowdock.runtime import MILLISECOND, SECOND, fingerprint, monotonic_us
from meadowdock.runtime.json_memory import room_to_parse

if TYPE_CHECKING:
    from meadowdock.proxy.server import ProxyServer

MAX_TIMEOUT_DIGITS = 15  # a longer md-due header is malformed
STOP_MARGIN_US = 100 * MILLISECOND  # a stopping process ends its calls this long before it exits

routes = RouteTable()


@routes.set_fallback
async def handle_request(server: ProxyServer, request: Request) -> Response:
    """Handle a call, which is any request whose path has no other handler."""
    call: Call | None = None
    outcome: Outcome
    try:
        call = await admit(server, request)
    except RequestRejected as rejected:
        outcome = rejected.rejection
    except BodyTooLarge:
        outcome = rejection("too_large")
    else:
        server.forwarder.count("calls")
        server.forwarder.retry_budget.deposit(monotonic_us())
        outcome = await run_once(server, call, request)
    if (
        request.header(b"md-repeat")
        and isinstance(outcome, Rejection)
        and outcome.verdict is NOT_RUN
    ):
        # A repeat that is rejected here may have run where it was sent before.
        outcome = replace(outcome, verdict=MAY_HAVE_RUN)
    return response_from_outcome(server, outcome, call)


async def admit(server: ProxyServer, request: Request) -> Call:
    """Return the call of a request that may be forwarded.

    :raises RequestRejected: why it may not be.
    :raises BodyTooLarge: the body is over the service's limit.
    :raises ClientDisconnected: the caller closed the connection.
    """
    if server.forwarder.routing_table is None:
        raise RequestRejected("no_manifest")
    if server.overloaded():
        raise RequestRejected("busy", "this proxy is behind with its own work")
    await server.delivery.ensure_current()
    routing_table = server.forwarder.routing_table
    caller = authenticate(server, request)
    route, code = routing_table.find_route(caller, request.method, request.path)
    if route is None:
        raise RequestRejected(code)
    body = await request.body(routing_table.services[route.service]["body_max"])
    key, timeout_us, lookup_only = read_call_headers(request)
    with room_to_parse(body, server.node.client_memory):
        is_valid = not body or is_json(body)
    if not is_valid:
        raise RequestRejected("malformed", "body is no JSON")
    if not request.query.isascii():
        raise RequestRejected("malformed", "query")
    timeout_us = allowed_timeout_us(server, route, timeout_us)
    return Call(
        id=server.next_call_id(),
        caller=caller,
        method=request.method,
        path=request.path,
        query=request.query,
        headers=end_to_end_headers(request.headers),
        body=bytes(body),
        route=route,
        version=routing_table.version,
        deadline=monotonic_us() + timeout_us,
        idempotency_key=key,
        lookup_only=lookup_only,
        cut_off=server.delivery.cut_off,
    )


def authenticate(server: ProxyServer, request: Request) -> str:
    """Return the service that the caller's token proves; ANONYMOUS_CALLER without a token.

    :raises RequestRejected: bad_token.
    """
    token = request.header(b"md-token")
    if token is None:
        return ANONYMOUS_CALLER
    if request.peer not in server.node.settings.local_addresses:
        raise RequestRejected("bad_token")
    just_started = monotonic_us() - server.started_at < HEARTBEAT_TIMEOUT_US
    caller = server.endpoints.authenticate(token, just_started)
    if caller is None:
        raise RequestRejected("bad_token")
    return caller


def read_call_headers(request: Request) -> tuple[str | None, int | None, bool]:
    """Return (idempotency key, time-out in microseconds, whether the key is only looked up).

    :raises RequestRejected: malformed.
    """
    key, timeout = request.header(b"md-key"), request.header(b"md-due")
    if key is not None and not NAME_FORMAT.match(key):
        raise RequestRejected("malformed", "md-key must be 1 to 128 of A-Z a-z 0-9 . _ : -")
    if timeout is not None and not (timeout.isdigit() and len(timeout) <= MAX_TIMEOUT_DIGITS):
        raise RequestRejected("malformed", "md-due must be whole microseconds")
    repeat = request.header(b"md-repeat")
    if repeat not in (None, "1") or (repeat and key is None):
        raise RequestRejected("malformed", "md-repeat must be 1, with an md-key")
    return key, int(timeout) if timeout is not None else None, repeat is not None


def allowed_timeout_us(server: ProxyServer, route: Route, timeout_us: int | None) -> int:
    """Return how long a call may take: the least that caller, route and shutdown allow.

    :raises RequestRejected: stopping.
    """
    allowed_us: int = (
        route.total_wait_us if timeout_us is None else min(route.total_wait_us, timeout_us)
    )
    stop_deadline = server.node.shutdown.deadline
    if stop_deadline is not None:
        allowed_us = min(allowed_us, stop_deadline - monotonic_us() - STOP_MARGIN_US)
        if allowed_us <= 0:
            raise RequestRejected("stopping")
    return allowed_us


def is_json(body: bytes | bytearray) -> bool:
    """Return whether a body is JSON."""
    try:
        json.loads(body)
        return True
    except (ValueError, RecursionError):
        return False


async def run_once(server: ProxyServer, call: Call, request: Request) -> Outcome:
    """Forward a call, unless its idempotency key says that it ran or may have run.

    :raises ClientDisconnected: the caller closed the connection before there was an outcome.
    """
    key = call.idempotency_key
    if key is None:
        return await forward_while_connected(server, call, request)
    content = b"\0".join([call.method.encode(), call.request_target.encode(), call.body])
    keys = server.idempotency_keys
    known = keys.begin(call.caller, key, fingerprint(content), monotonic_us())
    if isinstance(known, KeyRejected):
        return rejection(known.code)
    if known is not None:
        return known
    try:
        return await forward_while_connected(server, call, request)
    finally:
        response = call.outcome if isinstance(call.outcome, EndpointResponse) else None
        keys.end(call.caller, key, call.verdict(), response)


async def forward_while_connected(server: ProxyServer, call: Call, request: Request) -> Outcome:
    """Forward a call; if the caller disconnects, cancel it unless it has started.

    :raises ClientDisconnected: the caller disconnected before there was an outcome.
    """
    async with trio.open_nursery() as nursery:

        async def watch_connection() -> None:
            while (await request.receive())["type"] != "http.disconnect":
                pass
            call.disconnected = True
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch_connection)
        await server.forwarder.run(call)
        nursery.cancel_scope.cancel()
    if call.outcome is None:
        raise ClientDisconnected
    return call.outcome


def response_from_outcome(server: ProxyServer, outcome: Outcome, call: Call | None) -> Response:
    """Return the HTTP response of an outcome; `call` is None if the request was not admitted."""
    headers = proxy_headers(server, outcome, call)
    if isinstance(outcome, EndpointResponse):
        server.forwarder.count(f"answer.{outcome.status // 100}xx")
        return Response(outcome.status, outcome.body, [*outcome.headers, *headers])
    server.forwarder.count(f"shed.{outcome.code}")
    if outcome.retry_after_us:
        seconds = -(-outcome.retry_after_us // SECOND)
        headers.append((b"retry-after", str(seconds).encode()))
    return Response(outcome.status, outcome.body(), headers)


def proxy_headers(
    server: ProxyServer, outcome: Outcome, call: Call | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers in which the proxy reports how it handled the request."""
    cut_off = call.cut_off if call else server.delivery.cut_off
    version = call.version if call else server.delivery.version
    return [
        (b"md-verdict", outcome.verdict.value.encode()),
        (b"md-node", server.node.settings.node_name.encode()),
        *([(b"md-call", call.id.encode())] if call else []),
        (b"md-version", str(version).encode()),
        *([(b"md-cut-off", b"1")] if cut_off else []),
    ]
