"""How the processes know one another: a partial view, shuffled between neighbours.

Each process keeps a few entries of others and trades samples with a neighbour at each turn.
Entries of core processes (mdreg, mdconf) are few and wanted by all: they lie on a shelf of their
own and go along with every shuffle. Only the process itself raises its entry's beat, so an entry
whose beat stands still is of a process that died.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import NamedTuple

import immutables

from meadowdock.rpc import ConnectionFailed, Handlers, PeriodicSchedule, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, PauseDetector, monotonic_us

VIEW_MAX, SHELF_MAX, SAMPLE = 10, 32, 5
TURN = 500 * MILLISECOND
GONE_AFTER = 4 * SECOND
YOUNG = SECOND  # so long a view asks around quickly: with it, others may have just started too
MET_MAX = 2_000
ALONE = 5 * SECOND  # and so long if it knows no process of some core role yet
CORE = ("mdreg", "mdconf")


class Entry(NamedTuple):
    address: str  # of its links
    role: str
    hall: str
    incarnation: int
    beat: int
    leaving: bool
    version: int  # of the manifest that it has in force, or knows to be the head

    @property
    def newness(self):
        return self.incarnation, self.beat


@dataclass(frozen=True)
class Seen:
    entry: Entry
    heard: int  # when the beat last went up, by this machine's clock


@dataclass
class View:
    """Invariants: me is never among entries; one entry an address, the newest heard of; at most
    VIEW_MAX entries that aren't core and SHELF_MAX that are; gone remembers, for GONE_AFTER at
    least, the newness at which an address was given up, so that old news can't bring it back; met
    holds the incarnation that was told of each address not given up, of the MET_MAX met last: an
    entry that left the view and comes back is no news."""

    me: Entry
    seeds: tuple
    rng: object
    rpc: object
    log: object
    entries: immutables.Map = field(default_factory=immutables.Map)
    gone: immutables.Map = field(default_factory=immutables.Map)
    met: dict = field(default_factory=dict)
    heard: object = None  # called with each entry that is news
    seeded: int = 0
    still: PauseDetector = field(default_factory=lambda: PauseDetector(2 * SECOND, 0))
    quiet: dict = field(default_factory=dict)  # partner that didn't answer: (until, span)

    def __post_init__(self):
        self.schedule = PeriodicSchedule(self.me.address)

    handlers = Handlers()

    # ------------------------------------------------------------ state, no I/O

    def core(self, role):
        return sorted(
            seen.entry.address
            for seen in self.entries.values()
            if seen.entry.role == role and not seen.entry.leaving
        )

    def merge(self, entries, at):
        for entry in entries:
            self.learn(entry, at)
        self.trim()

    def learn(self, entry, at):
        if entry.address == self.me.address:
            if entry.incarnation > self.me.incarnation:  # the wall clock went back since then
                self.me = self.me._replace(incarnation=entry.incarnation + 1)
            return
        known = self.entries.get(entry.address)
        if known is not None and entry.newness <= known.entry.newness:
            return
        if entry.newness <= self.gone.get(entry.address, ((-1, -1), 0))[0]:
            return
        if entry.leaving:
            self.give_up(entry, at, "leaving")
            return
        if self.met.get(entry.address) != entry.incarnation:
            self.met[entry.address] = entry.incarnation
            self.log(301, peer=entry.address, role=entry.role, incarnation=entry.incarnation)
            if len(self.met) > MET_MAX:
                del self.met[next(iter(self.met))]
        self.entries = self.entries.set(entry.address, Seen(entry, at))
        if self.heard:
            self.heard(entry)

    def give_up(self, entry, at, why):
        if self.met.pop(entry.address, None) is not None:
            self.log(302, peer=entry.address, role=entry.role, why=why)
        self.gone = self.gone.set(entry.address, (entry.newness, at))
        if entry.address in self.entries:
            self.entries = self.entries.delete(entry.address)

    def expire(self, at):
        stood = self.still.look(at)
        if stood:
            self.entries = immutables.Map(
                {a: replace(s, heard=s.heard + stood) for a, s in self.entries.items()}
            )
        for seen in list(self.entries.values()):
            if at - seen.heard > GONE_AFTER:
                self.give_up(seen.entry, at, "silent")
        self.gone = immutables.Map(
            {a: kept for a, kept in self.gone.items() if at - kept[1] <= 10 * GONE_AFTER}
        )

    def trim(self):
        for limit, is_core in ((VIEW_MAX, False), (SHELF_MAX, True)):
            group = [s for s in self.entries.values() if (s.entry.role in CORE) == is_core]
            surplus = len(group) - limit
            if surplus > 0:
                # random leaving keeps the views mixed; the entry itself is not given up
                for seen in self.rng.sample(sorted(group, key=lambda s: s.entry.address), surplus):
                    self.entries = self.entries.delete(seen.entry.address)

    def sample(self):
        rest_of = sorted(s.entry for s in self.entries.values() if s.entry.role not in CORE)
        core = sorted(s.entry for s in self.entries.values() if s.entry.role in CORE)
        return [self.me, *core, *self.rng.sample(rest_of, min(SAMPLE, len(rest_of)))]

    def bump(self, **changes):
        self.me = self.me._replace(beat=self.me.beat + 1, **changes)

    def partner(self, at):
        """A neighbour at random; a seed when nobody is known, and now and then to mend splits."""
        known = sorted(self.entries)
        others = [a for a in known if self.quiet.get(a, (0, 0))[0] <= at] or known
        seeds = [s for s in self.seeds if s != self.me.address]
        if seeds and (not others or at - self.seeded > 5 * SECOND):
            self.seeded = at if others else self.seeded
            return self.rng.choice(seeds)
        return self.rng.choice(others) if others else None

    # ------------------------------------------------------------ talk

    @handlers.on("view.shuffle")
    async def shuffled(self, peer, entries):
        reply = self.sample()
        self.merge((Entry(*entry) for entry in entries), monotonic_us())
        return [list(entry) for entry in reply]

    async def turn(self):
        """One shuffle. Gives False if the partner didn't answer."""
        self.bump()
        self.expire(monotonic_us())
        partner = self.partner(monotonic_us())
        if partner is None:
            return True
        try:
            told = await self.rpc.call(
                partner,
                "view.shuffle",
                [list(e) for e in self.sample()],
                monotonic_us() + TURN // 2,
            )
        except (ConnectionFailed, Rejected):
            span = min(2 * self.quiet.get(partner, (0, TURN))[1], 30 * SECOND)
            self.quiet[partner] = monotonic_us() + span, span
            return False
        self.quiet.pop(partner, None)
        self.merge((Entry(*entry) for entry in told), monotonic_us())
        return True

    def settled(self, age):
        whole = age > ALONE or all(self.core(role) for role in CORE)
        return len(self.entries) > 2 and age > YOUNG and whole

    async def run(self):
        born = self.still.at = monotonic_us()
        while True:
            answered = await self.turn()
            # a young view fills fast, a settled one takes its time, a silent partner is passed by
            turn = TURN if answered and self.settled(monotonic_us() - born) else TURN // 5
            await self.schedule.sleep(turn)

    async def farewell(self):
        """Tell a few neighbours that this process leaves."""
        self.bump(leaving=True)
        others = sorted(self.entries)
        chosen = self.rng.sample(others, min(6, len(others)))
        news = [list(self.me)]
        await self.rpc.call_all(
            {a: (a, "view.shuffle", news) for a in {*chosen, *self.core("mdreg")}},
            monotonic_us() + 300 * MILLISECOND,
        )
