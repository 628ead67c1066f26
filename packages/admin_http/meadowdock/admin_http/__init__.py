"""A small table of handlers over ASGI, filled by decorators; the seam serves it."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from meadowdock.runtime import monotonic_us

TEXT = b"application/json"
BODY_MAX = 16 << 20


PROBES = ("/live", "/ready")
Headers = list[tuple[bytes, bytes]]
Handler = Callable[..., Awaitable["Response"]]  # of an App's owner and a Request
BROKE = [(b"md-verdict", b"may-have-run")]


class BodyTooLarge(Exception):
    """A request's body is over the limit."""


class ClientDisconnected(Exception):
    """The caller closed the connection before the end of its request."""


@dataclass
class Request:
    """A request whose body has not been read yet."""

    method: str
    path: str
    query: str
    headers: Headers
    peer: str
    receive: Callable[[], Awaitable[dict]]
    body_max: int = BODY_MAX

    def header(self, name: bytes) -> str | None:
        """The value of the first header of a name in lower case, or None."""
        return next((v.decode("latin-1") for n, v in self.headers if n == name), None)

    async def body(self, limit: int | None = None) -> bytes:
        """The whole body; raises BodyTooLarge or ClientDisconnected."""
        limit = limit or self.body_max
        length = self.header(b"content-length")
        if length and length.isdigit() and int(length) > limit:
            raise BodyTooLarge
        chunks, size = [], 0
        while True:
            event = await self.receive()
            if event["type"] == "http.disconnect":
                raise ClientDisconnected
            chunks.append(event.get("body", b""))
            size += len(chunks[-1])
            if size > limit:
                raise BodyTooLarge
            if not event.get("more_body"):
                return b"".join(chunks)


@dataclass
class Response:
    """An answer; a body that isn't bytes is sent as JSON."""

    status: int
    body: Any = b""
    headers: Headers = field(default_factory=list)

    def lines(self) -> tuple[bytes, Headers]:
        """(the body's bytes, all headers)."""
        data = self.body if isinstance(self.body, bytes) else json.dumps(self.body).encode()
        typed = any(name == b"content-type" for name, _ in self.headers)
        return data, [
            *([] if typed else [(b"content-type", TEXT)]),
            (b"content-length", str(len(data)).encode()),
            *self.headers,
        ]


class RouteTable:
    """Handlers by method and path; a path that ends in "*" takes all below it."""

    def __init__(self) -> None:
        self.exact: dict[tuple[str, str], Handler] = {}
        self.below: list[tuple[str, str, Handler]] = []
        self.fallback: Handler | None = None

    def on(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """A decorator that registers a handler."""

        def register(handler: Handler) -> Handler:
            if path.endswith("*"):
                self.below.append((method, path[:-1], handler))
            else:
                self.exact[method, path] = handler
            return handler

        return register

    def otherwise(self, handler: Handler) -> Handler:
        """A decorator: the handler of what no other one takes."""
        self.fallback = handler
        return handler

    def find(self, method: str, path: str) -> Handler | None:
        """The handler of a request, if any."""
        return (
            self.exact.get((method, path))
            or next((h for m, p, h in self.below if m == method and path.startswith(p)), None)
            or self.fallback
        )


class App:
    """The ASGI side. Invariant: working counts requests that were begun and not yet answered."""

    def __init__(self, table: RouteTable, owner: Any, log: Callable[..., None] | None) -> None:
        self.table, self.owner, self.log = table, owner, log
        self.working = 0
        self.came_at = 0  # when the last request came that was no probe
        self.closing = False  # every answer asks the other side to close the connection

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one request, as ASGI asks for."""
        if scope["type"] != "http":
            return
        request = Request(
            scope["method"],
            scope["raw_path"].decode("latin-1") if scope.get("raw_path") else scope["path"],
            scope["query_string"].decode("latin-1"),
            scope["headers"],
            (scope.get("client") or ("", 0))[0],
            receive,
        )
        request.path = request.path.partition("?")[0]
        self.working += 1
        if request.path not in PROBES:
            self.came_at = monotonic_us()
        try:
            try:
                reply, (data, headers) = await self.replied(request)
            except ClientDisconnected:
                return
            except Exception as cause:  # a handler's defect: nobody can tell what was done
                if self.log:
                    self.log(801, path=request.path, cause=repr(cause))
                reply = Response(500, {"code": "broke", "verdict": "may-have-run"}, BROKE)
                data, headers = reply.lines()
            if self.closing or reply.status == 413:
                headers.append((b"connection", b"close"))
            await send({"type": "http.response.start", "status": reply.status, "headers": headers})
            await send({"type": "http.response.body", "body": data})
        finally:
            self.working -= 1

    async def replied(self, request: Request) -> tuple[Response, tuple[bytes, Headers]]:
        """The reply, and its lines: (Response, (bytes, headers)). Raises ClientDisconnected."""
        handler = self.table.find(request.method, request.path)
        try:
            if handler is None:
                reply = Response(404, {"code": "not_found"})
            else:
                reply = await handler(self.owner, request)
        except BodyTooLarge:
            reply = Response(413, {"code": "too_large", "verdict": "not-run"})
        return reply, reply.lines()

    async def idle(self) -> None:
        """Wait until no request is under way."""
        while self.working:
            await trio.sleep(0.01)
