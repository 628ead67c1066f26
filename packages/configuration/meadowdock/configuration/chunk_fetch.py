"""Fetching chunks from other members with hedged requests.

A fetch sends each request to one member. If that member sends nothing for `hedge_delay_us`, the
same request is also sent to the next member. A member that answers without the chunk, or with a
corrupt one, is skipped at once. A single silent, slow or faulty member therefore delays a fetch by
at most `hedge_delay_us`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from meadowdock.configuration.chunk_codec import COMPLETE_FORM, pack_chunk, unpack_chunk
from meadowdock.configuration.chunk_messages import (
    CHUNK_METHOD,
    LEGACY_CHUNK_METHOD,
    MAX_FRAME_BYTES,
    MAX_LEGACY_NAMES,
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
WORKERS = 2  # concurrent batches of one fetch, not counting hedged requests
# After a slow response, a member is tried last for this many times hedge_delay_us.
SLOW_MEMBER_HEDGES = 50
# Once a request was sent to all members, wait this many times hedge_delay_us for a response.
FINAL_WAIT_HEDGES = 4

Bodies = dict[str, bytes]  # chunks by name: packed at proxies, unpacked at members that store them


@dataclass
class Attempt:
    """The request for one batch to one member.

    Invariant: done is set once the request has succeeded or failed.
    """

    last_received_us: int  # when the member last sent something, or when the attempt began
    done: trio.Event = field(default_factory=trio.Event)


class ChunkFetch:
    """The state of one fetch.

    Invariants: found contains only verified chunks; complete is set once found has every wanted
    name; no request goes to a member in failed, nor for a name to a member in missing[name].
    disk_read is set by a config store once it has looked for the chunks on its own disk.
    """

    def __init__(self, names: Iterable[str], members: list[str], found: Bodies) -> None:
        """Begin a fetch of these chunks.

        :param members: addresses, in the order in which they are tried.
        :param found: receives the chunks; others may add to it too.
        """
        self.queue = list(names)
        self.wanted = set(self.queue)
        self.members = members
        self.found = found
        self.complete, self.disk_read = trio.Event(), trio.Event()
        self.failed: set[str] = set()
        self.missing: defaultdict[str, set[str]] = defaultdict(set)  # members without it, by name
        self.add({})

    def add(self, chunks: Bodies) -> None:
        """Add verified chunks."""
        self.found.update(chunks)
        if self.wanted <= self.found.keys():
            self.complete.set()

    def next_batch(self) -> list[str]:
        """Remove the names of the next request from the queue and return them."""
        batch = [name for name in self.queue if name not in self.found][:MAX_NAMES]
        self.queue = [name for name in self.queue if name not in self.found and name not in batch]
        return batch

    def requeue(self, names: list[str]) -> None:
        """Put the names that a request didn't return back into the queue."""
        self.queue += [name for name in names if name not in self.found]

    def members_for(self, name: str) -> list[str]:
        """Return the members that may have a chunk."""
        return [
            member
            for member in self.members
            if member not in self.failed and member not in self.missing[name]
        ]


