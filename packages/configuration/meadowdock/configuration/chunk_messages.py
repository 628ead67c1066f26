"""Request and response messages for fetching chunks from another process, and their wire format.

Chunks are sent packed (`chunk_codec.py`). Responses are limited in size, so that heartbeats on the
same connection are not delayed behind a large transfer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

WireMap = dict[str, Any]

CHUNK_METHOD = "chunk.get"
LEGACY_CHUNK_METHOD = "blob.get"  # of the previous release: responds with unpacked chunks by name
NO_SUCH_METHOD = "no_such_method"  # rejection code of a process that doesn't implement a method

MAX_FRAME_BYTES = 16_384  # packed chunk data in one response
MIN_FRAME_BYTES = 1024
MAX_NAMES = 16  # names in one request
MAX_LEGACY_NAMES = 4  # names in one request to a member of the previous release


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """A request for packed chunks, all in the same form."""

    form: str
    names: list[str]
    offset: int  # bytes of the first chunk that the requester has already received
    frame_bytes: int  # maximum of chunk data that the requester accepts in one response

    @classmethod
    def from_wire(cls, wire: WireMap) -> ChunkRequest:
        """Decode a request and enforce its limits.

        Names beyond the first MAX_NAMES are ignored, and the frame size is clamped.

        :raises KeyError: a field is missing.
        """
        frame_bytes = max(MIN_FRAME_BYTES, min(wire["frame"], MAX_FRAME_BYTES))
        return cls(wire["form"], wire["names"][:MAX_NAMES], wire["offset"], frame_bytes)

    def to_wire(self) -> WireMap:
        """Encode the request."""
        return {
            "form": self.form,
            "names": self.names,
            "offset": self.offset,
            "frame": self.frame_bytes,
        }


class ChunkPiece(NamedTuple):
    """A packed chunk, or a part of one that doesn't fit into one response."""

    name: str
    size: int  # bytes of the complete packed chunk
    data: bytes


@dataclass(frozen=True, slots=True)
class ChunkResponse:
    """The chunks found for a request.

    Requested names that did not fit into the response are in neither list.
    """

    pieces: list[ChunkPiece]
    missing: list[str]  # names of chunks that the member doesn't have

    @classmethod
    def from_wire(cls, wire: WireMap) -> ChunkResponse:
        """Decode a response.

        :raises KeyError, ValueError, TypeError: the response is malformed.
        """
        pieces = [ChunkPiece(name, size, bytes(data)) for name, size, data in wire["pieces"]]
        return cls(pieces, wire["missing"])

    def to_wire(self) -> WireMap:
        """Encode the response."""
        return {"pieces": [list(piece) for piece in self.pieces], "missing": self.missing}
