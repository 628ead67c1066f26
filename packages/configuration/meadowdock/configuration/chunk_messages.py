"""Messages by which processes fetch chunks from one another, and their form on the wire.

Chunks travel packed (`chunk_codec.py`), in responses of bounded size, so that heartbeats on the same
connection come between them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

WireMap = dict[str, Any]

CHUNK_METHOD = "chunk.get"
FORMER_CHUNK_METHOD = "blob.get"  # of the former release: complete bodies, by name
NO_SUCH_METHOD = "no_such_method"  # code of a rejection by a process that doesn't know a method

MAX_FRAME_BYTES = 16_384  # of packed chunks in one response
MIN_FRAME_BYTES = 1024
MAX_NAMES = 16  # in one request
MAX_FORMER_NAMES = 4  # complete chunks in one response of a member of the former release


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Asks for packed chunks in one of their forms."""

    form: str
    names: list[str]
    offset: int  # bytes of the first chunk that the requester has already
    frame_bytes: int  # most that it takes in one response

    @classmethod
    def from_wire(cls, wire: WireMap) -> ChunkRequest:
        """Decode it. Limits are enforced here: only the first MAX_NAMES names count.

        :raises KeyError: a field is missing.
        """
        frame_bytes = max(MIN_FRAME_BYTES, min(wire["frame"], MAX_FRAME_BYTES))
        return cls(wire["form"], wire["names"][:MAX_NAMES], wire["offset"], frame_bytes)

    def to_wire(self) -> WireMap:
        """Encode it."""
        return {
            "form": self.form,
            "names": self.names,
            "offset": self.offset,
            "frame": self.frame_bytes,
        }


class ChunkPiece(NamedTuple):
    """A packed chunk, or a piece of one that is larger than a response may be."""

    name: str
    size: int  # bytes of the entire packed chunk
    data: bytes


@dataclass(frozen=True, slots=True)
class ChunkResponse:
    """Pieces for some of the requested names. Those that didn't fit are in neither list."""

    pieces: list[ChunkPiece]
    missing: list[str]  # names that the member doesn't have

    @classmethod
    def from_wire(cls, wire: WireMap) -> ChunkResponse:
        """Decode it.

        :raises KeyError, ValueError, TypeError: it is malformed.
        """
        pieces = [ChunkPiece(name, size, bytes(data)) for name, size, data in wire["pieces"]]
        return cls(pieces, wire["missing"])

    def to_wire(self) -> WireMap:
        """Encode it."""
        return {"pieces": [list(piece) for piece in self.pieces], "missing": self.missing}
