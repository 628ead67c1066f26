"""Selection of the headers that are passed on from one hop to the next."""

from __future__ import annotations

Headers = list[tuple[bytes, bytes]]

# Headers of one connection (RFC 9110, section 7.6.1), and headers that each hop sets anew.
HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"host",
    b"content-length",
    b"expect",
    b"accept-encoding",
    b"date",
    b"server",
}
OWN_PREFIX = b"md-"


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the end-to-end headers, without those under the mesh's own names.

    >>> end_to_end_headers(
    ...     [(b"MD-Caller", b"x"), (b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")]
    ... )
    [(b'x-b', b'2')]
    """
    named_by_connection = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in named_by_connection
        and not name.lower().replace(b"_", b"-").startswith(OWN_PREFIX)
    ]
