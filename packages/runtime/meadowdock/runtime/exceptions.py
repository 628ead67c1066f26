"""Errors of the runtime's HTTP client and server."""

from __future__ import annotations


class HttpConnectionFailed(Exception):
    """A request got no response.

    :ivar sent: False only if no byte of the request left this process, so that it has certainly not
        run; True if its outcome is unknown.
    """

    def __init__(self, sent: bool, cause: object) -> None:
        super().__init__(f"{'sent' if sent else 'unsent'}: {cause!r}")
        self.sent = sent


class InvalidHttpMessage(Exception):
    """Bytes that are no HTTP/1.1 message, or one that is too long or ambiguously framed.

    :ivar status: the status with which a server answers it.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class ConnectionEnded(Exception):
    """The client closed its connection, or it was idle for too long."""
