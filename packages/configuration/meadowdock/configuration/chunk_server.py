"""Serving chunks to other processes, with a cache of their packed form."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from meadowdock.configuration.chunk_codec import pack_chunk
from meadowdock.configuration.chunk_messages import (
    ChunkPiece,
    ChunkRequest,
    ChunkResponse,
    WireMap,
)

MAX_CACHE_BYTES = 2 << 20


async def serve_chunks(
    wire: WireMap, packed_chunk: Callable[[str, str], Awaitable[bytes | None]]
) -> WireMap:
    """Answer a request for chunks; request and response are in their wire format.

    Chunks that don't fit into the response are omitted, except that the first one may be sent in
    parts: the requester asks for the rest of it with an offset.

    :param packed_chunk: returns the packed chunk for a name and form, or None if it isn't here.
    """
    request = ChunkRequest.from_wire(wire)
    remaining_bytes = request.frame_bytes
    response = ChunkResponse([], [])
    for name in request.names:
        packed = await packed_chunk(name, request.form)
        if packed is None:
            response.missing.append(name)
            continue
        if response.pieces and len(packed) > remaining_bytes:
            break
        data = packed[request.offset : request.offset + request.frame_bytes]
        response.pieces.append(ChunkPiece(name, len(packed), data))
        remaining_bytes -= len(data)
        if request.offset or remaining_bytes <= 0:
            break
    return response.to_wire()


class PackedChunkCache:
    """An LRU cache of packed chunks.

    Invariants: the most recently used chunk is last; between calls, the size is at most
    MAX_CACHE_BYTES.
    """

    def __init__(self, read: Callable[[str], Awaitable[bytes | None]]) -> None:
        """Create an empty cache.

        :param read: returns a chunk's complete body by its name, or None if it isn't here.
        """
        self.read = read
        self.packed: dict[tuple[str, str], bytes] = {}  # by name and form
        self.size_bytes = 0

    async def get(self, name: str, form: str) -> bytes | None:
        """Return the packed chunk, or None if its body isn't here."""
        key = name, form
        if key not in self.packed:
            body = await self.read(name)
            if body is None:
                return None
            if key not in self.packed:  # another request may have added it during the read
                self._add(key, pack_chunk(name, body, form))
        packed = self.packed[key] = self.packed.pop(key)
        self._evict()
        return packed

    def _add(self, key: tuple[str, str], packed: bytes) -> None:
        self.packed[key] = packed
        self.size_bytes += len(packed)

    def _evict(self) -> None:
        while self.size_bytes > MAX_CACHE_BYTES:
            least_recent = next(iter(self.packed))
            self.size_bytes -= len(self.packed.pop(least_recent))
