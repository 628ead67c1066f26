"""A network in memory: delay, cuts in one direction or both, resets, processes that vanish."""

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
    """Invariant: cuts holds ordered pairs of hosts; what is sent over a cut pair waits, as TCP
    would keep sending it, and arrives after the cut is healed unless an end is closed."""

    def __init__(self, rng, delay_us=(200, 1500)):
        self.rng, self.delay_us = rng, delay_us
        self.links = {}  # address -> (nursery, handler, net)
        self.apps = {}  # address -> (app, net)
        self.cuts = set()
        self.losing = {}  # address -> share of its answers that are lost after the work
        self.slow = {}  # host -> (least, most) that each message to or from it takes longer
        self.rates = {}  # host -> bytes a second that its link carries, each way; absent: any
        self.busy = {}  # (host, "out" or "in") -> when its link is through with what was sent
        self.received = Counter()  # host -> bytes over links between processes
        self.sendings = []  # (at, "spill" or "endpoint", call's id), as each leaves
        self.healed = trio.Event()
        self.listeners, self.ends = {}, {}  # of wires.py: listening addresses; open ends, in order
        self.tear = 0  # most bytes that a reader of a wire gets at once; 0: all that has come

    def delay(self, *hosts):
        more = sum(self.rng.randrange(*self.slow[h]) for h in hosts if h in self.slow)
        return self.rng.randrange(*self.delay_us) + more

    def transmit(self, sender, receiver, size):
        """How long it takes until the last byte is through both hosts' links, behind what was sent
        over them before."""
        self.received[receiver] += size
        through = monotonic_us()
        for end in ((sender, "out"), (receiver, "in")):
            if end[0] in self.rates:
                through = max(through, self.busy.get(end, 0))
                through += size * SECOND // self.rates[end[0]]
                self.busy[end] = through
        return through - monotonic_us()

    def cut(self, a, b, both=True):
        self.cuts |= {(a, b), *([(b, a)] if both else [])}

    def heal_links(self, pairs):
        self.cuts -= set(pairs)
        self.healed.set()
        self.healed = trio.Event()
        for wire in list(self.ends):
            wire.arrived.set()

    def heal(self):
        self.heal_links(set(self.cuts))

    async def carry(self, a, b):
        """The time on the way from a to b; longer than any cut between them."""
        await sleep_us(self.delay(a, b))
        while (a, b) in self.cuts:
            await self.healed.wait()


class Half(trio.abc.Stream):
    """One end. Invariant: inbox is in order; each item carries its earliest arrival."""

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
        takes = self.web.delay(self.local, self.remote)
        takes += self.web.transmit(self.remote, self.local, len(data))
        self.inbox.append((max(last, monotonic_us() + takes), data))
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
                    # as a socket's buffer: all that has come is read at once, up to an end
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
    """The network seam of one process. Invariant: halves holds its open ends; a killed process's
    ends are all reset, and its listeners are gone."""

    def __init__(self, web, host):
        self.web, self.host = web, host
        self.halves = set()
        self.alive = True
        self.belongs = lambda: None
        self.process_wires = []

    def wires(self, nursery, reactor):
        """Connections of raw bytes, as meadowdock.forwarding.sockets has them."""
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
        found = self.web.links.get(address)
        if found is None or not found[2].alive:
            raise ConnectionRefusedError(address)
        nursery, handler, net = found
        mine, theirs = Half(self.web, self.host, remote), Half(self.web, remote, self.host)
        mine.other, theirs.other = theirs, mine
        self.halves.add(mine)
        net.halves.add(theirs)

        async def answer():
            net.belongs()
            await handler(theirs)

        nursery.start_soon(answer)
        return mine

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
        """Every open connection breaks, at both ends."""
        for half in self.halves:
            half.reset()
            half.other.reset()
        for wires in self.process_wires:
            wires.reset()

    def vanish(self):
        """As a killed process: its ends are reset, its addresses refuse."""
        self.alive = False
        for half in self.halves:
            half.closed = True
            half.other.reset()
        for wires in self.process_wires:
            wires.vanish()
        for table in (self.web.links, self.web.apps):
            for address in [a for a, found in table.items() if found[-1] is self]:
                del table[address]


class SimHttp:
    """One connection, at the level of requests: the other side's app is called in a task of its
    own, since a caller that hangs up does not stop what the other side does."""

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
        hung, done = trio.Event(), trio.Event()
        events = deque([{"type": "http.request", "body": body, "more_body": False}])
        sent_events = []

        async def receive():
            if events:
                return events.popleft()
            await hung.wait()
            return {"type": "http.disconnect"}

        async def send(event):
            sent_events.append(event)

        async def serve():
            net.belongs()  # this task is of the other process
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
            hung.set()
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
