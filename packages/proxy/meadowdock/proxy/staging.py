"""Staging of a revision at a proxy: fetches its chunks and builds the routing table."""

from __future__ import annotations

from dataclasses import dataclass, field

import ormsgpack
import trio

from meadowdock.configuration import (
    ROUTING_FORM,
    RoutingTable,
    assemble_configuration,
    unpack_chunk,
)
from meadowdock.configuration import items as config_items
from meadowdock.configuration.chunk_fetch import ChunkFetch, ChunkFetcher
from meadowdock.configuration.chunk_server import serve_chunks
from meadowdock.logs import events as log_events
from meadowdock.runtime import monotonic_us

HEDGE_DELAY_DIVISOR = 20  # of apply_us: the wait for a silent member before the next one is asked
FETCH_TIMEOUT_DIVISOR = 2  # of apply_us: for one fetch; the next one keeps the chunks it received
MAX_CONCURRENT = 2  # revisions that are staged at the same time


@dataclass
class Staging:
    """One revision that is being staged.

    Invariant: complete is set before done is; whoever waits for a staging goes on to wait for its
    successor, if it has one.
    """

    revision: dict
    missing: list = field(default_factory=list)  # chunks that had to be fetched
    complete: bool = False
    successor: Staging | None = None  # the newer one that it was cancelled for
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    done: trio.Event = field(default_factory=trio.Event)


class Stager:
    """Fetches chunks and builds routing tables.

    Invariants: chunks holds packed chunks whose checksum was right; running holds at most
    MAX_CONCURRENT stagings by version. The oldest runs to its end, so that frequent changes can't
    starve it; of the newer ones only the newest is run.
    """

    def __init__(self, node, base_of_next, on_staged):
        self.node = node
        # returns the (routing table, revision) that the next table is built from, or None
        self.base_of_next = base_of_next
        self.on_staged = on_staged  # called with (routing table, revision, count of fetched chunks)
        self.chunks, self.running = {}, {}
        hedge_us = node.settings.apply_us // HEDGE_DELAY_DIVISOR
        self.fetcher = ChunkFetcher(node.rpc, node.settings.rpc_address, hedge_us, ROUTING_FORM)

    async def stage(self, revision, source):
        """Stage a revision; return True once it or a newer one is staged.

        Return False if its chunks could not be fetched.
        """
        staging = self.running.get(revision["version"]) or self.begin(revision, source)
        await staging.done.wait()
        while staging.successor is not None:
            staging = staging.successor
            await staging.done.wait()
        return staging.complete

    def begin(self, revision, source):
        """Start staging a revision; return it, or a newer one that is already running."""
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
        """Run one staging until it is complete, failed, or cancelled for a newer one."""
        try:
            with staging.scope:
                if await self.fetch(staging, source):
                    await self.finish(staging)
        finally:
            del self.running[staging.revision["version"]]
            staging.done.set()

    async def finish(self, staging):
        """Build the routing table, once all chunks have been fetched."""
        try:
            routing_table = await self.node.runtime.offload(self.build, staging.revision)
        except Exception as cause:
            # A peer sent a malformed chunk: the chunks that were fetched are dropped, so that the
            # next staging fetches them again.
            self.node.log(log_events.TASK_FAILED, task="staging", cause=repr(cause))
            for name in staging.missing:
                self.chunks.pop(name, None)
            return
        self.on_staged(routing_table, staging.revision, len(staging.missing))
        staging.complete = True

    async def fetch(self, staging, source):
        """Fetch the missing chunks; return whether this proxy has all of them then."""
        chunk_names = staging.revision["ranges"]
        missing = sorted({name for name in chunk_names if name not in self.chunks})
        staging.missing = missing
        if missing:
            # Shuffled so that two concurrent stagings fetch different chunks first. Chunks are
            # stored as they arrive, so those of a staging that doesn't complete are kept, too.
            self.node.runtime.rng.shuffle(missing)
            fetch = ChunkFetch(missing, self.sources(source), self.chunks)
            await self.fetcher.run(
                fetch, monotonic_us() + self.node.settings.apply_us // FETCH_TIMEOUT_DIVISOR
            )
        return all(name in self.chunks for name in chunk_names)

    def sources(self, source):
        """Return the addresses to fetch from, in order."""
        members = self.node.membership.core_members("mdconf")
        if source in members:
            return self.fetcher.order_members_by_hash(members)
        # The source is a peer: the config stores are unreachable.
        return [source, *self.fetcher.order_members_by_hash(members)]

    def retain_chunks(self, revisions):
        """Drop the chunks that neither these revisions nor the running stagings need."""
        revisions = [*revisions, *(staging.revision for staging in self.running.values())]
        names = {name for revision in revisions for name in revision["ranges"]}
        for name in self.chunks.keys() - names:
            del self.chunks[name]

    def build(self, revision):
        """Build the routing table of a revision whose chunks have all been fetched.

        Only chunks that the former table doesn't have are decoded. It runs in a thread, so it
        changes no state.
        """
        former = self.base_of_next()
        configuration_chunks, item_chunks = split_chunk_names(revision)
        if former is None or configuration_chunks != split_chunk_names(former[1])[0]:
            routing_table = RoutingTable(
                revision["version"],
                assemble_configuration(self.chunk_body(name) for name in configuration_chunks),
            )
        else:
            routing_table = former[0]
        parsed_chunks = former[0].items.chunks if former else {}
        chunks = {name: parsed_chunks.get(name) or self.parse(name) for name in item_chunks}
        return routing_table.with_chunks(revision["version"], chunks)

    def parse(self, name):
        """Return the items of a chunk."""
        return config_items.parse_chunk(ormsgpack.unpackb(self.chunk_body(name))[1])

    def chunk_body(self, name):
        """Return the unpacked form of a chunk that this proxy has."""
        return unpack_chunk(name, self.chunks[name], ROUTING_FORM)

    async def answer_chunk_request(self, request):
        """Return those of the chunks requested by a peer that this proxy has."""

        async def packed(name, form):
            return self.chunks.get(name) if form == ROUTING_FORM else None

        return await serve_chunks(request, packed)


def split_chunk_names(revision):
    """Split a revision's chunk names into those of the operators' configuration and those of items.

    The items' chunks come last in a revision.
    """
    configuration_count = len(revision["ranges"]) - revision.get("items", 0)
    return revision["ranges"][:configuration_count], revision["ranges"][configuration_count:]
