"""Chunks between processes: bounded frames, and fetches that are hedged.

A fetch asks one member; if nothing came from it for `hedge_us`, the next is asked beside it, and
one that answers without a chunk, or with a corrupt one, is passed by at once. So no single member
that is silent, slow or wrong delays a fetch by more than `hedge_us`.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

import trio

from meadowdock.configuration.packed import WHOLE, CorruptChunk, pack_chunk, unpack_chunk
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import SECOND, deadline_scope, fingerprint, monotonic_us

METHOD, FORMER_METHOD = "chunk.get", "blob.get"
FRAME = 16_384  # most bytes of chunks in one answer: heartbeats on the same link come between
FRAME_LEAST, FRAME_AT_FIRST = 1024, 4096
NAMES = 16  # in one request
FORMER_NAMES = 4  # whole chunks in one frame of a member that knows the former method alone
IN_FLIGHT = 2  # requests of one fetch
SLOW_FOR = 50  # times hedge_us: so long a member that was slow is asked last
LAST = 4  # times hedge_us, for an answer once all members were asked
CACHE_MAX = 2 << 20  # bytes


# ---------------------------------------------------------------- answering side


async def answer_request(request, packed_of):
    """The answer to METHOD. packed_of(name, form) gives a packed chunk or None. Chunks that don't
    fit into request["frame"] bytes are left out; the first may come in pieces, from
    request["offset"] on."""
    frame = max(FRAME_LEAST, min(request["frame"], FRAME))
    offset, room = request["offset"], frame
    pieces, missing = [], []
    for name in request["names"][:NAMES]:
        packed = await packed_of(name, request["form"])
        if packed is None:
            missing.append(name)
            continue
        if pieces and len(packed) > room:
            break
        piece = packed[offset : offset + frame]
        pieces.append([name, len(packed), piece])
        room -= len(piece)
        if offset or room <= 0:
            break
    return {"pieces": pieces, "missing": missing}


class PackedCache:
    """Packed chunks, the latest used last. Invariant: at most CACHE_MAX bytes."""

    def __init__(self, read):
        self.read = read  # async: a chunk's whole body by its name, or None
        self.packed, self.bytes = {}, 0

    async def get(self, name, form):
        key = name, form
        if key not in self.packed:
            body = await self.read(name)
            if body is None:
                return None
            if key not in self.packed:  # another request may have been faster
                self.add(key, pack_chunk(name, body, form))
        found = self.packed[key] = self.packed.pop(key)
        self.shrink()
        return found

    def add(self, key, packed):
        self.packed[key] = packed
        self.bytes += len(packed)

    def shrink(self):
        while self.bytes > CACHE_MAX:
            self.bytes -= len(self.packed.pop(next(iter(self.packed))))


# ---------------------------------------------------------------- asking side


@dataclass
class Attempt:
    """One member asked for one batch. Invariant: over is set once nothing more comes of it."""

    heard: int  # when something last came from the member
    over: trio.Event = field(default_factory=trio.Event)


class Fetch:
    """One fetch. Invariants: found holds verified chunks alone; complete is set once it holds every
    wanted name; a member in failed, or in lacking[name], is asked no more."""

    def __init__(self, names, sources, found):
        self.wanted, self.sources = set(names), sources
        self.queue = list(names)
        self.found = found  # others may add to it too
        self.complete, self.disk_read = trio.Event(), trio.Event()
        self.failed, self.lacking = set(), defaultdict(set)
        self.add({})

    def add(self, chunks):
        self.found.update(chunks)
        if self.wanted <= self.found.keys():
            self.complete.set()

    def next_batch(self):
        batch = [name for name in self.queue if name not in self.found][:NAMES]
        self.queue = [n for n in self.queue if n not in self.found and n not in batch]
        return batch

    def members_for(self, name):
        return [s for s in self.sources if s not in self.failed and s not in self.lacking[name]]


class Fetcher:
    """Fetches of one process. slow: when a member last let a request wait for `hedge_us`. frame:
    bytes that an answer may have; so many that it comes well within `hedge_us` over this
    process's link, else each would be asked for again of another member."""

    def __init__(self, rpc, address, hedge_us, form):
        self.rpc, self.address = rpc, address
        self.hedge_us, self.form = hedge_us, form
        self.slow = {}
        self.frame = FRAME_AT_FIRST

    def spread(self, sources):
        """Each process has an order of its own, so that they don't all ask the same member."""
        return sorted(sources, key=lambda s: fingerprint(f"{self.address} {s}".encode()))

    async def run(self, fetch, deadline):
        """Until all is found, no member has more of it, or the deadline."""
        self.frame = min(self.frame, FRAME_AT_FIRST)
        with deadline_scope(deadline):
            async with trio.open_nursery() as outer:
                outer.start_soon(cancel_when, fetch.complete, outer.cancel_scope)
                async with trio.open_nursery() as workers:
                    for place in range(IN_FLIGHT):
                        workers.start_soon(self.work, fetch, place, deadline)
                outer.cancel_scope.cancel()

    async def work(self, fetch, place, deadline):
        while batch := fetch.next_batch():
            members = fetch.members_for(batch[0])
            if not members:
                fetch.queue += batch[1:]  # nobody has the first
                continue
            await self.hedge(fetch, batch, self.in_order(members, place), deadline)
            fetch.queue += [name for name in batch if name not in fetch.found]

    def in_order(self, members, place):
        place %= len(members)
        turned = members[place:] + members[:place]
        return sorted(turned, key=self.lately_slow)

    def lately_slow(self, member):
        return member in self.slow and monotonic_us() - self.slow[member] < SLOW_FOR * self.hedge_us

    async def hedge(self, fetch, batch, members, deadline):
        """Ask one member after the other, the next as soon as the last is quiet, until one of them
        gave something. Those that stay silent once all were asked are given up."""
        attempts = {}
        async with trio.open_nursery() as nursery:
            for member in members:
                attempt = attempts[member] = Attempt(monotonic_us())
                nursery.start_soon(
                    self.attempt, fetch, batch, member, attempt, deadline, nursery.cancel_scope
                )
                await self.quiet(member, attempt)
            nursery.cancel_scope.deadline = trio.current_time() + LAST * self.hedge_us / SECOND
        if nursery.cancel_scope.cancelled_caught and fetch.found.keys().isdisjoint(batch):
            fetch.failed |= {m for m, attempt in attempts.items() if not attempt.over.is_set()}

    async def quiet(self, member, attempt):
        """Until it is over, or nothing came of it for a while."""
        while not attempt.over.is_set():
            wait_end = attempt.heard + self.hedge_us
            with deadline_scope(wait_end):
                await attempt.over.wait()
            if monotonic_us() >= attempt.heard + self.hedge_us:
                break
        if not attempt.over.is_set():
            self.slow[member] = monotonic_us()
            self.frame = max(FRAME_LEAST, self.frame // 4)  # it may be this process's own link

    async def attempt(self, fetch, batch, member, attempt, deadline, scope):
        names = [n for n in batch if n not in fetch.found and member not in fetch.lacking[n]]
        if not names:  # found meanwhile
            attempt.over.set()
            return
        try:
            chunks, lacking = await self.transfer(member, names, deadline, attempt)
        except (ConnectionFailed, Rejected, ValueError, TypeError, KeyError):
            fetch.failed.add(member)
        else:
            for name in lacking:
                fetch.lacking[name].add(member)
            fetch.add(chunks)
            if chunks:
                scope.cancel()
        attempt.over.set()

    async def transfer(self, member, names, deadline, attempt):
        """({name: chunk}, names that it lacks) of one request, and of those for the rest of a chunk
        that is larger than a frame."""
        try:
            answer = await self.request(member, names, 0, deadline, attempt)
        except Rejected as refusal:
            if refusal.code != "no_such_method":
                raise
            return await self.transfer_formerly(member, names[:FORMER_NAMES], deadline)
        chunks, lacking = {}, set(answer["missing"])
        for name, size, piece in answer["pieces"]:
            packed = bytes(piece)
            while len(packed) < size:
                more = await self.request(member, [name], len(packed), deadline, attempt)
                if not more["pieces"] or not more["pieces"][0][2]:
                    break
                packed += bytes(more["pieces"][0][2])
            if name not in names or not self.accept(name, packed, chunks):
                lacking.add(name)
        lacking &= set(names)
        if not chunks and not lacking:
            raise ValueError("an answer without anything that was asked for")
        return chunks, lacking

    async def request(self, member, names, offset, deadline, attempt):
        begun = monotonic_us()
        request = {"form": self.form, "names": names, "offset": offset, "frame": self.frame}
        answer = await self.rpc.call(member, METHOD, request, deadline)
        attempt.heard = monotonic_us()
        self.fit_frame(attempt.heard - begun)
        return answer

    def fit_frame(self, took_us):
        if took_us < self.hedge_us // 4:
            self.frame = min(FRAME, self.frame * 2)
        elif took_us > self.hedge_us // 2:
            self.frame = max(FRAME_LEAST, self.frame // 2)

    def accept(self, name, packed, chunks):
        """Keeps it: as packed for proxies, which hand it on; as a body where it is stored."""
        try:
            body = unpack_chunk(name, packed, self.form)
        except CorruptChunk:
            return False
        chunks[name] = body if self.form == WHOLE else packed
        return True

    async def transfer_formerly(self, member, names, deadline):
        """From a member of the former version, which sends whole bodies."""
        answer = await self.rpc.call(member, FORMER_METHOD, names, deadline)
        bodies = {n: bytes(b) for n, b in answer.items() if fingerprint(bytes(b)) == n}
        lacking = [name for name in names if name not in bodies]
        if self.form == WHOLE:
            return bodies, lacking
        return {n: pack_chunk(n, body, self.form) for n, body in bodies.items()}, lacking


async def cancel_when(event, scope):
    await event.wait()
    scope.cancel()
