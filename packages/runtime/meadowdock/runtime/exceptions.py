"""Exceptions of the runtime's HTTP client and server."""

from __future__ import annotations


class HttpConnectionFailed(Exception):
    """A request got no valid response.

    :ivar sent: False only if no byte of the request left this process, so that it certainly did not
        run; True if its outcome is unknown.
    """

    def __init__(self, sent: bool, cause: object) -> None:
        super().__init__(f"{'sent' if sent else 'unsent'}: {cause!r}")
        self.sent = sent


class InvalidHttpMessage(Exception):
    """The received message isn't valid HTTP/1.1, is too long, or has ambiguous framing.

    :ivar status: the status of the server's response to it.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class ConnectionEnded(Exception):
    """The client closed its connection, or the connection was idle for too long."""


class TooCostlyToParse(Exception):
    """A body would take more memory once it is parsed than the process has for clients."""


class NoMemoryNow(Exception):
    """There is no memory for a request now; it has not run."""
