"""Continuous repair of durable state, at a low rate.

It has three jobs: scrubbing (re-reading the files on this disk), anti-entropy (comparing accepted
values with the other members by digest) and garbage collection of chunks that no retained revision
refers to.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING, Any

from meadowdock.consensus import KeyStateLost
from meadowdock.logs import events as log_events
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import SECOND, fingerprint, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.revision import Plan, Revision
    from meadowdock.config_store.store import Store
    from meadowdock.process import Node

RUN_INTERVAL_US = SECOND
FILES_PER_ROUND = 8
KEY_RANGES = 16  # keys are compared by one digest for each range
PLAN_LIFETIME_US = 600 * SECOND  # how long a plan can be committed
CHANGE_TIME_US = 60 * SECOND  # longer than a change takes from its first chunk to its commit
CHUNK_DISK_SHARE = 1 / 4  # of the disk; beyond it unreferenced chunks are removed early
MEGABYTE = 1_000_000  # bytes
RETAINED_VERSIONS = 32  # versions whose chunks are kept, to report changes since then
REQUEST_TIMEOUT_US = SECOND


class Repairer:
    """Scrubs, compares and garbage-collects, at one member.

    Invariants: a chunk is removed only after a quorum read of the current revision, while no
    retained version refers to it and nobody requested it for two plan lifetimes, or for
    CHANGE_TIME_US while the chunks fill more than chunk_limit bytes; a key is repaired
    only with a value that another member accepted, as if that write had arrived late.
    """

    handlers = Handlers()

    def __init__(
        self,
        node: Node,
        store: Store,
        peers: Callable[[], dict[str, str]],
        fetch: Callable[[list[str]], Awaitable[dict[str, bytes]]],
    ) -> None:
        """Create the repairer of a member.

        :param peers: returns {disk id: address} of the other members
        :param fetch: returns {name: body} of the chunks that could be fetched
        """
        self.node, self.store = node, store
        self.peers, self.fetch = peers, fetch
        self.counts: Counter[str] = Counter()
        self.round_number = 0
        self.chunks_of_plan: dict[str, Iterable[str]] = {}  # plans never change
        disk_mb = getattr(node.settings, "disk_mb", None)
        self.chunk_limit = disk_mb and int(disk_mb * MEGABYTE * CHUNK_DISK_SHARE)
        self.disk_crowded = False

    async def run(self) -> None:
        """Scrub and compare at a steady rate, as long as this member is a voter."""
        while True:
            await sleep_us(RUN_INTERVAL_US)
            if self.store.is_voter:
                await self.scrub()
                if self.round_number % 2:
                    await self.compare()
                self.round_number += 1

    def record_repair(self, kind: str, **fields: object) -> None:
        """Count and log one repair."""
        self.counts[kind] += 1
        self.node.log(log_events.REPAIRED, what=kind, **fields)

    async def scrub(self) -> None:
        """Read the next few files in turn, and repair damaged ones.

        A key is rewritten from memory and a chunk is fetched from another member. A segment of the
        audit log counts as missing, and is pulled later.
        """
        acceptor = self.store.acceptor
        segments = self.store.audit_log.segments
        names: list[Any] = [
            *sorted(acceptor.keys),
            *await self.store.chunk_names(),
            *sorted(segments),
        ]
        start = self.round_number * FILES_PER_ROUND % max(1, len(names))
        # Wraps around at the end; otherwise the first files would be read in few rounds only.
        for name in (names[start:] + names[:start])[:FILES_PER_ROUND]:
            if name in acceptor.keys:
                if await acceptor.rewrite_if_damaged(name):
                    self.record_repair("key_file", key=acceptor.keys[name])
            elif name in segments:
                await self.store.audit_log.read_segment(name)
            elif await self.store.read_chunk(name) is None:
                await self.restore_chunks([name])

    async def restore_chunks(self, names: list[str]) -> bool:
        """Fetch missing or damaged chunks from the other members.

        :returns: whether all of them are here now.
        """
        bodies = await self.fetch(names)
        for body in bodies.values():
            await self.store.put_chunk(body)
            self.record_repair("range_file", blob=fingerprint(body))
        return len(bodies) == len(names)

    def accepted_ballots(self, key_range: int) -> dict[str, list[Any]]:
        """Return {key: accepted ballot} of one range of keys."""
        acceptor = self.store.acceptor
        return {
            acceptor.keys[folder]: list(state.accepted)
            for folder, state in sorted(acceptor.states.items())
            if state is not None
            and state.value is not None
            and int(folder[0], 16) % KEY_RANGES == key_range
        }

    def digests(self) -> list[str]:
        """Compute one digest for each range of keys."""
        return [
            fingerprint(repr(self.accepted_ballots(key_range)).encode())
            for key_range in range(KEY_RANGES)
        ]

    async def compare(self) -> None:
        """Compare with the next member, and repair the ranges of keys whose digests differ."""
        addresses = sorted(self.peers().values())
        if not addresses:
            return
        address = addresses[self.round_number // 2 % len(addresses)]
        try:
            remote_digests = await self.call(address, "mend.digests", None)
            pairs = zip(self.digests(), remote_digests, strict=True)
            for key_range, (local, remote) in enumerate(pairs):
                if local != remote:
                    await self.repair_keys(await self.call(address, "mend.keys", key_range))
        except (ConnectionFailed, Rejected):
            pass

    async def call(self, address: str, method: str, args: object) -> Any:
        """Call one member.

        :raises ConnectionFailed: there is no answer.
        :raises Rejected: it refuses.
        """
        return await self.node.rpc.call(address, method, args, monotonic_us() + REQUEST_TIMEOUT_US)

    async def repair_keys(self, accepted_by_peer: dict[str, Any]) -> None:
        """Accept newer values that another member accepted, as if their writes had arrived late."""
        for key, (ballot, value) in accepted_by_peer.items():
            try:
                own_ballot, _ = self.store.acceptor.read(key)
                if tuple(ballot) <= own_ballot:
                    continue
                if (await self.store.acceptor.write(key, tuple(ballot), value))[0] == "yes":
                    self.record_repair("key", key=key)
            except (KeyStateLost, OSError):
                pass

    @handlers.on("mend.digests")
    async def on_digests(self, peer: object, _: None) -> list[str]:
        """Return the digests of this member."""
        return self.digests()

    @handlers.on("mend.keys")
    async def on_keys(self, peer: object, key_range: int) -> dict[str, Any]:
        """Return {key: (accepted ballot, value)} of one range of keys."""
        return {key: self.store.acceptor.read(key) for key in self.accepted_ballots(key_range)}

    async def remove_unreferenced_chunks(
        self, revision: Revision, find_plan: Callable[[str], Awaitable[Plan | None]]
    ) -> None:
        """Remove chunks that no retained revision refers to.

        :param revision: the current one, from a quorum read that has just been made
        """
        plan_ids = {plan_id for _, plan_id in revision.history}
        retained = plan_ids | set(revision.chunks)
        for _, plan_id in revision.history[-RETAINED_VERSIONS:]:
            if plan_id not in self.chunks_of_plan:
                plan = await find_plan(plan_id)
                if plan is None:
                    return  # which chunks it refers to is unknown
                self.chunks_of_plan[plan_id] = plan.chunks
            retained.update(self.chunks_of_plan[plan_id])
        self.chunks_of_plan = {
            plan_id: chunks
            for plan_id, chunks in self.chunks_of_plan.items()
            if plan_id in plan_ids
        }
        if self.chunk_limit:
            await self.remove_least_recently_used(retained, self.chunk_limit)
        for name in await self.store.chunk_names():
            if name not in retained:
                await self.remove_chunk(name, 2 * PLAN_LIFETIME_US)

    async def remove_least_recently_used(self, retained: set[str], limit: int) -> None:
        """Remove chunks that are not retained until the others fill `limit` bytes at most.

        A plan of an operator may be lost by that before its lifetime is over; it is then unknown.
        """
        sizes = await self.store.chunk_sizes()
        total = sum(sizes.values())
        if self.disk_crowded != (total > limit):
            self.disk_crowded = total > limit
            self.node.log(log_events.DISK_CROWDED, crowded=self.disk_crowded, bytes=total)
        for name in sorted(sizes.keys() - retained, key=self.store.chunk_last_used):
            if total <= limit:
                return
            if await self.remove_chunk(name, CHANGE_TIME_US):
                total -= sizes[name]

    async def remove_chunk(self, name: str, idle_us: int) -> bool:
        """Remove a chunk that was not requested within this time, and return whether it was."""
        removed = await self.store.remove_idle_chunk(name, idle_us)
        self.counts["removed"] += removed
        return removed
