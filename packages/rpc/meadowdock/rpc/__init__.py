"""The processes' own protocol: frames of ormsgpack over TCP, proved by the fleet key.

A link carries calls one way: the side that opened it asks, the other answers.
"""

from meadowdock.rpc.frame import Proof, derive, read_frame, write_frame
from meadowdock.rpc.link import ConnectionFailed, Handlers, Link, Links, Peer, Rejected, serve
from meadowdock.rpc.rhythm import Rhythm

__all__ = [
    "ConnectionFailed",
    "Handlers",
    "Link",
    "Links",
    "Peer",
    "Proof",
    "Rhythm",
    "Rejected",
    "derive",
    "read_frame",
    "serve",
    "write_frame",
]
