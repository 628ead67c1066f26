"""The server's reader: HTTP/1.1 requests out of bytes."""

from __future__ import annotations

from collections import deque

import httptools

from meadowdock.runtime.http_messages import TARGET, Head, Refused, named, path_of, tokens


class RequestReader(Head):
    """Requests out of bytes. Invariant: events hold, in order, what was read and not yet taken:
    a head (dict), body bytes, None for a request's end, or Refused, which is the last of all."""

    def __init__(self) -> None:
        super().__init__()
        self.events, self.over = deque(), False
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def feed(self, data: bytes) -> None:
        """Read bytes; what they held is then in events."""
        while data and not self.over:
            within, rest = self.open, b""
            try:
                self.parser.feed_data(data)
                self.read(len(data), within)
            except httptools.HttpParserUpgrade as asked:
                # nothing is upgraded: what follows is the next request
                rest = data[asked.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserCallbackError as cause:
                found = cause.__context__ or cause.__cause__
                self.refuse(found if isinstance(found, Refused) else Refused(400))
            except Refused as cause:
                self.refuse(cause)
            except httptools.HttpParserError:
                self.refuse(Refused(400))
            data = rest

    def refuse(self, cause: Refused) -> None:
        """Nothing more is read."""
        if not self.over:  # else these are bytes behind the last request
            self.events.append(cause)
        self.over = True

    def on_message_begin(self) -> None:
        """A request begins."""
        super().on_message_begin()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """A part of the target was read."""
        self.count(len(url))
        self.target += url

    def on_headers_complete(self) -> None:
        """The head was read: it is checked and becomes an event."""
        if self.over:
            return
        self.open = False
        version, method = self.parser.get_http_version(), self.parser.get_method()
        self.check_framing(version, method)
        path, _, query = path_of(self.target).partition(b"?")
        connection = tokens(self.headers, b"connection")
        keep = b"close" not in connection and (version == "1.1" or b"keep-alive" in connection)
        expected = tokens(self.headers, b"expect")
        self.events.append(
            {
                "type": "http",
                "http_version": version,
                "method": method.decode("ascii"),
                "scheme": "http",
                "path": path.decode("ascii"),
                "raw_path": path,
                "query_string": query,
                "headers": self.headers,
                "keep": keep,
                "awaits": b"100-continue" in expected and version == "1.1",
            }
        )
        self.keep = keep

    def check_framing(self, version: str, method: bytes) -> None:
        """Raises Refused for a head that two readers could take in two ways."""
        lengths = named(self.headers, b"content-length")
        codings = named(self.headers, b"transfer-encoding")
        hosts = named(self.headers, b"host")
        has_body = bool(codings) or (bool(lengths) and lengths[0].strip(b"0") != b"")
        if version not in ("1.0", "1.1"):
            raise Refused(505)
        if (
            len(lengths) + len(codings) > 1
            or (codings and (codings[0].lower() != b"chunked" or version == "1.0"))
            or len(hosts) > 1
            or (version == "1.1" and not hosts)
            or not TARGET(self.target)
            # httptools leaves such a body for the next request
            or (self.parser.should_upgrade() and (has_body or method == b"CONNECT"))
        ):
            raise Refused(400)

    def on_body(self, data: bytes) -> None:
        """A part of the body was read."""
        if not self.over:
            self.events.append(data)

    def on_message_complete(self) -> None:
        """The request was read to its end."""
        if not self.over:
            self.events.append(None)
            self.over = not self.keep
