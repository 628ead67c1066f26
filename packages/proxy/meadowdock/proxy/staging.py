"""Staging a revision at a proxy: its chunks are fetched, and the routing table is built from it."""

from __future__ import annotations

from dataclasses import dataclass, field

import ormsgpack
import trio

from meadowdock.configuration import ROUTING_FORM, RoutingTable, assemble, unpack_chunk
from meadowdock.configuration import items as config_items
from meadowdock.configuration.chunk_fetch import ChunkFetch, ChunkFetcher
from meadowdock.configuration.chunk_server import serve_chunks
from meadowdock.process import RECOVERABLE_ERRORS
from meadowdock.runtime import monotonic_us

HEDGE_DELAY_DIVISOR = 20  # of apply_us: the wait for a silent member before the next is asked
FETCH_TIMEOUT_DIVISOR = 2  # of apply_us: one fetch; what it found is kept for the next
MAX_CONCURRENT = 2  # revisions that are staged at the same time


@dataclass
class Staging:
    """One revision that is being staged.

    Invariant: complete is set before done is; whoever waits for it goes on with its successor, if
    any.
    """

    revision: dict
    missing: list = field(default_factory=list)  # chunks that were not here when it began
    complete: bool = False
    successor: Staging | None = None  # a newer one, for which it was ended
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    done: trio.Event = field(default_factory=trio.Event)


class Stager:
    """Fetches chunks and builds routing tables.

    Invariants: chunks holds packed chunks whose checksum was right; running are at most
    MAX_CONCURRENT stagings, by their version. The oldest runs to its end, so that changes that
    follow one another quickly starve none; between it and the newest, none is run.
    """

    def __init__(self, node, base_of_next, on_staged):
        self.node = node
        # gives what the next table is built from: (routing table, revision) or None
        self.base_of_next = base_of_next
        self.on_staged = on_staged  # takes (routing table, revision, count of fetched chunks)
        self.chunks, self.running = {}, {}
        hedge_us = node.settings.apply_us // HEDGE_DELAY_DIVISOR
        self.fetcher = ChunkFetcher(node.rpc, node.settings.link, hedge_us, ROUTING_FORM)

    async def stage(self, revision, source):
        """True once it, or a newer one, is staged; False if its chunks were not to be had."""
        staging = self.running.get(revision["version"]) or self.begin(revision, source)
        await staging.done.wait()
        while staging.successor is not None:
            staging = staging.successor
            await staging.done.wait()
        return staging.complete

    def begin(self, revision, source):
        """The staging of a revision, or of a newer one that is running."""
        if revision["version"] < max(self.running, default=0):
            return self.running[max(self.running)]
        staging = Staging(revision)
        for version in sorted(self.running)[MAX_CONCURRENT - 1 :]:
            self.running[version].successor = staging
            self.running[version].scope.cancel()
        self.running[revision["version"]] = staging
        self.node.nursery.start_soon(self.run, staging, source)
        return staging

    async def run(self, staging, source):
        """One staging, until it is complete, failed, or ended for a newer one."""
        try:
            with staging.scope:
                if await self.fetch(staging, source):
                    await self.finish(staging)
        finally:
            del self.running[staging.revision["version"]]
            staging.done.set()

    async def finish(self, staging):
        """Build the table once all chunks are here."""
        try:
            routing_table = await self.node.runtime.offload(self.build, staging.revision)
        except RECOVERABLE_ERRORS as cause:  # a peer sent a malformed chunk: it is fetched again
            self.node.log(105, task="staging", cause=repr(cause))
            for name in staging.missing:
                self.chunks.pop(name, None)
            return
        self.on_staged(routing_table, staging.revision, len(staging.missing))
        staging.complete = True

    async def fetch(self, staging, source):
        """Fetch the missing chunks; True if all are here then."""
        wanted = staging.revision["ranges"]
        missing = sorted({name for name in wanted if name not in self.chunks})
        staging.missing = missing
        if missing:
            self.node.runtime.rng.shuffle(missing)  # two stagings fetch different ones first
            # Kept as they come, also when this staging ends before it is complete.
            fetch = ChunkFetch(missing, self.sources(source), self.chunks)
            await self.fetcher.run(
                fetch, monotonic_us() + self.node.settings.apply_us // FETCH_TIMEOUT_DIVISOR
            )
        return all(name in self.chunks for name in wanted)

    def sources(self, source):
        """The addresses to fetch from, in order."""
        members = self.node.view.core_members("mdconf")
        if source in members:
            return self.fetcher.spread(members)
        return [source, *self.fetcher.spread(members)]  # a peer, while the stores are out of reach

    def retain_chunks(self, revisions):
        """Drop the chunks that none of these revisions, and none under way, names."""
        revisions = [*revisions, *(staging.revision for staging in self.running.values())]
        names = {name for revision in revisions for name in revision["ranges"]}
        for name in self.chunks.keys() - names:
            del self.chunks[name]

    # ------------------------------------------------------------ the table

    def build(self, revision):
        """The routing table of a revision whose chunks are here.

        Only chunks that the former one has not are decoded. It runs in a thread: it changes
        nothing.
        """
        former = self.base_of_next()
        own_chunks, items = split_names(revision)
        if former is None or own_chunks != split_names(former[1])[0]:
            routing_table = RoutingTable(
                revision["version"], assemble(self.chunk_body(name) for name in own_chunks)
            )
        else:
            routing_table = former[0]
        parsed = former[0].items.chunks if former else {}
        chunks = {name: parsed.get(name) or self.parse(name) for name in items}
        return routing_table.with_chunks(revision["version"], chunks)

    def parse(self, name):
        """The items of a chunk."""
        return config_items.parse_chunk(ormsgpack.unpackb(self.chunk_body(name))[1])

    def chunk_body(self, name):
        """The unpacked form of a chunk that is here."""
        return unpack_chunk(name, self.chunks[name], ROUTING_FORM)

    # ------------------------------------------------------------ for peers

    async def answer_chunk_request(self, request):
        """The chunks that a peer asks for, as far as they are here."""

        async def packed(name, form):
            return self.chunks.get(name) if form == ROUTING_FORM else None

        return await serve_chunks(request, packed)


def split_names(revision):
    """(chunks of the operators' configuration, chunks of items) of a revision: items come last."""
    own_count = len(revision["ranges"]) - revision.get("items", 0)
    return revision["ranges"][:own_count], revision["ranges"][own_count:]
