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
    """ask(member, method, args) -> answer, or raises; members() -> the voters' names.

    Invariant: round never goes down, and each ballot (round, name) is used for one value only.
    The name must be unique to this process's life: a restarted proposer may reuse a round."""

    def __init__(self, name, members, ask, rng, nursery):
        self.name, self.members, self.ask = name, members, ask
        self.rng, self.nursery = rng, nursery
        self.round = 0

    def ballot(self):
        self.round += 1
        return self.round, self.name

    async def gather(self, method, args, due, enough):
        """Answers so far, as soon as `enough(answers)` says so, all have answered, or the due.
        Slower members are still told: their tasks end by themselves, at the due at the latest."""
        answers, voters, done = {}, list(self.members()), trio.Event()

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

    def majority(self):
        return len(self.members()) // 2 + 1

    async def change(self, key, make, due):
        """make(old value) -> new value, or raises to leave all as it is. Gives the new value.

        Raises NoMajority (surely not done) or Unclear (may be done)."""
        wrote = False
        while True:
            ballot = self.ballot()
            need = self.majority()
            told = await self.gather("prepare", [key, ballot], due, lambda a: count_yes(a) >= need)
            yes = [answer for answer in told.values() if answer[0] == "yes"]
            if len(yes) >= need:
                accepted, value = max(((tuple(a[1]), a[2]) for a in yes), key=lambda p: p[0])
                new = make(value if accepted != ZERO else None)
                wrote = True
                told = await self.gather(
                    "write", [key, ballot, new], due, lambda a: count_yes(a) >= need
                )
                if count_yes(told) >= need:
                    return new
            self.learn(told)
            if now() >= due or len(told) < need:
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
        need = self.majority()
        soon = min(due, now() + READ_WAIT)
        told = await self.gather("read", [key], soon, lambda a: agreed(a, need) is not None)
        same = agreed(told, need)
        if same is not None:
            return same[1]
        return await self.change(key, lambda old: old, due)


def count_yes(answers):
    return sum(1 for a in answers.values() if not isinstance(a, Exception) and a[0] == "yes")


def agreed(answers, need):
    """The accepted pair that a majority holds and that is the highest told.

    >>> agreed({"a": ((2, "x"), 7), "b": ((2, "x"), 7), "c": ((1, "y"), 6)}, 2)
    ((2, 'x'), 7)
    >>> agreed({"a": ((2, "x"), 7), "b": ((1, "y"), 6), "c": ((1, "y"), 6)}, 2) is None
    True
    """
    told = [(tuple(a[0]), a[1]) for a in answers.values() if not isinstance(a, Exception)]
    if len(told) < need:
        return None
    highest = max(ballot for ballot, _ in told)
    same = [pair for pair in told if pair[0] == highest]
    return same[0] if len(same) >= need else None
