"""Errors of the rpc package: the cause, and whether a call may have been executed by the peer."""

from __future__ import annotations

from typing import Any

import trio


class RpcError(Exception):
    """Base class of the errors of a call that returned no result."""


class ConnectionFailed(RpcError):
    """The connection couldn't be opened, broke, or delivered no response by the deadline.

    :ivar sent: False only if no byte of the call was passed to the socket, so that it was
        certainly not executed; True if its outcome is unknown.
    """

    def __init__(self, sent: bool, cause: object) -> None:
        super().__init__(f"{'sent' if sent else 'unsent'}: {cause}")
        self.sent = sent


class Rejected(RpcError):
    """The peer refused the call.

    :ivar code: the reason, as defined by the method's protocol ("busy", "lease_held", ...).
    :ivar details: further values, depending on the code.
    """

    def __init__(self, code: str, **details: Any) -> None:
        super().__init__(code)
        self.code = code
        self.details = details


class ProtocolError(ValueError):
    """The peer sent bytes that are not a valid frame or message of this protocol."""


class AuthenticationFailed(ProtocolError):
    """A frame or a handshake is not authenticated by the fleet key."""


# Errors of reading from or writing to a connection after which the connection is unusable.
# ValueError covers ProtocolError, undecodable bytes and messages with a wrong number of fields.
CONNECTION_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
