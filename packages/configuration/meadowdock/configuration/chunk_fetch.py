"""The side that needs chunks: fetches them with hedged requests.

A fetch asks one member; if nothing came from it for `hedge_us`, the next is asked beside it, and
one that answers without a chunk, or with a corrupt one, is passed by at once. So no single member
that is silent, slow or wrong delays a fetch by more than `hedge_us`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from meadowdock.configuration.chunk_codec import COMPLETE_FORM, pack_chunk, unpack_chunk
from meadowdock.configuration.chunk_messages import (
    CHUNK_METHOD,
    FORMER_CHUNK_METHOD,
    MAX_FORMER_NAMES,
    MAX_FRAME_BYTES,
    MAX_NAMES,
    MIN_FRAME_BYTES,
    NO_SUCH_METHOD,
    ChunkRequest,
    ChunkResponse,
)
from meadowdock.configuration.exceptions import CorruptChunk, EmptyResponse
from meadowdock.rpc import ConnectionFailed, ConnectionPool, Rejected
from meadowdock.runtime import SECOND, deadline_scope, fingerprint, monotonic_us

INITIAL_FRAME_BYTES = 4096
WORKERS = 2  # requests in flight of one fetch, hedges apart
SLOW_HEDGES = 50  # a member that was slow is asked last for so many times hedge_us
FINAL_HEDGES = 4  # an answer is waited for so many times hedge_us once all members were asked

Bodies = dict[str, bytes]  # chunks by name: packed for proxies, bodies where they are stored


@dataclass
class Attempt:
    """A member asked for one batch. Invariant: over is set once nothing more comes of it."""

    heard_at: int  # when something last came from the member, us
    over: trio.Event = field(default_factory=trio.Event)


class ChunkFetch:
    """One fetch. Invariants: found holds verified chunks alone; complete is set once it holds every
    wanted name; a member in failed, or in missing[name], is asked no more."""

    def __init__(self, names: Iterable[str], members: list[str], found: Bodies) -> None:
        """:param members: addresses, in the order in which they are asked.
        :param found: takes the chunks; others may add to it too.
        """
        self.queue = list(names)
        self.wanted = set(self.queue)
        self.members = members
        self.found = found
        self.complete, self.disk_read = trio.Event(), trio.Event()
        self.failed: set[str] = set()
        self.missing: defaultdict[str, set[str]] = defaultdict(set)  # members that lack a name
        self.add({})

    def add(self, chunks: Bodies) -> None:
        """Take verified chunks in."""
        self.found.update(chunks)
        if self.wanted <= self.found.keys():
            self.complete.set()

    def next_batch(self) -> list[str]:
        """Take the names of the next request from the queue."""
        batch = [name for name in self.queue if name not in self.found][:MAX_NAMES]
        self.queue = [name for name in self.queue if name not in self.found and name not in batch]
        return batch

    def requeue(self, names: list[str]) -> None:
        """Put names back that a request didn't bring."""
        self.queue += [name for name in names if name not in self.found]

    def members_for(self, name: str) -> list[str]:
        """The members that may have a chunk."""
        return [
            member
            for member in self.members
            if member not in self.failed and member not in self.missing[name]
        ]


