"""The processes' own protocol: frames of ormsgpack over TCP, proved by the fleet key.

A link carries calls one way: the side that opened it asks, the other answers.
"""

from meadowdock.rpc.frame import FrameAuthenticator, derive_key, read_frame, write_frame
from meadowdock.rpc.link import (
    ClientConnection,
    ConnectionFailed,
    ConnectionPool,
    Handlers,
    Peer,
    Rejected,
    serve_connection,
)
from meadowdock.rpc.schedule import PeriodicSchedule

__all__ = [
    "ClientConnection",
    "ConnectionFailed",
    "ConnectionPool",
    "FrameAuthenticator",
    "Handlers",
    "Peer",
    "PeriodicSchedule",
    "Rejected",
    "derive_key",
    "read_frame",
    "serve_connection",
    "write_frame",
]
