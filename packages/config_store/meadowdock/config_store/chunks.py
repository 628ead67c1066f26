"""Chunks at a member: from memory, its own disk, or the other members; and given to who asks."""

from __future__ import annotations

from meadowdock.configuration import WHOLE
from meadowdock.configuration.fetch import Fetch, Fetcher, PackedCache, answer_request
from meadowdock.rpc import Handlers
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us

HEAD_START = 30 * MILLISECOND  # of the own disk that gives nothing, before other members are asked
FRESH_MAX = 1 << 20  # bytes
HEDGE_PART = 20  # of apply_us: the wait for a silent member before the next is asked
FETCH_PART = 2  # of apply_us: one fetch


class Chunks:
    """Invariant: fresh holds chunks by their name, the latest last, up to FRESH_MAX bytes."""

    handlers = Handlers()

    def __init__(self, node, store, others):
        self.node, self.store, self.others = node, store, others
        self.fresh, self.fresh_bytes = {}, 0
        self.packed = PackedCache(self.read)
        hedge_us = node.settings.apply_us // HEDGE_PART
        self.fetcher = Fetcher(node.rpc, node.settings.link, hedge_us, WHOLE)

    async def read(self, name):
        """The body of a chunk from memory or disk, or None."""
        return self.fresh.get(name) or await self.store.blob(name)

    def remember(self, bodies):
        """Keep these bodies in memory, the latest last, within the bound."""
        for name, body in bodies.items():
            if name not in self.fresh and len(body) <= FRESH_MAX:
                self.fresh[name] = body
                self.fresh_bytes += len(body)
        while self.fresh_bytes > FRESH_MAX:
            self.fresh_bytes -= len(self.fresh.pop(next(iter(self.fresh))))

    async def fetch(self, names, deadline=None):
        """{name: body} of those that are to be had. A disk or a member that stalls holds up nobody."""
        limit = monotonic_us() + self.node.settings.apply_us // FETCH_PART
        deadline = limit if deadline is None else min(deadline, limit)
        members = self.fetcher.spread(self.others().values())
        found = {name: self.fresh[name] for name in names if name in self.fresh}
        fetch = Fetch(names, members, found)
        if not fetch.complete.is_set():
            self.node.nursery.start_soon(self.read_disk, fetch)
            await self.wait_for_disk(fetch, deadline)
        if not fetch.complete.is_set():
            await self.fetcher.run(fetch, deadline)
        if not fetch.complete.is_set() and not fetch.disk_read.is_set():
            with deadline_scope(deadline):  # the other members have no more: the disk may
                await fetch.disk_read.wait()
        return {name: fetch.found[name] for name in names if name in fetch.found}

    async def wait_for_disk(self, fetch, deadline):
        """As long as it gives something."""
        while not fetch.disk_read.is_set() and monotonic_us() < deadline:
            found = len(fetch.found)
            with deadline_scope(monotonic_us() + HEAD_START):
                await fetch.disk_read.wait()
            if len(fetch.found) == found:
                return

    async def read_disk(self, fetch):
        """Give a fetch the chunks that this disk has."""
        try:
            for name in sorted(fetch.wanted):
                if name not in fetch.found and (body := await self.store.blob(name)) is not None:
                    fetch.add({name: body})
        except OSError:
            pass  # the other members have it
        finally:
            fetch.disk_read.set()

    # ------------------------------------------------------------ for proxies and members

    @handlers.on("chunk.get")
    async def on_chunk(self, peer, request):
        """Pieces of packed chunks, as many bytes as the asker takes."""
        return await answer_request(request, self.packed.get)

    @handlers.on("blob.get")
    async def on_get(self, peer, names):
        """For processes of the former version."""
        bodies = {name: await self.read(name) for name in names}
        return {name: body for name, body in bodies.items() if body is not None}
