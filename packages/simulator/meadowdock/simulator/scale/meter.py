"""Counting of frames and bytes on the links between nodes."""

from __future__ import annotations

from collections import Counter

import trio

from meadowdock.rpc.frame import LENGTH_SIZE, TAG_SIZE
from meadowdock.rpc.messages import REQUEST, unpack
from meadowdock.runtime import SECOND, monotonic_us

GREETING = "greeting"
ANY_METHOD = "any"  # of bytes whose frames weren't opened
GROUPS = {
    "reg.beat": "beats",
    "load.ask": "lists",
    "load.list": "lists",
    "view.shuffle": "view",
    "manifest.head": "head",
    "manifest.stage": "delivery",
    "manifest.switch": "delivery",
    "reg.roster": "roster",
    GREETING: GREETING,
}


def group_of(method: str) -> str:
    """The mechanism that a wire method belongs to."""
    return GROUPS.get(method, "register")


class Meter:
    """Invariant: frames and bytes of each (node, method, direction) are only ever added to; a
    frame is counted once it is complete."""

    def __init__(self):
        self.frames, self.bytes = Counter(), Counter()
        self.by_second = Counter()  # (node, second) -> bytes

    def note(self, node, method, direction, size):
        """Count one frame."""
        self.frames[node, method, direction] += 1
        self.bytes[node, method, direction] += size
        self.by_second[node, monotonic_us() // SECOND] += size

    def taken(self):
        """Copies of the counts of frames and of bytes so far."""
        return Counter(self.frames), Counter(self.bytes)

    def since(self, before):
        """The counts of frames and of bytes beyond those taken before."""
        return [after - start for after, start in zip(self.taken(), before, strict=True)]


class Metered(trio.abc.Stream):
    """A link's stream. Invariants: methods maps the ids of calls that were seen to their methods;
    the first frames of a direction are the greeting's: two of the opener, one of the answerer."""

    def __init__(self, stream, meter, node, opener):
        self.stream, self.meter, self.node = stream, meter, node
        self.unread = {"sent": bytearray(), "received": bytearray()}
        self.greeting = {"sent": 2 if opener else 1, "received": 1 if opener else 2}
        self.methods = {}

    def count(self, direction, data):
        """Count the frames that data completes."""
        unread = self.unread[direction]
        unread += data
        while len(unread) >= LENGTH_SIZE:
            size = LENGTH_SIZE + TAG_SIZE + int.from_bytes(unread[:LENGTH_SIZE], "big")
            if len(unread) < size:
                return
            method = self.method(direction, bytes(unread[LENGTH_SIZE + TAG_SIZE : size]))
            del unread[:size]
            self.meter.note(self.node, method, direction, size)

    def method(self, direction, body):
        """The method that a frame asks for or answers."""
        if self.greeting[direction]:
            self.greeting[direction] -= 1
            return GREETING
        kind, id, *arguments = unpack(body)
        if kind == REQUEST:
            self.methods[tuple(id)] = arguments[0]
        return self.methods.get(tuple(id), GREETING)

    async def send_all(self, data):
        self.count("sent", data)
        await self.stream.send_all(data)

    async def receive_some(self, max_bytes=None):
        data = await self.stream.receive_some(max_bytes)
        self.count("received", data)
        return data

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self):
        await self.stream.aclose()


class Unread(Metered):
    """Only bytes are counted; frames aren't opened, so that their cost isn't measured."""

    def count(self, direction, data):
        self.meter.bytes[self.node, ANY_METHOD, direction] += len(data)


def metered(net_class, stream_class):
    """The class of a net whose links are counted."""

    class Counted(net_class):
        meter = node = None

        async def open_stream(self, address):
            return stream_class(await super().open_stream(address), self.meter, self.node, True)

        async def serve_streams(self, address, handler, task_status=trio.TASK_STATUS_IGNORED):
            async def counted(stream):
                await handler(stream_class(stream, self.meter, self.node, False))

            await super().serve_streams(address, counted, task_status=task_status)

    return Counted
