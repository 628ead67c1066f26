"""An in-memory network with delays, one-way or two-way partitions, resets and killed processes."""

from __future__ import annotations

from collections import Counter, deque

import trio

from meadowdock.runtime import (
    SECOND,
    Address,
    HttpConnectionFailed,
    deadline_scope,
    monotonic_us,
    sleep_us,
)
from meadowdock.simulator.wires import SimWires


class Web:
    """The network that all processes share: listeners, delays, partitions and link rates.

    Invariant: cuts holds ordered pairs (sender, receiver) of hosts. Data sent over a cut pair waits,
    as TCP would retransmit it, and arrives after the cut is healed unless one end is closed.
    """

    def __init__(self, rng, delay_us=(200, 1500)):
        self.rng, self.delay_us = rng, delay_us
        self.links = {}  # address -> (nursery, handler, net)
        self.apps = {}  # address -> (app, net)
        self.cuts = set()
        self.losing = {}  # address -> share of its responses that are lost after the work is done
        self.slow = {}  # host -> (min, max) extra us for each message to or from it
        self.rates = {}  # host -> bandwidth in bytes/s, each way; absent: unlimited
        self.busy = {}  # (host, "out" or "in") -> when its link has transmitted all queued bytes
        self.received = Counter()  # host -> bytes over links between processes
        self.sendings = []  # (time, "spill" or "endpoint", call's id) of each call sent
        self.healed = trio.Event()
        self.listeners, self.ends = {}, {}  # of wires.py: listening addresses; open ends, in order
        self.tear = 0  # max bytes that a reader of a wire gets at once; 0: no limit

    def delay(self, *hosts):
        extra = sum(self.rng.randrange(*self.slow[h]) for h in hosts if h in self.slow)
        return self.rng.randrange(*self.delay_us) + extra

    def transmit(self, sender, receiver, size):
        """Queue bytes on both hosts' links; return the time in us until the last one is through."""
        self.received[receiver] += size
        finished_at = monotonic_us()
        for link in ((sender, "out"), (receiver, "in")):
            if link[0] in self.rates:
                finished_at = max(finished_at, self.busy.get(link, 0))
                finished_at += size * SECOND // self.rates[link[0]]
                self.busy[link] = finished_at
        return finished_at - monotonic_us()

    def cut(self, a, b, both=True):
        """Cut the way from a to b, and back too if `both`."""
        self.cuts |= {(a, b), *([(b, a)] if both else [])}

    def heal_links(self, pairs):
        """End the cuts of these pairs; what waited for them is delivered."""
        self.cuts -= set(pairs)
        self.healed.set()
        self.healed = trio.Event()
        for wire in list(self.ends):
            wire.arrived.set()

    def heal(self):
        self.heal_links(set(self.cuts))

    async def carry(self, a, b):
        """Wait for the delay from a to b, and until no cut separates them."""
        await sleep_us(self.delay(a, b))
        while (a, b) in self.cuts:
            await self.healed.wait()


class StreamEnd(trio.abc.Stream):
    """One end of an in-memory stream.

    Invariant: inbox is in order; each entry carries the time before which it must not be read.
    """

    def __init__(self, web, local, remote):
        self.web, self.local, self.remote = web, local, remote
        self.inbox, self.arrived = deque(), trio.Event()
        self.other = None
        self.closed = self.broken = False

    async def send_all(self, data):
        await trio.lowlevel.checkpoint_if_cancelled()
        if self.closed:
            raise trio.ClosedResourceError
        if self.broken or self.other.closed:
            raise trio.BrokenResourceError
        self.other.arrive(bytes(data))

    def arrive(self, data):
        last = self.inbox[-1][0] if self.inbox else 0
        delay_us = self.web.delay(self.local, self.remote)
        delay_us += self.web.transmit(self.remote, self.local, len(data))
        self.inbox.append((max(last, monotonic_us() + delay_us), data))
        self.arrived.set()

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint_if_cancelled()
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            if self.broken:
                raise trio.BrokenResourceError
            if self.inbox:
                at, data = self.inbox[0]
                if (self.remote, self.local) in self.web.cuts:
                    await self.wait(self.web.healed)
                elif monotonic_us() < at:
                    with deadline_scope(at):
                        await self.arrival_or_forever()
                else:
                    self.inbox.popleft()
                    # like a socket buffer: one read returns everything received, up to the end
                    while (
                        data
                        and self.inbox
                        and self.inbox[0][0] <= monotonic_us()
                        and self.inbox[0][1]
                    ):
                        data += self.inbox.popleft()[1]
                    return data
            else:
                await self.wait(self.arrived)

    async def wait(self, event):
        await event.wait()
        if event is self.arrived:
            self.arrived = trio.Event()

    async def arrival_or_forever(self):
        await trio.sleep_forever()

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        if not self.closed:
            self.closed = True
            self.arrived.set()
            if not self.other.closed:
                self.other.arrive(b"")
        await trio.lowlevel.checkpoint()

    def reset(self):
        self.broken = True
        self.arrived.set()


