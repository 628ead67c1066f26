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
    """ask(member, method, args) -> answer, or raises. groups() -> lists of voters; a quorum holds
    a majority of each list: one list as a rule, the old and the new while members change.

    Invariant: round never goes down, and each ballot (round, name) is used for one value only.
    The name must be unique to this process's life: a restarted proposer may reuse a round."""

    def __init__(self, name, groups, ask, rng, nursery):
        self.name, self.groups, self.ask = name, groups, ask
        self.rng, self.nursery = rng, nursery
        self.round = 0

    def ballot(self):
        self.round += 1
        return self.round, self.name

    async def gather(self, method, args, due, enough):
        """Answers so far, as soon as `enough(answers)` says so, all have answered, or the due.
        Slower members are still told: their tasks end by themselves, at the due at the latest."""
        answers, voters, done = {}, self.voters(), trio.Event()

        async def one(member):
            try:
                answers[member] = await self.ask(member, method, args, due)
            except Exception as cause:  # whatever broke, this member gave no answer
                answers[member] = cause
            if enough(answers) or len(answers) == len(voters):
                done.set()

        for member in voters:
            self.nursery.start_soon(one, member)
        with until(due):
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
            ballot = self.ballot()
            told = await self.gather("prepare", [key, ballot], due, self.settled)
            if self.agree(told):
                yes = [told[member] for member in yes_of(told)]
                accepted, value = max(((tuple(a[1]), a[2]) for a in yes), key=lambda p: p[0])
                new = make(value if accepted != ZERO else None)
                wrote = True
                told = await self.gather("write", [key, ballot, new], due, self.settled)
                if self.agree(told):
                    return new
            self.learn(told)
            if now() >= due or not self.quorum(told):
                if now() + 50 * MILLI >= due:
                    raise (Unclear if wrote else NoMajority)(key)
                await rest(50 * MILLI)
            await rest(self.rng.randrange(1, 20) * MILLI)

    def agree(self, answers):
        return self.quorum(yes_of(answers))

    def settled(self, answers):
        """Agreed, or a quorum answered and one of it knows a higher ballot: who is silent would
        only hold up the next try."""
        heard = {m: a for m, a in answers.items() if not isinstance(a, Exception)}
        return self.agree(answers) or (
            self.quorum(heard) and any(a[0] == "no" for a in heard.values())
        )

    def learn(self, told):
        self.round = max(
            [self.round, *(answer[1][0] for answer in told.values() if answer[0] == "no")]
        )

    async def read(self, key, due):
        """The value that stands. One round if a majority agrees, else it is written again."""
        soon = min(due, now() + READ_WAIT)
        told = await self.gather(
            "read", [key], soon, lambda a: agreed(a, self.groups()) is not None
        )
        same = agreed(told, self.groups())
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
