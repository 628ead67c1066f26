"""Three acceptors on in-memory disks, with message loss between them and the proposers."""

from __future__ import annotations

from meadowdock.consensus import Acceptor, Proposer
from meadowdock.runtime import MemoryDisk, monotonic_us, sleep_us


async def handle_request(acceptor, method, args):
    """Return the response of an acceptor to a request, as its process does."""
    if method == "read":
        return acceptor.read(*args)
    return await getattr(acceptor, method)(args[0], tuple(args[1]), *args[2:])


class ThreeAcceptors:
    """Three acceptors on in-memory disks.

    down holds the members that don't respond; answer_loss is the probability that a response is
    lost.
    """

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
        response = await handle_request(self.acceptors[member], method, args)
        if self.rng.random() < self.answer_loss:
            raise TimeoutError
        await sleep_us(self.rng.randrange(100, 3000))
        return response
