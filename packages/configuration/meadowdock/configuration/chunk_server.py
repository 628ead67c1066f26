"""The side that has chunks: answers requests for them, and caches their packed form."""

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
    """The response to a request for chunks, both as on the wire.

    Chunks that don't fit into a response are left out; the first may come in pieces, from the
    request's offset on.

    :param packed_chunk: gives the packed chunk of a name and form, or None if it isn't here.
    """
    request = ChunkRequest.from_wire(wire)
    capacity = request.frame_bytes
    response = ChunkResponse([], [])
    for name in request.names:
        packed = await packed_chunk(name, request.form)
        if packed is None:
            response.missing.append(name)
            continue
        if response.pieces and len(packed) > capacity:
            break
        data = packed[request.offset : request.offset + request.frame_bytes]
        response.pieces.append(ChunkPiece(name, len(packed), data))
        capacity -= len(data)
        if request.offset or capacity <= 0:
            break
    return response.to_wire()


class PackedChunkCache:
    """Packed chunks, the last used last. Invariant: at most MAX_CACHE_BYTES between calls."""

    def __init__(self, read: Callable[[str], Awaitable[bytes | None]]) -> None:
        """:param read: gives a chunk's complete body by its name, or None."""
        self.read = read
        self.packed: dict[tuple[str, str], bytes] = {}  # by name and form
        self.size_bytes = 0

    async def get(self, name: str, form: str) -> bytes | None:
        """The packed chunk, or None if its body isn't here."""
        key = name, form
        if key not in self.packed:
            body = await self.read(name)
            if body is None:
                return None
            if key not in self.packed:  # another request may have been faster
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
