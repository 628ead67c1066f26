"""Content-addressed chunks at a member.

They are read from memory, the local disk or the other members, and served to other processes.
State: recently used chunks in memory, and packed ones for proxies that request the same chunks.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from meadowdock.configuration import COMPLETE_FORM
from meadowdock.configuration.chunk_fetch import ChunkFetch, ChunkFetcher
from meadowdock.configuration.chunk_server import PackedChunkCache, serve_chunks
from meadowdock.rpc import Handlers
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us

if TYPE_CHECKING:
    from meadowdock.config_store.store import Store
    from meadowdock.process import Node

DISK_IDLE_US = 30 * MILLISECOND  # if the disk delivers nothing for this long, members are asked
CACHE_MAX_BYTES = 1 << 20
HEDGE_DELAY_DIVISOR = 20  # the next member is asked too after apply_us divided by this
FETCH_TIMEOUT_DIVISOR = 2  # one fetch takes at most apply_us divided by this


class ChunkService:
    """Reads and serves chunks.

    Invariant: `recent` holds chunks by name, the most recent last, up to CACHE_MAX_BYTES.
    """

    handlers = Handlers()

    def __init__(self, node: Node, store: Store, peers: Callable[[], Mapping[str, str]]) -> None:
        self.node, self.store, self.peers = node, store, peers
        self.recent: dict[str, bytes] = {}
        self.recent_bytes = 0
        self.packed = PackedChunkCache(self.read)
        hedge_us = node.settings.apply_us // HEDGE_DELAY_DIVISOR
        self.fetcher = ChunkFetcher(node.rpc, node.settings.rpc_address, hedge_us, COMPLETE_FORM)

    async def read(self, name: str) -> bytes | None:
        """Read the body of a chunk from memory or disk; None if it is missing or damaged."""
        return self.recent.get(name) or await self.store.read_chunk(name)

    def cache(self, bodies: Mapping[str, bytes]) -> None:
        """Add these chunks to memory as the most recent.

        The oldest chunks beyond CACHE_MAX_BYTES are evicted.
        """
        for name, body in bodies.items():
            if name not in self.recent and len(body) <= CACHE_MAX_BYTES:
                self.recent[name] = body
                self.recent_bytes += len(body)
        while self.recent_bytes > CACHE_MAX_BYTES:
            oldest = next(iter(self.recent))
            self.recent_bytes -= len(self.recent.pop(oldest))

    async def fetch(self, names: Sequence[str], deadline: int | None = None) -> dict[str, bytes]:
        """Return {name: body} of the chunks that can be found in time.

        The time ends at the deadline, and after half of apply_us at the latest. While the chunks
        are available elsewhere, a stalled disk or member doesn't use up that time.
        """
        limit = monotonic_us() + self.node.settings.apply_us // FETCH_TIMEOUT_DIVISOR
        deadline = limit if deadline is None else min(deadline, limit)
        sources = self.fetcher.order_members_by_hash(self.peers().values())
        found = {name: self.recent[name] for name in names if name in self.recent}
        fetch = ChunkFetch(names, sources, found)
        if not fetch.complete.is_set():
            self.node.nursery.start_soon(self.read_disk, fetch)
            await self.wait_for_disk(fetch, deadline)
        if not fetch.complete.is_set():
            await self.fetcher.run(fetch, deadline)
        if not fetch.complete.is_set() and not fetch.disk_read.is_set():
            with deadline_scope(deadline):  # no member has the rest, but the disk may have it
                await fetch.disk_read.wait()
        return {name: fetch.found[name] for name in names if name in fetch.found}

    async def wait_for_disk(self, fetch: ChunkFetch, deadline: int) -> None:
        """Wait for the local disk, as long as it keeps delivering chunks."""
        while not fetch.disk_read.is_set() and monotonic_us() < deadline:
            found = len(fetch.found)
            with deadline_scope(monotonic_us() + DISK_IDLE_US):
                await fetch.disk_read.wait()
            if len(fetch.found) == found:
                return

    async def read_disk(self, fetch: ChunkFetch) -> None:
        """Add the chunks that the local disk has to a fetch."""
        try:
            for name in sorted(fetch.wanted):
                if (
                    name not in fetch.found
                    and (body := await self.store.read_chunk(name)) is not None
                ):
                    fetch.add({name: body})
        except OSError:
            pass  # the chunks are fetched from the other members
        finally:
            fetch.disk_read.set()

    @handlers.on("chunk.get")
    async def on_get_packed(self, peer: object, request: Any) -> Any:
        """Return parts of packed chunks, up to the number of bytes that the requester accepts."""
        return await serve_chunks(request, self.packed.get)

    @handlers.on("blob.get")
    async def on_get(self, peer: object, names: Sequence[str]) -> dict[str, bytes]:
        """Return complete chunks, for processes of older releases."""
        bodies = {name: await self.read(name) for name in names}
        return {name: body for name, body in bodies.items() if body is not None}
