"""Three acceptors on simulated disks, with a proposer beside them."""

from __future__ import annotations

from meadowdock.consensus import Acceptor, Proposer
from meadowdock.runtime import MemoryDisk, monotonic_us, sleep_us


class Trio:
    """Three acceptors over memory disks, with faults between them and the proposers."""

    def __init__(self, nursery, rng):
        self.nursery, self.rng = nursery, rng
        self.acceptors = {m: Acceptor(MemoryDisk(), lambda *_, **__: None) for m in "xyz"}
        self.down = set()
        self.lose_answers = 0.0

    def proposer(self, name):
        return Proposer(name, lambda: [list(self.acceptors)], self.ask, self.rng, self.nursery)

    async def ask(self, member, method, args, due):
        await sleep_us(self.rng.randrange(100, 3000))
        if member in self.down:
            await sleep_us(due - monotonic_us())
            raise TimeoutError
        acceptor = self.acceptors[member]
        if method == "read":
            answer = acceptor.read(*args)
        else:
            answer = await getattr(acceptor, method)(args[0], tuple(args[1]), *args[2:])
        if self.rng.random() < self.lose_answers:
            raise TimeoutError
        await sleep_us(self.rng.randrange(100, 3000))
        return answer
