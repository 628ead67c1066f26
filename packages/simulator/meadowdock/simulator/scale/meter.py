"""Counting of frames and bytes on the links between nodes."""

from __future__ import annotations

from collections import Counter

import trio

from meadowdock.rpc.frame import LENGTH_SIZE, TAG_SIZE
from meadowdock.rpc.messages import REQUEST, unpack
from meadowdock.runtime import SECOND, monotonic_us

GREETING = "greeting"
ANY_METHOD = "any"  # for bytes whose frames were not decoded
MECHANISMS = {
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


def mechanism_of(method: str) -> str:
    """Return the mechanism that a wire method belongs to."""
    return MECHANISMS.get(method, "register")


class Meter:
    """Counters of frames and bytes.

    Invariant: the counts of each (node, method, direction) only grow; a frame is counted once it is
    complete.
    """

    def __init__(self):
        self.frames, self.bytes = Counter(), Counter()
        self.by_second = Counter()  # (node, second) -> bytes

    def record(self, node, method, direction, size):
        """Count one frame."""
        self.frames[node, method, direction] += 1
        self.bytes[node, method, direction] += size
        self.by_second[node, monotonic_us() // SECOND] += size

    def snapshot(self):
        """Return copies of the counts of frames and of bytes."""
        return Counter(self.frames), Counter(self.bytes)

    def since(self, before):
        """Return the counts of frames and of bytes since an earlier snapshot."""
        return [after - start for after, start in zip(self.snapshot(), before, strict=True)]


class MeteredStream(trio.abc.Stream):
    """A link's stream that counts its frames.

    Invariants: methods maps the ids of the calls seen to their methods; the first frames of a
    direction belong to the handshake, two from the opener and one from the other side.
    """

    def __init__(self, stream, meter, node, opener):
        self.stream, self.meter, self.node = stream, meter, node
        self.unread = {"sent": bytearray(), "received": bytearray()}
        self.greeting = {"sent": 2 if opener else 1, "received": 1 if opener else 2}
        self.methods = {}

    def count(self, direction, data):
        """Count the frames that the data completes."""
        unread = self.unread[direction]
        unread += data
        while len(unread) >= LENGTH_SIZE:
            size = LENGTH_SIZE + TAG_SIZE + int.from_bytes(unread[:LENGTH_SIZE], "big")
            if len(unread) < size:
                return
            method = self.method(direction, bytes(unread[LENGTH_SIZE + TAG_SIZE : size]))
            del unread[:size]
            self.meter.record(self.node, method, direction, size)

    def method(self, direction, body):
        """Return the method that a frame requests or answers."""
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


class ByteMeteredStream(MeteredStream):
    """A link's stream that counts bytes only.

    Frames are not decoded, so that the cost of decoding is not measured.
    """

    def count(self, direction, data):
        self.meter.bytes[self.node, ANY_METHOD, direction] += len(data)


def metered_net(net_class, stream_class):
    """Return a subclass of a network class whose streams are counted."""

    class MeteredNet(net_class):
        meter = node = None

        async def open_stream(self, address):
            return stream_class(await super().open_stream(address), self.meter, self.node, True)

        async def serve_streams(self, address, handler, task_status=trio.TASK_STATUS_IGNORED):
            async def count_frames(stream):
                await handler(stream_class(stream, self.meter, self.node, False))

            await super().serve_streams(address, count_frames, task_status=task_status)

    return MeteredNet
