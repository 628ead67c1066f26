"""Exceptions of the forwarding package."""

from __future__ import annotations


class PeerProtocolError(ValueError):
    """A peer violated the protocol between gateways.

    It sent a frame that is too long or fails authentication, or could not prove in the handshake that
    it knows the fleet key. Its link is closed; calls that were sent on the link may have run.
    """


class RequestRejected(Exception):
    """Raised in a parser's callbacks to stop parsing a caller's bytes.

    The request did not run. `RequestParser.error_status` is the HTTP status of the error response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"request rejected with HTTP status {status}")
        self.status = status


class MalformedResponse(ValueError):
    """Raised in a parser's callbacks when an endpoint's response is ambiguous.

    The request may have run.
    """


class ResponseTooLarge(ValueError):
    """Raised in a parser's callbacks when an endpoint's response exceeds the limit.

    The request ran or may have run.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"response body over {limit} bytes")
        self.limit = limit
