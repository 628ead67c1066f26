"""The processes' own protocol: frames of ormsgpack over TCP, proved by the fleet key.

A link carries calls one way: the side that opened it asks, the other answers.
"""

from mdwire.frame import Proof, derive, read_frame, write_frame
from mdwire.link import Breakdown, Handlers, Link, Links, Peer, Shed, serve
from mdwire.rhythm import Rhythm

__all__ = [
    "Breakdown",
    "Handlers",
    "Link",
    "Links",
    "Peer",
    "Proof",
    "Rhythm",
    "Shed",
    "derive",
    "read_frame",
    "serve",
    "write_frame",
]
