"""The asking side: changes and reads over a majority of members."""

from __future__ import annotations

import trio

from mdregister.keeper import ZERO
from mdseam import MILLI, now, rest, until

READ_WAIT = 100 * MILLI


class NoMajority(Exception):
    """Nothing of the change was written anywhere: it did not and will not take place."""


class Unclear(Exception):
    """Some members may have written the change: it may take place, or may have."""


class Proposer:
    """ask(member, method, args, due) -> answer, or raises. groups() -> lists of voters; a quorum
    holds a majority of each list: one list as a rule, the old and the new while members change.
    With version() -> the number of what groups() gives, ask gets it as a last argument.

    Invariants: round never goes down, and each ballot (round, name) is used for one value only.
    The name must be unique to this process's life: a restarted proposer may reuse a round. The
    groups and version are the same from a ballot's prepare to its write: a promise of voters that
    are no longer so allows no write among those that followed."""

    def __init__(self, name, groups, ask, rng, nursery, version=None):
        self.name, self.groups, self.ask = name, groups, ask
        self.rng, self.nursery, self.version = rng, nursery, version
        self.round = 0

    def ballot(self):
        self.round += 1
        return self.round, self.name

    def terms(self):
        """(groups, what ask gets more) of one ballot."""
        return self.groups(), () if self.version is None else (self.version(),)

    async def gather(self, terms, method, args, due, enough):
        """Answers so far, as soon as `enough(answers)` says so, all have answered, or the due.
        Slower members are still told: their tasks end by themselves, at the due at the latest."""
        groups, more = terms
        answers, voters, done = {}, sorted({m for group in groups for m in group}), trio.Event()

        async def one(member):
            try:
                answers[member] = await self.ask(member, method, args, due, *more)
            except Exception as cause:  # whatever broke, this member gave no answer
                answers[member] = cause
            if enough(answers) or len(answers) == len(voters):
                done.set()

        for member in voters:
            self.nursery.start_soon(one, member)
        with until(due):
            if voters:
                await done.wait()
        return {m: a for m, a in answers.items() if not isinstance(a, Exception)}

    def voters(self):
        return sorted({member for group in self.groups() for member in group})

    def quorum(self, members):
        return holds_majorities(self.groups(), members)

    async def change(self, key, make, due):
        """make(old value) -> new value, or raises to leave all as it is. Gives the new value.

        Raises NoMajority (surely not done) or Unclear (may be done)."""
        wrote = False
        while True:
            ballot, terms = self.ballot(), self.terms()
            groups = terms[0]

            def enough(answers, groups=groups):
                return settled(answers, groups)

            told = await self.gather(terms, "prepare", [key, ballot], due, enough)
            if holds_majorities(groups, yes_of(told)):
                yes = [told[member] for member in yes_of(told)]
                accepted, value = max(((tuple(a[1]), a[2]) for a in yes), key=lambda p: p[0])
                new = make(value if accepted != ZERO else None)
                wrote = True
                told = await self.gather(terms, "write", [key, ballot, new], due, enough)
                if holds_majorities(groups, yes_of(told)):
                    return new
            self.learn(told)
            if now() >= due or not holds_majorities(groups, told):
                if now() + 50 * MILLI >= due:
                    raise (Unclear if wrote else NoMajority)(key)
                await rest(50 * MILLI)
            await rest(self.rng.randrange(1, 20) * MILLI)

    def learn(self, told):
        self.round = max(
            [self.round, *(answer[1][0] for answer in told.values() if answer[0] == "no")]
        )

    async def read(self, key, due):
        """The value that stands. One round if a majority agrees, else it is written again."""
        soon, terms = min(due, now() + READ_WAIT), self.terms()
        told = await self.gather(
            terms, "read", [key], soon, lambda a: agreed(a, terms[0]) is not None
        )
        same = agreed(told, terms[0])
        if same is not None:
            return same[1]
        return await self.change(key, lambda old: old, due)


def holds_majorities(groups, members):
    """
    >>> holds_majorities([["a", "b", "c"], ["b", "c", "d"]], ["a", "b"])
    False
    >>> holds_majorities([["a", "b", "c"], ["b", "c", "d"]], ["b", "c"])
    True
    >>> holds_majorities([], ["a"])
    False
    """
    held = set(members)
    return bool(groups) and all(len(held & set(group)) > len(group) // 2 for group in groups)


def settled(answers, groups):
    """Agreed, or a quorum answered and one of it knows a higher ballot: who is silent would only
    hold up the next try."""
    heard = {m: a for m, a in answers.items() if not isinstance(a, Exception)}
    return holds_majorities(groups, yes_of(answers)) or (
        holds_majorities(groups, heard) and any(a[0] == "no" for a in heard.values())
    )


def yes_of(answers):
    return [m for m, a in answers.items() if not isinstance(a, Exception) and a[0] == "yes"]


def agreed(answers, groups):
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
    return next(iter(same.values())) if holds_majorities(groups, same) else None
