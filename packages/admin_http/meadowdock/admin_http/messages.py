"""HTTP requests and responses as handlers see them."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from meadowdock.admin_http.exceptions import BodyTooLarge, ClientDisconnected

JSON_TYPE = b"application/json"
DEFAULT_BODY_MAX_BYTES = 16 << 20
LARGE_BODY_BYTES = 64 << 10

Headers = list[tuple[bytes, bytes]]  # names in lower case


@dataclass
class Request:
    """A request whose body has not been read yet.

    receive is the ASGI function; body_max is the limit of the body in bytes.
    """

    method: str
    path: str
    query: str
    headers: Headers
    peer: str
    receive: Callable[[], Awaitable[dict[str, Any]]]
    body_max: int = DEFAULT_BODY_MAX_BYTES

    def header(self, name: bytes) -> str | None:
        """Return the value of the first header with a name, given in lower case; None without one."""
        return next((v.decode("latin-1") for n, v in self.headers if n == name), None)

    async def body(self, limit: int | None = None) -> bytes | bytearray:
        """Return the complete body, of at most `limit` bytes; a large one is not copied.

        :raises BodyTooLarge: the content-length or the part read so far exceeds the limit.
        :raises ClientDisconnected: the connection ended first.
        """
        limit = limit or self.body_max
        length = self.header(b"content-length")
        if length and length.isdigit() and int(length) > limit:
            raise BodyTooLarge
        body = bytearray()  # the parts may be small, and an object for each would take more
        while True:
            event = await self.receive()
            if event["type"] == "http.disconnect":
                raise ClientDisconnected
            body += event.get("body", b"")
            if len(body) > limit:
                raise BodyTooLarge
            if not event.get("more_body"):
                return body if len(body) > LARGE_BODY_BYTES else bytes(body)


@dataclass
class Response:
    """A response; a body that isn't bytes is sent as JSON."""

    status: int
    body: Any = b""
    headers: Headers = field(default_factory=list)

    def encoded(self) -> tuple[bytes, Headers]:
        """Return the body's bytes and all headers.

        :raises TypeError: JSON can't represent the body.
        """
        data = self.body if isinstance(self.body, bytes) else json.dumps(self.body).encode()
        headers: Headers = []
        if not any(name == b"content-type" for name, _ in self.headers):
            headers.append((b"content-type", JSON_TYPE))
        headers.append((b"content-length", str(len(data)).encode()))
        headers += self.headers
        return data, headers
