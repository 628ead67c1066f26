"""Three acceptors on disks in memory, with faults between them and the proposers."""

from __future__ import annotations

from meadowdock.consensus import Acceptor, Proposer
from meadowdock.runtime import MemoryDisk, monotonic_us, sleep_us


async def answer_of(acceptor, method, args):
    """The answer of an acceptor to a request, as its process gives it."""
    if method == "read":
        return acceptor.read(*args)
    return await getattr(acceptor, method)(args[0], tuple(args[1]), *args[2:])


class ThreeAcceptors:
    """Three acceptors over memory disks. down: members that don't answer. answer_loss: the chance
    that an answer is lost."""

    def __init__(self, nursery, rng):
        self.nursery, self.rng = nursery, rng
        self.acceptors = {m: Acceptor(MemoryDisk(), lambda *_, **__: None) for m in "xyz"}
        self.down = set()
        self.answer_loss = 0.0

    def proposer(self, name):
        return Proposer(
            name, lambda: [list(self.acceptors)], self.send_request, self.rng, self.nursery
        )

    async def send_request(self, member, method, args, deadline):
        await sleep_us(self.rng.randrange(100, 3000))
        if member in self.down:
            await sleep_us(deadline - monotonic_us())
            raise TimeoutError
        answer = await answer_of(self.acceptors[member], method, args)
        if self.rng.random() < self.answer_loss:
            raise TimeoutError
        await sleep_us(self.rng.randrange(100, 3000))
        return answer
