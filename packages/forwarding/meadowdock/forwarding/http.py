"""HTTP/1.1 as events, parsed by httptools: requests of a caller, answers of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import httptools

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
READ = 262_144  # bytes that are fed at once, at most
BROKEN = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class Bad(Exception):
    """Raised inside the parser's calls to end the parsing."""


@dataclass(slots=True)
class Request:
    """One whole request. lines are those to pass on: end-to-end ones without a length."""

    method: bytes
    target: bytes
    host: bytes
    lines: list
    facts: dict  # lower-case name -> value, of the dialect's names that the request carries
    body: bytes
    keep: bool


def passed_on(lines):
    """End-to-end lines only.

    >>> passed_on([(b"Connection", b"x-a"), (b"X-A", b"1"), (b"X-b", b"2"), (b"TE", b"x")])
    [(b'X-b', b'2')]
    """
    named = {
        word.strip().lower()
        for name, value in lines
        if name.lower() == b"connection"
        for word in value.split(b",")
    }
    return [
        (name, value)
        for name, value in lines
        if (low := name.lower()) not in HOP and low not in named
    ]


class Requests:
    """Feeds one caller's bytes to the parser; whole requests gather in `whole`.

    Invariants: whole holds requests that came whole, in order; bad is 0, or the status that ends
    the connection, and then nothing more is fed; fed bounds the bytes of a head under way from
    above, by what came with its beginning. names are the dialect's own headers, lower-case:
    kept apart in a request's facts."""

    def __init__(self, limits, names):
        self.limits, self.names = limits, names
        self.parser = httptools.HttpRequestParser(self)
        self.whole = []
        self.bad = 0
        self.partial = False  # a request has begun and is not whole
        self.in_head = False
        self.head_size = self.fed = 0
        self.wants_continue = False

    def feed(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.partial or not self.whole:
                self.bad = self.bad or 400
            else:
                self.whole[-1].keep = False  # answered as any other, and nothing is read behind it
        except BROKEN:
            self.bad = self.bad or 400
        # a line that never ends is not told by the parser
        self.fed = self.fed + len(data) if self.in_head else 0
        if self.fed > self.limits.header_bytes + READ:
            self.bad = self.bad or 431

    # ------------------------------------------------------------ what the parser calls

    def on_message_begin(self):
        self.partial = self.in_head = True
        self.url, self.lines, self.chunks = b"", [], []
        self.size = self.head_size = self.fed = 0
        self.wants_continue = False

    def on_url(self, url):
        self.url += url
        if len(self.url) > self.limits.header_bytes:
            raise self.refuse(431)

    def on_header(self, name, value):
        if not self.in_head:
            return  # a trailer
        self.head_size += len(name) + len(value) + 4
        if self.head_size > self.limits.header_bytes:
            raise self.refuse(431)
        self.lines.append((name, value))

    def on_headers_complete(self):
        self.in_head = False
        hosts, encodings, self.facts, names = [], [], {}, self.names
        for name, value in self.lines:
            low = name.lower()
            if low == b"host":
                hosts.append(value)
            elif low == b"transfer-encoding":
                encodings.append(value.lower())
            elif low == b"content-length" and value.isdigit():
                if int(value) > self.limits.body_bytes:
                    raise self.refuse(413)
            elif low == b"expect":
                self.wants_continue = True
            elif low in names:
                if low in self.facts:
                    raise self.refuse(400)  # which of two is meant?
                self.facts[low] = value
        # a request whose end two readers could see at different places is nobody's
        if len(hosts) != 1 or (encodings and encodings != [b"chunked"]):
            raise self.refuse(400)
        self.host = hosts[0]

    def on_body(self, body):
        self.size += len(body)
        if self.size > self.limits.body_bytes:
            raise self.refuse(413)
        self.chunks.append(body)

    def on_message_complete(self):
        self.partial = False
        parser = self.parser
        method = parser.get_method()
        if method == b"CONNECT":
            raise self.refuse(400)
        self.whole.append(
            Request(
                method,
                self.url,
                self.host,
                [(n, v) for n, v in passed_on(self.lines) if n.lower() not in self.names],
                self.facts,
                b"".join(self.chunks),
                parser.should_keep_alive(),
            )
        )

    def refuse(self, status):
        self.bad = status
        return Bad()


@dataclass(slots=True)
class Answer:
    """One whole answer. lines are the end-to-end ones without a length; facts as in Request."""

    status: int
    lines: list
    facts: dict
    body: bytes
    keep: bool
    alive_s: int | None  # how long the other side keeps an idle connection, if it says so


class Answers:
    """Feeds an endpoint's bytes to the parser; whole answers gather in `whole`.

    Invariants: whole holds answers that came whole, in order; broken is set once for good when
    bytes are no answer; partial tells that an answer has begun and is not whole."""

    def __init__(self, names, body_bytes):
        self.names, self.limit = names, body_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.whole = []
        self.partial = self.broken = self.in_head = False
        self.bare = False  # the answer to a HEAD has no body whatever it says

    def feed(self, data):
        try:
            self.parser.feed_data(data)
        except BROKEN:
            self.broken = True

    def on_message_begin(self):
        self.partial = self.in_head = True
        self.lines, self.chunks, self.size = [], [], 0

    def on_header(self, name, value):
        if self.in_head:  # else a trailer
            self.lines.append((name, value))

    def on_headers_complete(self):
        self.in_head = False
        if self.bare:
            self.complete(False)

    def on_body(self, body):
        self.size += len(body)
        if self.size > self.limit:
            raise ValueError("answer over the limit")
        self.chunks.append(body)

    def on_message_complete(self):
        if self.partial and not self.bare:
            self.complete(self.parser.should_keep_alive())

    def complete(self, keep):
        self.partial = False
        status = self.parser.get_status_code()
        if status < 200:
            return
        facts, alive_s, framed = {}, None, status in (204, 304) or self.bare
        for name, value in self.lines:
            low = name.lower()
            if low in self.names:
                if facts.setdefault(low, value) != value:
                    self.broken = True  # which of two is meant?
                    return
            elif low in (b"content-length", b"transfer-encoding"):
                framed = True
            elif low == b"keep-alive":
                alive_s = timeout_of(value)
        if not framed:
            self.broken = True  # nobody knows if it is whole
            return
        self.whole.append(
            Answer(status, passed_on(self.lines), facts, b"".join(self.chunks), keep, alive_s)
        )


def timeout_of(value):
    """
    >>> timeout_of(b"timeout=10, max=5"), timeout_of(b"max=5")
    (10, None)
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None


def head_of(method, target, lines):
    return b"%s %s HTTP/1.1\r\n%s" % (method, target, joined(lines))


def joined(lines):
    return b"".join([b"%s: %s\r\n" % line for line in lines])


def status_line(status):
    return b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown"))


def answer_head(answer, bare=False):
    """Status line and lines of an answer, with the length of its body; without the blank line."""
    length = (
        b"" if bare or answer.status in (204, 304) else b"Content-Length: %d\r\n" % len(answer.body)
    )
    return status_line(answer.status) + joined(answer.lines) + length
