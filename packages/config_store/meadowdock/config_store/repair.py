"""Repair of durable state, at a steady slow pace.

Three jobs: scrub (the files here are read again), anti-entropy (accepted values are compared with the
other members' by digest) and the removal of chunks that no kept revision names.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING, Any

from meadowdock.consensus import KeyStateLost
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import SECOND, fingerprint, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.config_store.revision import Plan, Revision
    from meadowdock.config_store.store import Store
    from meadowdock.process import Node

RUN_INTERVAL_US = SECOND
FILES_PER_ROUND = 8
KEY_RANGES = 16  # keys are compared by one digest for each range
PLAN_LIFETIME_US = 600 * SECOND  # so long a plan can be committed
RETAINED_VERSIONS = 32  # versions whose chunks are kept, to tell what changed since
REQUEST_TIMEOUT_US = SECOND


class Repairer:
    """Scrubs, compares and removes, at one member.

    Invariants: a chunk is removed only after a quorum read of the current revision, while no kept
    version names it and nobody asked for it for two plan lifetimes; a key is repaired only by a value
    that another member accepted, as if that write had come late.
    """

    handlers = Handlers()

    def __init__(
        self,
        node: Node,
        store: Store,
        others: Callable[[], dict[str, str]],
        fetch: Callable[[list[str]], Awaitable[dict[str, bytes]]],
    ) -> None:
        """others: gives {disk id: address} of the other members. fetch: gives {name: body} of chunks."""
        self.node, self.store = node, store
        self.others, self.fetch = others, fetch
        self.counts: Counter[str] = Counter()
        self.round_number = 0
        self.chunks_of_plan: dict[str, Iterable[str]] = {}  # plans never change

    async def run(self) -> None:
        """Scrub and compare at a steady pace, while this member votes."""
        while True:
            await sleep_us(RUN_INTERVAL_US)
            if self.store.is_voter:
                await self.scrub()
                if self.round_number % 2:
                    await self.compare()
                self.round_number += 1

    def record_repair(self, what: str, **facts: object) -> None:
        """Count and log one repair."""
        self.counts[what] += 1
        self.node.log(606, what=what, **facts)

    # ------------------------------------------------------------ own files

    async def scrub(self) -> None:
        """Read the next few files, in turn. Of damaged ones, a key is written again from memory, a
        chunk is fetched, a segment of the audit log counts as missing and is pulled."""
        acceptor = self.store.acceptor
        segments = self.store.audit_log.segments
        names: list[Any] = [
            *sorted(acceptor.keys),
            *await self.store.chunk_names(),
            *sorted(segments),
        ]
        start = self.round_number * FILES_PER_ROUND % max(1, len(names))
        # on from the front when the end is reached: else the first files come up in few turns only
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

    # ------------------------------------------------------------ anti-entropy

    def accepted_ballots(self, key_range: int) -> dict[str, list[Any]]:
        """{key: accepted ballot} of one range of keys."""
        acceptor = self.store.acceptor
        return {
            acceptor.keys[folder]: list(state.accepted)
            for folder, state in sorted(acceptor.states.items())
            if state is not None
            and state.value is not None
            and int(folder[0], 16) % KEY_RANGES == key_range
        }

    def digests(self) -> list[str]:
        """One digest for each range of keys."""
        return [
            fingerprint(repr(self.accepted_ballots(key_range)).encode())
            for key_range in range(KEY_RANGES)
        ]

    async def compare(self) -> None:
        """Compare with the next member, and repair keys in ranges whose digests differ."""
        others = sorted(self.others().values())
        if not others:
            return
        address = others[self.round_number // 2 % len(others)]
        try:
            theirs = await self.ask(address, "mend.digests", None)
            for key_range, (mine, other) in enumerate(zip(self.digests(), theirs, strict=True)):
                if mine != other:
                    await self.repair_keys(await self.ask(address, "mend.keys", key_range))
        except (ConnectionFailed, Rejected):
            pass

    async def ask(self, address: str, method: str, args: object) -> Any:
        """Call one member.

        :raises ConnectionFailed: there is no answer.
        :raises Rejected: it refuses.
        """
        return await self.node.rpc.call(address, method, args, monotonic_us() + REQUEST_TIMEOUT_US)

    async def repair_keys(self, theirs: dict[str, Any]) -> None:
        """Accept newer values that another member accepted, as if their writes had come late."""
        for key, (ballot, value) in theirs.items():
            try:
                mine, _ = self.store.acceptor.read(key)
                if tuple(ballot) <= mine:
                    continue
                if (await self.store.acceptor.write(key, tuple(ballot), value))[0] == "yes":
                    self.record_repair("key", key=key)
            except (KeyStateLost, OSError):
                pass

    @handlers.on("mend.digests")
    async def on_digests(self, peer: object, _: None) -> list[str]:
        """The digests here."""
        return self.digests()

    @handlers.on("mend.keys")
    async def on_keys(self, peer: object, key_range: int) -> dict[str, Any]:
        """The accepted (ballot, value) of one range of keys."""
        return {key: self.store.acceptor.read(key) for key in self.accepted_ballots(key_range)}

    # ------------------------------------------------------------ garbage collection

    async def remove_unreferenced_chunks(
        self, revision: Revision, find_plan: Callable[[str], Awaitable[Plan | None]]
    ) -> None:
        """Remove chunks that no kept revision names. revision: from a quorum read just now."""
        plans = {plan for _, plan in revision.history}
        kept = plans | set(revision.chunks)
        for _, plan in revision.history[-RETAINED_VERSIONS:]:
            if plan not in self.chunks_of_plan:
                found = await find_plan(plan)
                if found is None:
                    return  # which chunks it names is unknown now
                self.chunks_of_plan[plan] = found.chunks
            kept.update(self.chunks_of_plan[plan])
        self.chunks_of_plan = {
            plan: chunks for plan, chunks in self.chunks_of_plan.items() if plan in plans
        }
        for name in await self.store.chunk_names():
            if name not in kept and await self.store.remove_idle_chunk(name, 2 * PLAN_LIFETIME_US):
                self.counts["removed"] += 1
