"""The ASGI application of a listener: it finds the handler and encodes its response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from meadowdock.admin_http.exceptions import BodyTooLarge, ClientDisconnected
from meadowdock.admin_http.messages import Headers, Request, Response
from meadowdock.admin_http.routes import RouteTable
from meadowdock.logs import events as log_events
from meadowdock.runtime import monotonic_us
from meadowdock.runtime.client_connections import ClientLimits
from meadowdock.runtime.exceptions import NoMemoryNow, TooCostlyToParse

HEALTH_CHECK_PATHS = ("/live", "/ready")
RETRY_HEADERS = [(b"retry-after", b"1")]  # in seconds
MAY_HAVE_RUN_HEADERS = [(b"md-verdict", b"may-have-run")]
IDLE_POLL_S = 0.01

Event = dict[str, Any]  # an ASGI event


class App:
    """An ASGI 3.0 application over a table of routes.

    handler_context: the first argument of each handler. log: receives INTERNAL_ERROR when a handler
    fails.
    Invariant: requests_in_flight counts the requests that were received and not yet answered.
    last_request_us: when the last request other than a health check arrived, in microseconds of the
    monotonic clock. closing: each response asks the client to close the connection. client_limits:
    what the connections of all listeners of the process may take; None for no limit.
    """

    def __init__(
        self, table: RouteTable, handler_context: Any, log: Callable[..., None] | None
    ) -> None:
        self.table, self.handler_context, self.log = table, handler_context, log
        self.requests_in_flight = 0
        self.last_request_us = 0
        self.closing = False
        self.client_limits: ClientLimits | None = None

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Event]],
        send: Callable[[Event], Awaitable[None]],
    ) -> None:
        """Serve one request, as the ASGI interface requires."""
        if scope["type"] != "http":
            return
        request = request_from_scope(scope, receive)
        self.requests_in_flight += 1
        if request.path not in HEALTH_CHECK_PATHS:
            self.last_request_us = monotonic_us()
        try:
            try:
                status, data, headers = await self.respond(request)
            except ClientDisconnected:
                return
            if self.closing or status == 413:
                headers.append((b"connection", b"close"))
            await send({"type": "http.response.start", "status": status, "headers": headers})
            await send({"type": "http.response.body", "body": data})
        finally:
            self.requests_in_flight -= 1

    async def respond(self, request: Request) -> tuple[int, bytes, Headers]:
        """Return the status, body and headers of the response.

        :raises ClientDisconnected: the client closed the connection, so that no response can be
            sent.
        """
        try:
            response = await self.handle(request)
            return response.status, *response.encoded()
        except ClientDisconnected:
            raise
        except Exception as cause:  # a defect of the handler: it may have run in part
            if self.log:
                self.log(log_events.INTERNAL_ERROR, path=request.path, cause=repr(cause))
            body = {"code": "broke", "verdict": "may-have-run"}
            return 500, *Response(500, body, MAY_HAVE_RUN_HEADERS).encoded()

    async def handle(self, request: Request) -> Response:
        """Return the response of the request's handler.

        Without a handler it is 404; if the body is too large, or too costly to parse, it is 413, and 503 if
        there is no memory for it now. None of them has run.
        """
        handler = self.table.find(request.method, request.path)
        if handler is None:
            return Response(404, {"code": "not_found"})
        try:
            return await handler(self.handler_context, request)
        except BodyTooLarge:
            return Response(413, {"code": "too_large", "verdict": "not-run"})
        except TooCostlyToParse as cause:
            detail = f"too many values or too long texts: {cause}"
            return Response(413, {"code": "too_costly", "verdict": "not-run", "detail": detail})
        except NoMemoryNow:
            return Response(503, {"code": "no_memory", "verdict": "not-run"}, RETRY_HEADERS)

    def report_failure(self, error: Exception) -> None:
        """Log an error that ended a connection outside of a handler."""
        if self.log:
            self.log(log_events.INTERNAL_ERROR, path="", cause=repr(error))

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.requests_in_flight:
            await trio.sleep(IDLE_POLL_S)


def request_from_scope(scope: dict[str, Any], receive: Callable[[], Awaitable[Event]]) -> Request:
    """Return the request that an ASGI scope describes."""
    raw_path = scope.get("raw_path")
    path = raw_path.decode("latin-1") if raw_path else scope["path"]
    client_host = (scope.get("client") or ("", 0))[0]
    return Request(
        method=scope["method"],
        path=path.partition("?")[0],
        query=scope["query_string"].decode("latin-1"),
        headers=scope["headers"],
        peer=client_host,
        receive=receive,
    )
