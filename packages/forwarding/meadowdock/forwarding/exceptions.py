"""What may go wrong in forwarding."""

from __future__ import annotations


class PeerProtocolError(ValueError):
    """A peer sent what a gateway would not send: a frame that is too long or fails its proof, or a
    greeting without knowledge of the fleet key. Its link is closed; what was sent on it may have
    run."""


class RequestRejected(Exception):
    """Raised in a parser's callbacks to end the parsing of a caller's bytes. The request did not run;
    `RequestParser.error_status` is the HTTP status that says why."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class ResponseTooLarge(ValueError):
    """Raised in a parser's callbacks: an endpoint's response is over the limit. The request ran or
    may have run."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"response body over {limit} bytes")
        self.limit = limit