class SimNet:
    """The network interface of one process.

    Invariant: halves holds the process's stream ends; when the process is killed they are all
    reset and its listeners are removed.
    """

    def __init__(self, web, host):
        self.web, self.host = web, host
        self.halves = set()
        self.alive = True
        self.set_task_owner = lambda: None
        self.process_wires = []

    def wires(self, nursery, reactor):
        """Create the raw-byte connections that meadowdock.forwarding.sockets provides on a machine."""
        self.process_wires.append(SimWires(self, nursery, reactor))
        return self.process_wires[-1]

    async def serve_streams(self, address, handler, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            self.web.links[address] = (nursery, handler, self)
            task_status.started()
            await trio.sleep_forever()

    async def open_stream(self, address):
        remote = Address(address).host
        await self.web.carry(self.host, remote)
        await self.web.carry(remote, self.host)
        listener = self.web.links.get(address)
        if listener is None or not listener[2].alive:
            raise ConnectionRefusedError(address)
        nursery, handler, net = listener
        near, far = StreamEnd(self.web, self.host, remote), StreamEnd(self.web, remote, self.host)
        near.other, far.other = far, near
        self.halves.add(near)
        net.halves.add(far)

        async def serve():
            net.set_task_owner()
            await handler(far)

        nursery.start_soon(serve)
        return near

    async def serve_http(
        self, app, address, stopping, grace_us, task_status=trio.TASK_STATUS_IGNORED
    ):
        self.web.apps[address] = (app, self)
        task_status.started()
        await stopping.wait()
        if self.web.apps.get(address, (None, None))[1] is self:
            del self.web.apps[address]
        with deadline_scope(monotonic_us() + grace_us):
            await app.wait_idle()

    def http_connection(self, address, max_response_size=4 << 20):
        return SimHttp(self, Address(address))

    def reset(self):
        """Break every open connection at both ends."""
        for half in self.halves:
            half.reset()
            half.other.reset()
        for wires in self.process_wires:
            wires.reset()

    def vanish(self):
        """Disappear as a killed process does: connections are reset, addresses refuse."""
        self.alive = False
        for half in self.halves:
            half.closed = True
            half.other.reset()
        for wires in self.process_wires:
            wires.vanish()
        for table in (self.web.links, self.web.apps):
            for address in [a for a, entry in table.items() if entry[-1] is self]:
                del table[address]


class SimHttp:
    """One HTTP connection at the level of requests.

    The server's app runs in a task of its own, because a client that disconnects does not stop the
    work on the server.
    """

    def __init__(self, net, address):
        self.net, self.address = net, address
        self.app = None
        self.closed = False

    def is_stale(self):
        return self.closed or (self.app is not None and not self.app[1].alive)

    async def request(self, method, target, headers, body, started=None):
        web, local, remote = self.net.web, self.net.host, self.address.host
        sent = False
        complete = False
        try:
            if self.app is None:
                await web.carry(local, remote)
                await web.carry(remote, local)
                self.app = web.apps.get(self.address)
                if self.app is None or not self.app[1].alive:
                    raise HttpConnectionFailed(False, "refused")
            app, net = self.app
            if not net.alive:
                raise HttpConnectionFailed(False, "reset")
            sent = True
            call = next((v for n, v in headers if n == b"md-call"), None)
            if call is not None:
                web.sendings.append((monotonic_us(), "endpoint", call.decode()))
            if started:
                started()
            answer = await self.exchange(app, net, method, target, headers, body)
            await web.carry(remote, local)
            if answer is None or not self.net.alive:
                raise HttpConnectionFailed(sent, "connection lost")
            complete = True
            return answer
        finally:
            if not complete:
                self.closed = True

    async def exchange(self, app, net, method, target, headers, body):
        web, local, remote = self.net.web, self.net.host, self.address.host
        path, _, query = target.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": [(n.lower(), v) for n, v in headers]
            + [(b"content-length", str(len(body)).encode())],
            "client": (local, 1),
        }
        disconnected, done = trio.Event(), trio.Event()
        events = deque([{"type": "http.request", "body": body, "more_body": False}])
        sent_events = []

        async def receive():
            if events:
                return events.popleft()
            await disconnected.wait()
            return {"type": "http.disconnect"}

        async def send(event):
            sent_events.append(event)

        async def serve():
            net.set_task_owner()  # this task belongs to the server's process
            try:
                await web.carry(local, remote)
                if net.alive:
                    await app(scope, receive, send)
            except Exception:
                sent_events.clear()
            finally:
                done.set()

        net.home.start_soon(serve)
        try:
            await done.wait()
        finally:
            disconnected.set()
        if web.rng.random() < web.losing.get(self.address, 0):
            return None
        if not net.alive or not sent_events or sent_events[-1].get("more_body"):
            return None
        start = sent_events[0]
        return (
            start["status"],
            start["headers"],
            b"".join(e.get("body", b"") for e in sent_events[1:]),
        )

    async def close(self):
        self.closed = True
        await trio.lowlevel.checkpoint()