class ChunkFetcher:
    """Runs the fetches of one process.

    Invariants: slow_at_us has the time at which a member last exceeded `hedge_delay_us`;
    frame_bytes, the requested limit of a response, is adapted so that responses arrive well within
    `hedge_delay_us` over this process's link. Larger responses would trigger a hedged request each
    time.
    """

    def __init__(self, rpc: ConnectionPool, address: str, hedge_delay_us: int, form: str) -> None:
        self.rpc = rpc
        self.address = address
        self.hedge_delay_us = hedge_delay_us
        self.form = form
        self.slow_at_us: dict[str, int] = {}
        self.frame_bytes = INITIAL_FRAME_BYTES

    def order_members_by_hash(self, members: Iterable[str]) -> list[str]:
        """Return the members in an order that differs between processes, to spread their load."""
        return sorted(members, key=lambda member: fingerprint(f"{self.address} {member}".encode()))

    async def run(self, fetch: ChunkFetch, deadline: int) -> None:
        """Fetch until all chunks are found, no member has any of the rest, or the deadline passes."""
        self.frame_bytes = min(self.frame_bytes, INITIAL_FRAME_BYTES)
        with deadline_scope(deadline):
            async with trio.open_nursery() as fetch_nursery:
                fetch_nursery.start_soon(cancel_when, fetch.complete, fetch_nursery.cancel_scope)
                async with trio.open_nursery() as worker_nursery:
                    for worker in range(WORKERS):
                        worker_nursery.start_soon(self.work, fetch, worker, deadline)
                fetch_nursery.cancel_scope.cancel()

    async def work(self, fetch: ChunkFetch, worker: int, deadline: int) -> None:
        """Fetch batch after batch.

        :param worker: the number of this worker; each begins with a different member.
        """
        while batch := fetch.next_batch():
            members = fetch.members_for(batch[0])
            if not members:
                fetch.queue += batch[1:]  # no member has the first chunk
                continue
            await self.hedge(fetch, batch, self.order_members(members, worker), deadline)
            fetch.requeue(batch)

    def order_members(self, members: list[str], worker: int) -> list[str]:
        """Return the members rotated by the worker's number, with recently slow ones last."""
        first = worker % len(members)
        rotated = members[first:] + members[:first]
        return sorted(rotated, key=self.is_recently_slow)

    def is_recently_slow(self, member: str) -> bool:
        """Return whether a member exceeded the hedge delay not long ago."""
        return (
            member in self.slow_at_us
            and monotonic_us() - self.slow_at_us[member] < SLOW_MEMBER_HEDGES * self.hedge_delay_us
        )

    async def hedge(
        self, fetch: ChunkFetch, batch: list[str], members: list[str], deadline: int
    ) -> None:
        """Request a batch from one member after the other until one returns a chunk.

        The request goes to the next member when the current one is silent for hedge_delay_us.
        Members that are still silent after the final wait count as failed for this fetch.
        """
        attempts: dict[str, Attempt] = {}
        async with trio.open_nursery() as nursery:
            for member in members:
                attempt = attempts[member] = Attempt(monotonic_us())
                nursery.start_soon(
                    self.attempt, fetch, batch, member, attempt, deadline, nursery.cancel_scope
                )
                await self.wait_until_silent(member, attempt)
            final_wait_us = FINAL_WAIT_HEDGES * self.hedge_delay_us
            nursery.cancel_scope.deadline = trio.current_time() + final_wait_us / SECOND
        if nursery.cancel_scope.cancelled_caught and fetch.found.keys().isdisjoint(batch):
            fetch.failed |= {
                member for member, attempt in attempts.items() if not attempt.done.is_set()
            }

    async def wait_until_silent(self, member: str, attempt: Attempt) -> None:
        """Wait until an attempt is done, or its member was silent for hedge_delay_us."""
        while not attempt.done.is_set():
            silent_at_us = attempt.last_received_us + self.hedge_delay_us
            with deadline_scope(silent_at_us):
                await attempt.done.wait()
            if monotonic_us() >= attempt.last_received_us + self.hedge_delay_us:
                break
        if not attempt.done.is_set():
            self.slow_at_us[member] = monotonic_us()
            # The cause may be this process's own slow link: ask for smaller responses.
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
        """Request a batch from one member, and cancel all attempts if it returns a chunk."""
        names = [
            name for name in batch if name not in fetch.found and member not in fetch.missing[name]
        ]
        if not names:  # found by another attempt in the meantime
            attempt.done.set()
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
        attempt.done.set()

    async def transfer(
        self, member: str, names: list[str], deadline: int, attempt: Attempt
    ) -> tuple[Bodies, set[str]]:
        """Request chunks from a member, with further requests for a chunk sent in parts.

        :returns: the chunks received, and the names that are missing or corrupt at the member.
        :raises EmptyResponse: the response mentions none of the requested names.
        """
        try:
            response = await self.request(member, names, 0, deadline, attempt)
        except Rejected as rejection:
            if rejection.code != NO_SUCH_METHOD:
                raise
            return await self.transfer_legacy(member, names[:MAX_LEGACY_NAMES], deadline)
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
            raise EmptyResponse(f"response of {member} mentions none of the chunks {names}")
        return chunks, missing

    async def request(
        self, member: str, names: list[str], offset: int, deadline: int, attempt: Attempt
    ) -> ChunkResponse:
        """Send one request, and adapt the frame size to its latency."""
        sent_us = monotonic_us()
        request = ChunkRequest(self.form, names, offset, self.frame_bytes)
        wire = await self.rpc.call(member, CHUNK_METHOD, request.to_wire(), deadline)
        attempt.last_received_us = monotonic_us()
        self.adapt_frame(attempt.last_received_us - sent_us)
        return ChunkResponse.from_wire(wire)

    def adapt_frame(self, latency_us: int) -> None:
        """Raise the limit of a response after a fast one, and lower it after a slow one."""
        if latency_us < self.hedge_delay_us // 4:
            self.frame_bytes = min(MAX_FRAME_BYTES, self.frame_bytes * 2)
        elif latency_us > self.hedge_delay_us // 2:
            self.frame_bytes = max(MIN_FRAME_BYTES, self.frame_bytes // 2)

    def accept(self, name: str, packed: bytes, chunks: Bodies) -> bool:
        """Add a chunk to `chunks` if it is intact, and return whether it is.

        Proxies keep it packed, as they serve it to others; members that store it keep its body.
        """
        try:
            body = unpack_chunk(name, packed, self.form)
        except CorruptChunk:
            return False
        chunks[name] = body if self.form == COMPLETE_FORM else packed
        return True

    async def transfer_legacy(
        self, member: str, names: list[str], deadline: int
    ) -> tuple[Bodies, set[str]]:
        """Request chunks as `transfer` does, from a member of the previous release.

        Its responses contain unpacked chunks.
        """
        response = await self.rpc.call(member, LEGACY_CHUNK_METHOD, names, deadline)
        received = {name: bytes(body) for name, body in response.items()}
        bodies = {name: body for name, body in received.items() if fingerprint(body) == name}
        missing = {name for name in names if name not in bodies}
        if self.form == COMPLETE_FORM:
            return bodies, missing
        return {name: pack_chunk(name, body, self.form) for name, body in bodies.items()}, missing


async def cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    """Cancel a scope once an event is set."""
    await event.wait()
    scope.cancel()
