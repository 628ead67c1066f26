"""The asking side: changes and reads over a majority of members."""

from __future__ import annotations

from typing import NamedTuple

import trio

from meadowdock.consensus.acceptor import ZERO
from meadowdock.consensus.quorum import VoterSets
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us, sleep_us

READ_WAIT = 100 * MILLISECOND
FIRST_WAIT, LONGEST_WAIT = 8 * MILLISECOND, 400 * MILLISECOND  # between the tries of a change
WAIT_SPANS = 16  # and no longer than so many times what a try took
FIRST_LOOK, LONGEST_LOOK = 4 * MILLISECOND, 80 * MILLISECOND  # between the looks of a read
PATIENCE, MOST_PATIENCE = 250 * MILLISECOND, SECOND  # before a read writes again what stands apart


class NoQuorum(Exception):
    """Nothing of the change was written anywhere: it did not and will not take place."""


class OutcomeUnknown(Exception):
    """Some members may have written the change: it may take place, or may have."""


class Tried(NamedTuple):
    """The outcome of one ballot."""

    done: bool
    value: object
    wrote: bool  # some members may have accepted it
    heard: bool  # a quorum answered


class Proposer:
    """ask(member, method, args, deadline) -> answer, or raises. voter_sets() -> VoterSets, or lists
    of voters: one list as a rule, the old and the new while members change. A prepare and a read
    need a quorum; a write is done once it is on a durable quorum.
    With version() -> the number of what voter_sets() gives, ask gets it as a last argument.

    Invariants: round never goes down, and each ballot (round, name) is used for one value only.
    The name must be unique to this process's life: a restarted proposer may reuse a round. The
    voter_sets and version are the same from a ballot's prepare to its write: a promise of voters that
    are no longer so allows no write among those that followed. A key's lock is held by the one
    change of it that is under way from here: two from one place would only outrun each other."""

    def __init__(self, name, voter_sets, ask, rng, nursery, version=None):
        self.name, self.voter_sets, self.ask = name, voter_sets, ask
        self.rng, self.nursery, self.version = rng, nursery, version
        self.round = 0
        self.locks = {}  # key -> trio.Lock
        self.patience = PATIENCE  # twice as long as members lately stood apart before they agreed

    def ballot(self):
        """A new ballot, higher than any seen."""
        self.round += 1
        return self.round, self.name

    def configuration(self):
        """(voter_sets, what ask gets more) of one ballot."""
        more = () if self.version is None else (self.version(),)
        return VoterSets.of(self.voter_sets()), more

    async def broadcast(self, configuration, method, args, deadline, enough):
        """Answers so far, as soon as `enough(answers)` says so, all have answered, or the deadline.
        Slower members are still told: their tasks end by themselves, at the deadline at the latest."""
        voter_sets, more = configuration
        answers, voters, done = {}, sorted(voter_sets.voters), trio.Event()

        async def one(member):
            try:
                answers[member] = await self.ask(member, method, args, deadline, *more)
            except Exception as cause:  # whatever broke, this member gave no answer
                answers[member] = cause
            if enough(answers) or len(answers) == len(voters):
                done.set()

        for member in voters:
            self.nursery.start_soon(one, member)
        with deadline_scope(deadline):
            if voters:
                await done.wait()
        return {m: a for m, a in answers.items() if not isinstance(a, Exception)}

    def voters(self):
        """The voters of all voter sets, in order."""
        return sorted(VoterSets.of(self.voter_sets()).voters)

    def is_quorum(self, members):
        """Whether these members hold a quorum of the present voter sets."""
        return VoterSets.of(self.voter_sets()).is_quorum(members)

    def is_durable(self, members):
        """Whether these members are a durable quorum of the present voter sets."""
        return VoterSets.of(self.voter_sets()).is_durable(members)

    async def change(self, key, make, deadline, enough=VoterSets.is_durable):
        """make(old value) -> new value, or raises to leave all as it is. Gives the new value.
        enough(voter sets, members): do these members' acceptances make the write done? They must
        hold a quorum.

        Raises NoQuorum (surely not done) or OutcomeUnknown (may be done)."""
        lock = self.locks.setdefault(key, trio.Lock())
        with deadline_scope(deadline) as waiting:
            await lock.acquire()
        if waiting.cancelled_caught:
            raise NoQuorum(key)
        try:
            return await self.change_alone(key, make, deadline, enough)
        finally:
            lock.release()

    async def change_alone(self, key, make, deadline, enough):
        """As change, while this process changes the key nowhere else."""
        wrote, wait = False, FIRST_WAIT
        while True:
            begun = monotonic_us()
            tried = await self.attempt(key, make, deadline, enough)
            if tried.done:
                return tried.value
            wrote |= tried.wrote
            wait = min(wait, max(FIRST_WAIT, WAIT_SPANS * (monotonic_us() - begun)))
            left = deadline - monotonic_us() - 50 * MILLISECOND
            if left <= 0:
                raise (OutcomeUnknown if wrote else NoQuorum)(key)
            await sleep_us(
                min(self.jittered(wait if tried.heard else max(wait, 50 * MILLISECOND)), left)
            )
            wait = min(2 * wait, LONGEST_WAIT)

    async def ensure_accepted(self, key, ballot, enough, deadline):
        """See to it that members for which enough(voter sets, members) is true hold the key's
        newest accepted pair, at least that of this ballot. One round if they do already."""
        configuration = self.configuration()

        def held(answers):
            newest, holders = highest(
                {m: a for m, a in answers.items() if not isinstance(a, Exception)}
            )
            return newest >= ballot and enough(configuration[0], holders)

        soon = min(deadline, monotonic_us() + READ_WAIT)
        if not held(await self.broadcast(configuration, "read", [key], soon, held)):
            await self.change(key, lambda old: old, deadline, enough)

    async def attempt(self, key, make, deadline, enough=VoterSets.is_durable):
        """One ballot, both rounds of it."""
        ballot, configuration = self.ballot(), self.configuration()
        voter_sets, wrote, new = configuration[0], False, None

        def promised(answers):
            return settled(answers, voter_sets, VoterSets.is_quorum)

        def written(answers):
            return settled(answers, voter_sets, enough)

        told = await self.broadcast(configuration, "prepare", [key, ballot], deadline, promised)
        if voter_sets.is_quorum(yes_of(told)):
            yes = [told[member] for member in yes_of(told)]
            accepted, value = max(((tuple(a[1]), a[2]) for a in yes), key=lambda p: p[0])
            new, wrote = make(value if accepted != ZERO else None), True
            told = await self.broadcast(
                configuration, "write", [key, ballot, new], deadline, written
            )
            if enough(voter_sets, yes_of(told)):
                return Tried(True, new, True, True)
        self.learn(answer[1] for answer in told.values() if answer[0] == "no")
        return Tried(False, None, wrote, voter_sets.is_quorum(told))

    def learn(self, ballots):
        """Go on above the highest round of these ballots."""
        self.round = max([self.round, *(ballot[0] for ballot in ballots)])

    def jittered(self, wait):
        """A random wait of half to one and a half times the given one."""
        return self.rng.randrange(wait // 2, wait + wait // 2)

    async def read(self, key, deadline):
        """The value that stands. One round if a majority agrees.

        Members that are apart are mostly about to agree: a write is on its way to them, and a
        ballot now would outrun it. So they are asked again, later each time, and what stands is
        written again only if nothing moves among them for longer than a write takes; not while
        a change from here is under way, which does the same. Raises NoQuorum."""
        begun, look = monotonic_us(), FIRST_LOOK
        longest = (deadline - begun) * 2 // 3  # some time must be left for a ballot
        stands, since = None, begun
        patience = self.some_patience(longest)
        while True:
            configuration = self.configuration()
            voter_sets = configuration[0]
            told = await self.broadcast(
                configuration,
                "read",
                [key],
                min(deadline, monotonic_us() + READ_WAIT),
                lambda answers, voter_sets=voter_sets: agreed(answers, voter_sets) is not None,
            )
            same = agreed(told, voter_sets)
            if same is not None:
                if look > FIRST_LOOK:
                    self.bear(2 * (monotonic_us() - begun), self.patience * 4 // 5)
                return same[1]
            self.learn(answer[0] for answer in told.values())
            moved, stands = stands, highest(told)
            if moved != stands or not voter_sets.is_quorum(told):
                since = monotonic_us()
            elif monotonic_us() - since > patience and not self.changing(key):
                tried = await self.attempt(key, lambda old: old, deadline)
                if tried.done:
                    return tried.value
                self.bear(2 * self.patience)
                patience, since = self.some_patience(longest), monotonic_us()
            if deadline <= monotonic_us():
                raise NoQuorum(key)
            await sleep_us(min(self.jittered(look), deadline - monotonic_us()))
            look = min(2 * look, LONGEST_LOOK)

    def bear(self, *spans):
        """Set how long members may stand apart before a read writes, within its bounds."""
        self.patience = min(max(PATIENCE, *spans), MOST_PATIENCE)

    def some_patience(self, longest):
        """A random wait of one to two times the patience, at most the longest."""
        return min(self.rng.randrange(self.patience, 2 * self.patience), longest)

    def changing(self, key):
        """Whether a change of the key is under way from here."""
        return key in self.locks and self.locks[key].locked()


def settled(answers, voter_sets, enough):
    """Agreed, or a quorum answered and one of it knows a higher ballot: who is silent would only
    hold up the next try."""
    heard = {m: a for m, a in answers.items() if not isinstance(a, Exception)}
    return enough(voter_sets, yes_of(answers)) or (
        voter_sets.is_quorum(heard) and any(a[0] == "no" for a in heard.values())
    )


def yes_of(answers):
    """The members that agreed."""
    return [m for m, a in answers.items() if not isinstance(a, Exception) and a[0] == "yes"]


def agreed(answers, voter_sets):
    """The accepted pair that a quorum holds and that is the highest told.

    >>> agreed({"a": ((2, "x"), 7), "b": ((2, "x"), 7), "c": ((1, "y"), 6)}, ["abc"])
    ((2, 'x'), 7)
    >>> agreed({"a": ((2, "x"), 7), "b": ((1, "y"), 6), "c": ((1, "y"), 6)}, ["abc"]) is None
    True
    """
    told = {m: (tuple(a[0]), a[1]) for m, a in answers.items() if not isinstance(a, Exception)}
    if not told:
        return None
    highest = max(ballot for ballot, _ in told.values())
    same = {m: pair for m, pair in told.items() if pair[0] == highest}
    if not VoterSets.of(voter_sets).is_quorum(same):
        return None
    return next(iter(same.values()))


def highest(told):
    """What stands highest of what is told, and who holds it: a write on its way moves it.

    >>> highest({"a": ((2, "x"), 7), "b": ((2, "x"), 7), "c": ((1, "y"), 6)})
    ((2, 'x'), ('a', 'b'))
    """
    ballots = {m: tuple(a[0]) for m, a in told.items()}
    top = max(ballots.values(), default=ZERO)
    return top, tuple(sorted(m for m, ballot in ballots.items() if ballot == top))
