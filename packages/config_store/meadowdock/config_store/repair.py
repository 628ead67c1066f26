"""State that mends itself, at a steady slow pace: files read again, copies compared, old ones gone."""

from __future__ import annotations

from collections import Counter

from meadowdock.consensus import KeyStateLost
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import SECOND, fingerprint, monotonic_us, sleep_us

PACE = SECOND
FILES_A_TURN = 8
RANGES = 16
PLAN_LIFETIME_US = 600 * SECOND  # so long an unconfirmed plan can be confirmed
RETAINED_VERSIONS = 32  # versions whose range files are kept, to tell what changed since
COMPARE_WAIT = SECOND


class Repairer:
    """Invariants: a range file is removed only after a majority's head was read, while no kept
    version names it and nobody asked after it for two plan lives; a key is mended only by an
    accepted pair of another member, as if its write had come late."""

    handlers = Handlers()

    def __init__(self, node, store, others, fetch):
        self.node, self.store, self.others, self.fetch = node, store, others, fetch
        self.counts = Counter()
        self.turn = 0
        self.ranges_of = {}  # plan -> its ranges; plans never change

    async def run(self):
        """Scrub and compare at a steady pace, while this member votes."""
        while True:
            await sleep_us(PACE)
            if self.store.voter:
                await self.scrub()
                if self.turn % 2:
                    await self.compare()
                self.turn += 1

    def mended(self, what, **facts):
        """Count and log one repair."""
        self.counts[what] += 1
        self.node.log(606, what=what, **facts)

    # ------------------------------------------------------------ own files

    async def scrub(self):
        """The next few files, in turn: a key is written again from what this process knows, a
        range file is fetched, a segment of the audit log counts as missing and is pulled."""
        acceptor = self.store.acceptor
        segments = self.store.audit_log.segments
        names = [*sorted(acceptor.keys), *await self.store.names(), *sorted(segments)]
        start = self.turn * FILES_A_TURN % max(1, len(names))
        # on from the front when the end is reached: else the first files come up in few turns only
        for name in (names[start:] + names[:start])[:FILES_A_TURN]:
            if name in acceptor.keys:
                if await acceptor.rewrite_if_damaged(name):
                    self.mended("key_file", key=acceptor.keys[name])
            elif name in segments:
                await self.store.audit_log.read_segment(name)
            elif await self.store.blob(name) is None:
                await self.restore_chunks([name])

    async def restore_chunks(self, names):
        """Missing or rotten range files, from other members; true if all are whole now."""
        bodies = await self.fetch(names)
        for body in bodies.values():
            await self.store.put_blob(body)
            self.mended("range_file", blob=fingerprint(body))
        return len(bodies) == len(names)

    # ------------------------------------------------------------ copies at other members

    def pairs(self, span):
        """{key: accepted ballot} of one range of keys."""
        acceptor = self.store.acceptor
        return {
            acceptor.keys[folder]: list(state.accepted)
            for folder, state in sorted(acceptor.states.items())
            if state is not None and state.value is not None and int(folder[0], 16) % RANGES == span
        }

    def digests(self):
        """One digest for each range of keys."""
        return [fingerprint(repr(self.pairs(span)).encode()) for span in range(RANGES)]

    async def compare(self):
        """With the next member: ranges whose digests differ are mended from the newer."""
        others = sorted(self.others().values())
        if not others:
            return
        address = others[self.turn // 2 % len(others)]
        try:
            theirs = await self.ask(address, "mend.digests", None)
            for span, (mine, other) in enumerate(zip(self.digests(), theirs, strict=True)):
                if mine != other:
                    await self.repair_keys(await self.ask(address, "mend.keys", span))
        except (ConnectionFailed, Rejected):
            pass

    async def ask(self, address, method, args):
        """Call one member."""
        return await self.node.rpc.call(address, method, args, monotonic_us() + COMPARE_WAIT)

    async def repair_keys(self, theirs):
        """Take newer accepted pairs, as if their writes had come late."""
        for key, (ballot, value) in theirs.items():
            try:
                mine, _ = self.store.acceptor.read(key)
                if tuple(ballot) <= mine:
                    continue
                if (await self.store.acceptor.write(key, tuple(ballot), value))[0] == "yes":
                    self.mended("key", key=key)
            except (KeyStateLost, OSError):
                pass

    @handlers.on("mend.digests")
    async def on_digests(self, peer, _):
        """The digests here."""
        return self.digests()

    @handlers.on("mend.keys")
    async def on_keys(self, peer, span):
        """The accepted pairs of one range of keys."""
        return {key: self.store.acceptor.read(key) for key in self.pairs(span)}

    # ------------------------------------------------------------ what nobody needs

    async def remove_unreferenced_chunks(self, revision, find_plan):
        """Removes old files. revision was read from a quorum just now."""
        plans = {plan for _, plan in revision.history}
        kept = plans | set(revision.chunks)
        for _, plan in revision.history[-RETAINED_VERSIONS:]:
            if plan not in self.ranges_of:
                found = await find_plan(plan)
                if found is None:
                    return  # what it names can't be told now
                self.ranges_of[plan] = found.chunks
            kept.update(self.ranges_of[plan])
        self.ranges_of = {p: r for p, r in self.ranges_of.items() if p in plans}
        for name in await self.store.names():
            if name not in kept and await self.store.drop_idle(name, 2 * PLAN_LIFETIME_US):
                self.counts["removed"] += 1
