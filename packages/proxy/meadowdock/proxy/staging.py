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

HEDGE_PART = 20  # of apply_us: the wait for a silent member before the next is asked
FETCH_PART = 2  # of apply_us: one fetch; what it found is kept for the next
AT_ONCE = 2  # revisions that are staged at the same time


@dataclass
class Staging:
    """One revision under way. Invariant: complete is set before done is; who waits for it goes on
    with its successor, if any."""

    head: dict
    missing: list = field(default_factory=list)  # chunks that were not here when it began
    complete: bool = False
    successor: Staging | None = None  # a newer one, for which it was ended
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    done: trio.Event = field(default_factory=trio.Event)


class Stager:
    """Invariants: chunks holds packed chunks whose checksum was right; running are at most AT_ONCE
    stagings, by their version. The oldest runs to its end, so that changes that follow one another
    quickly starve none; between it and the newest, none is run."""

    def __init__(self, node, former, staged):
        self.node = node
        self.former = (
            former  # gives what the next table is made from: (routing table, head) or None
        )
        self.staged = staged  # takes (routing table, head, count of fetched chunks)
        self.chunks, self.running = {}, {}
        hedge_us = node.settings.apply_us // HEDGE_PART
        self.fetcher = ChunkFetcher(node.rpc, node.settings.link, hedge_us, ROUTING_FORM)

    async def stage(self, head, source):
        """True once it, or a newer one, is staged; False if its chunks were not to be had."""
        staging = self.running.get(head["version"]) or self.begin(head, source)
        await staging.done.wait()
        while staging.successor is not None:
            staging = staging.successor
            await staging.done.wait()
        return staging.complete

    def begin(self, head, source):
        """The staging of a head, or of a newer one that is under way."""
        if head["version"] < max(self.running, default=0):
            return self.running[max(self.running)]
        staging = Staging(head)
        for version in sorted(self.running)[AT_ONCE - 1 :]:
            self.running[version].successor = staging
            self.running[version].scope.cancel()
        self.running[head["version"]] = staging
        self.node.nursery.start_soon(self.run, staging, source)
        return staging

    async def run(self, staging, source):
        try:
            with staging.scope:
                if await self.fetch(staging, source):
                    await self.finish(staging)
        finally:
            del self.running[staging.head["version"]]
            staging.done.set()

    async def finish(self, staging):
        try:
            routing_table = await self.node.runtime.offload(self.build, staging.head)
        except RECOVERABLE_ERRORS as cause:  # a peer sent a malformed chunk: it is fetched again
            self.node.log(105, task="staging", cause=repr(cause))
            for name in staging.missing:
                self.chunks.pop(name, None)
            return
        self.staged(routing_table, staging.head, len(staging.missing))
        staging.complete = True

    async def fetch(self, staging, source):
        wanted = staging.head["ranges"]
        missing = sorted({name for name in wanted if name not in self.chunks})
        staging.missing = missing
        if missing:
            self.node.runtime.rng.shuffle(missing)  # two stagings fetch different ones first
            # Kept as they come, also when this staging ends before it is complete.
            fetch = ChunkFetch(missing, self.sources(source), self.chunks)
            await self.fetcher.run(
                fetch, monotonic_us() + self.node.settings.apply_us // FETCH_PART
            )
        return all(name in self.chunks for name in wanted)

    def sources(self, source):
        members = self.node.view.core_members("mdconf")
        if source in members:
            return self.fetcher.spread(members)
        return [source, *self.fetcher.spread(members)]  # a peer, while the core is out of reach

    def keep(self, heads):
        """Drop the chunks that none of these revisions, and none under way, names."""
        heads = [*heads, *(staging.head for staging in self.running.values())]
        names = {name for head in heads for name in head["ranges"]}
        for name in self.chunks.keys() - names:
            del self.chunks[name]

    # ------------------------------------------------------------ the table

    def build(self, head):
        """The routing table of a revision whose chunks are here; only those that the former one
        has not are decoded. Beside the loop: it changes nothing."""
        former = self.former()
        own, items = split_names(head)
        if former is None or own != split_names(former[1])[0]:
            routing_table = RoutingTable(head["version"], assemble(self.body(name) for name in own))
        else:
            routing_table = former[0]
        parsed = former[0].items.chunks if former else {}
        chunks = {name: parsed.get(name) or self.parse(name) for name in items}
        return routing_table.with_chunks(head["version"], chunks)

    def parse(self, name):
        return config_items.parse_chunk(ormsgpack.unpackb(self.body(name))[1])

    def body(self, name):
        return unpack_chunk(name, self.chunks[name], ROUTING_FORM)

    # ------------------------------------------------------------ for peers

    async def answer(self, request):
        async def packed(name, form):
            return self.chunks.get(name) if form == ROUTING_FORM else None

        return await serve_chunks(request, packed)


def split_names(head):
    """(chunks of the operators' manifest, chunks of items) of a head: items come last."""
    own = len(head["ranges"]) - head.get("items", 0)
    return head["ranges"][:own], head["ranges"][own:]
