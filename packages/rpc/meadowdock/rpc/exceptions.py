"""Errors of the rpc package: what went wrong, and whether a call may have run at the peer."""

from __future__ import annotations

from typing import Any

import trio


class RpcError(Exception):
    """A call gave no response."""


class ConnectionFailed(RpcError):
    """The connection couldn't be opened, broke, or gave no response by the deadline.

    :ivar sent: False only if no byte of the call was handed to the socket, so that it has
        certainly not run; True if its outcome is unknown.
    """

    def __init__(self, sent: bool, cause: object) -> None:
        super().__init__(f"{'sent' if sent else 'unsent'}: {cause}")
        self.sent = sent


class Rejected(RpcError):
    """The peer refused the call.

    :ivar code: why, as a word of the method's protocol ("busy", "lease_held", ...).
    :ivar details: further values that belong to the code.
    """

    def __init__(self, code: str, **details: Any) -> None:
        super().__init__(code)
        self.code = code
        self.details = details


class ProtocolError(ValueError):
    """The peer sent bytes that are no valid frame or message of this protocol."""


class AuthenticationFailed(ProtocolError):
    """A frame or a handshake isn't authenticated by the fleet key."""


# What reading from or writing to a connection raises when the connection is of no further use.
# ValueError covers ProtocolError, undecodable bytes and messages with a wrong number of fields.
CONNECTION_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