class ChunkFetcher:
    """Fetches of one process.

    Invariants: slow_at says when a member last let a request wait for `hedge_us`; frame_bytes, the
    most that a response may have, is adapted so that responses come well within `hedge_us` over
    this process's link, else each would be asked for again of another member.
    """

    def __init__(self, rpc: ConnectionPool, address: str, hedge_us: int, form: str) -> None:
        self.rpc = rpc
        self.address = address
        self.hedge_us = hedge_us
        self.form = form
        self.slow_at: dict[str, int] = {}
        self.frame_bytes = INITIAL_FRAME_BYTES

    def spread(self, members: Iterable[str]) -> list[str]:
        """The members in an order of this process's own, so that not all ask the same one."""
        return sorted(members, key=lambda member: fingerprint(f"{self.address} {member}".encode()))

    async def run(self, fetch: ChunkFetch, deadline: int) -> None:
        """Fetch until all is found, no member has more of it, or the deadline."""
        self.frame_bytes = min(self.frame_bytes, INITIAL_FRAME_BYTES)
        with deadline_scope(deadline):
            async with trio.open_nursery() as outer:
                outer.start_soon(cancel_when, fetch.complete, outer.cancel_scope)
                async with trio.open_nursery() as workers:
                    for number in range(WORKERS):
                        workers.start_soon(self.work, fetch, number, deadline)
                outer.cancel_scope.cancel()

    async def work(self, fetch: ChunkFetch, number: int, deadline: int) -> None:
        """Fetch batch after batch. Each worker begins with another member."""
        while batch := fetch.next_batch():
            members = fetch.members_for(batch[0])
            if not members:
                fetch.queue += batch[1:]  # nobody has the first
                continue
            await self.hedge(fetch, batch, self.in_order(members, number), deadline)
            fetch.requeue(batch)

    def in_order(self, members: list[str], number: int) -> list[str]:
        """The members from that number on, those that were slow lately last."""
        first = number % len(members)
        rotated = members[first:] + members[:first]
        return sorted(rotated, key=self.lately_slow)

    def lately_slow(self, member: str) -> bool:
        """Whether a member let a request wait not long ago."""
        return (
            member in self.slow_at
            and monotonic_us() - self.slow_at[member] < SLOW_HEDGES * self.hedge_us
        )

    async def hedge(
        self, fetch: ChunkFetch, batch: list[str], members: list[str], deadline: int
    ) -> None:
        """Ask one member after the other, the next as soon as the last is silent, until one of them
        gave something. Those that stay silent once all were asked are given up."""
        attempts: dict[str, Attempt] = {}
        async with trio.open_nursery() as nursery:
            for member in members:
                attempt = attempts[member] = Attempt(monotonic_us())
                nursery.start_soon(
                    self.attempt, fetch, batch, member, attempt, deadline, nursery.cancel_scope
                )
                await self.until_silent(member, attempt)
            last_wait_us = FINAL_HEDGES * self.hedge_us
            nursery.cancel_scope.deadline = trio.current_time() + last_wait_us / SECOND
        if nursery.cancel_scope.cancelled_caught and fetch.found.keys().isdisjoint(batch):
            fetch.failed |= {m for m, attempt in attempts.items() if not attempt.over.is_set()}

    async def until_silent(self, member: str, attempt: Attempt) -> None:
        """Wait until an attempt is over, or nothing came of it for a while."""
        while not attempt.over.is_set():
            silent_at = attempt.heard_at + self.hedge_us
            with deadline_scope(silent_at):
                await attempt.over.wait()
            if monotonic_us() >= attempt.heard_at + self.hedge_us:
                break
        if not attempt.over.is_set():
            self.slow_at[member] = monotonic_us()
            # it may be this process's own link that is slow
            self.frame_bytes = max(MIN_FRAME_BYTES, self.frame_bytes // 4)

    async def attempt(
        self,
        fetch: ChunkFetch,
        batch: list[str],
        member: str,
        attempt: Attempt,
        deadline: int,
        all_attempts: trio.CancelScope,
    ) -> None:
        """Ask one member. The first that gives something cancels all attempts."""
        names = [
            name for name in batch if name not in fetch.found and member not in fetch.missing[name]
        ]
        if not names:  # found meanwhile
            attempt.over.set()
            return
        try:
            chunks, missing = await self.transfer(member, names, deadline, attempt)
        except (ConnectionFailed, Rejected, ValueError, TypeError, KeyError):
            fetch.failed.add(member)
        else:
            for name in missing:
                fetch.missing[name].add(member)
            fetch.add(chunks)
            if chunks:
                all_attempts.cancel()
        attempt.over.set()

    async def transfer(
        self, member: str, names: list[str], deadline: int, attempt: Attempt
    ) -> tuple[Bodies, set[str]]:
        """One request, and those for the rest of a chunk that is larger than a response.

        :returns: the chunks that came, and the names that the member has not, or not intact.
        :raises EmptyResponse: it said nothing about what was asked for.
        """
        try:
            response = await self.request(member, names, 0, deadline, attempt)
        except Rejected as rejection:
            if rejection.code != NO_SUCH_METHOD:
                raise
            return await self.transfer_formerly(member, names[:MAX_FORMER_NAMES], deadline)
        chunks: Bodies = {}
        missing = set(response.missing)
        for name, size, data in response.pieces:
            packed = data
            while len(packed) < size:
                more = await self.request(member, [name], len(packed), deadline, attempt)
                if not more.pieces or not more.pieces[0].data:
                    break
                packed += more.pieces[0].data
            if name not in names or not self.accept(name, packed, chunks):
                missing.add(name)
        missing &= set(names)
        if not chunks and not missing:
            raise EmptyResponse(member)
        return chunks, missing

    async def request(
        self, member: str, names: list[str], offset: int, deadline: int, attempt: Attempt
    ) -> ChunkResponse:
        """Send one request, and note how long its response took."""
        asked_at = monotonic_us()
        request = ChunkRequest(self.form, names, offset, self.frame_bytes)
        wire = await self.rpc.call(member, CHUNK_METHOD, request.to_wire(), deadline)
        attempt.heard_at = monotonic_us()
        self.adapt_frame(attempt.heard_at - asked_at)
        return ChunkResponse.from_wire(wire)

    def adapt_frame(self, took_us: int) -> None:
        """Take larger responses when they come fast, smaller ones when they come slowly."""
        if took_us < self.hedge_us // 4:
            self.frame_bytes = min(MAX_FRAME_BYTES, self.frame_bytes * 2)
        elif took_us > self.hedge_us // 2:
            self.frame_bytes = max(MIN_FRAME_BYTES, self.frame_bytes // 2)

    def accept(self, name: str, packed: bytes, chunks: Bodies) -> bool:
        """Keep a chunk if it is intact: packed for proxies, which pass it on; its body where it is
        stored."""
        try:
            body = unpack_chunk(name, packed, self.form)
        except CorruptChunk:
            return False
        chunks[name] = body if self.form == COMPLETE_FORM else packed
        return True

    async def transfer_formerly(
        self, member: str, names: list[str], deadline: int
    ) -> tuple[Bodies, set[str]]:
        """As `transfer`, from a member of the former release, which sends complete bodies."""
        response = await self.rpc.call(member, FORMER_CHUNK_METHOD, names, deadline)
        received = {name: bytes(body) for name, body in response.items()}
        bodies = {name: body for name, body in received.items() if fingerprint(body) == name}
        missing = {name for name in names if name not in bodies}
        if self.form == COMPLETE_FORM:
            return bodies, missing
        return {n: pack_chunk(n, body, self.form) for n, body in bodies.items()}, missing


async def cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    """Cancel a scope once an event is set."""
    await event.wait()
    scope.cancel()
