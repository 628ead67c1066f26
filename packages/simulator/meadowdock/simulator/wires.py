"""meadowdock.forwarding.sockets in memory: connections of raw bytes over the simulated web."""

from __future__ import annotations

import errno
from collections import deque

import trio

from meadowdock.forwarding.sockets import LINGER_US, READ_SIZE
from meadowdock.runtime import Address, deadline_scope, monotonic_us

WINDOW = 262_144  # bytes on the way or unread at the other end; more is held by the sender
END, RESET = b"", None


def reset_error():
    return ConnectionResetError(errno.ECONNRESET, "ECONNRESET")


class SimWire:
    """One end, with meadowdock.forwarding.sockets.SocketConnection's interface. Invariants: inbox is in order, each entry with
    its earliest arrival (bytes, END or RESET); unread is the size of its bytes; on_end is called
    once, and not after close()."""

    def __init__(self, wires, peer):
        self.wires, self.peer = wires, peer
        self.web, self.here = wires.web, wires.host
        self.owner = self.other = None
        self.unsent, self.unsent_size = [], 0
        self.writing = self.closed = self.finishing = self.broken = False
        self.ended = False  # END or RESET was sent
        self.read_paused = None
        self.blocked_since = 0
        self.inbox, self.unread = deque(), 0
        self.arrived, self.room = trio.Event(), trio.Event()

    # ------------------------------------------------------------ out

    def send(self, data):
        if self.closed or self.finishing or not data:
            return
        if not self.unsent:
            data = data[self.put(data) :]
            if not data:
                return
        self.unsent.append(data)
        self.unsent_size += len(data)
        if not self.writing:
            self.writing = True
            self.blocked_since = monotonic_us()
            self.wires.nursery.start_soon(self.drain)

    def put(self, data):
        """What the other end's kernel takes of it; gives how many bytes that is."""
        other = self.other
        if self.broken:
            return len(data)  # the reading task meets the same end
        if other.closed:
            self.arrive(RESET, self.web.delay(self.here, self.peer))
            return len(data)
        size = min(len(data), WINDOW - other.unread)
        if size > 0:
            other.arrive(data[:size])
        return max(size, 0)

    async def drain(self):
        while self.unsent and not self.closed:
            data = b"".join(self.unsent)
            sent = self.put(data)
            if sent:
                self.blocked_since = monotonic_us()
                self.unsent = [data[sent:]] if sent < len(data) else []
                self.unsent_size = len(data) - sent
            else:
                self.room = trio.Event()
                await self.room.wait()
        self.writing = False
        if not self.closed:
            self.blocked_since = 0
            if self.finishing:
                self.half_close()

    def pause(self):
        if self.read_paused is None:
            self.read_paused = trio.Event()

    def resume(self):
        if self.read_paused is not None:
            self.read_paused.set()
            self.read_paused = None

    def finish(self):
        if not self.finishing and not self.closed:
            self.finishing = True
            self.resume()
            if not self.unsent:
                self.half_close()

    def half_close(self):
        self.tell_end(END)
        self.wires.reactor.call_at(monotonic_us() + LINGER_US, self.close)

    def tell_end(self, how):
        if not self.other.closed and (not self.ended or how is RESET):
            self.other.arrive(how)
        self.ended = True

    def close(self):
        """As a socket's close: a reset, if bytes lie unread."""
        if not self.closed:
            self.end_with(RESET if self.unread or self.unsent else END)

    def abort(self):
        """A reset in order behind what was sent."""
        if not self.closed:
            self.end_with(RESET)

    def end_with(self, how):
        self.closed = True
        self.unsent, self.unsent_size = [], 0
        self.resume()
        self.tell_end(how)
        self.arrived.set()
        self.room.set()
        self.other.room.set()
        self.wires.open.pop(self, None)
        self.web.ends.pop(self, None)

    def break_now(self):
        """The connection is reset under both ends; what was on the way is lost."""
        self.broken = True
        self.arrived.set()
        self.room.set()

    # ------------------------------------------------------------ in

    def arrive(self, data, more_us=0):
        if self.closed:
            return
        last = self.inbox[-1][0] if self.inbox else 0
        at = max(last, monotonic_us() + more_us + self.web.delay(self.peer, self.here))
        self.inbox.append((at, data))
        self.unread += len(data or b"")
        self.arrived.set()

    async def next_data(self):
        """Bytes, END or RESET, as soon as some may be read."""
        web = self.web
        while not self.closed:
            if self.broken:
                return RESET
            at = self.inbox[0][0] if self.inbox else 1 << 61
            if at <= monotonic_us() and (self.peer, self.here) not in web.cuts:
                if self.read_paused is not None:
                    await self.read_paused.wait()
                    continue
                return self.take()
            with deadline_scope(at if at > monotonic_us() else 1 << 61):
                await self.arrived.wait()
            self.arrived = trio.Event()
        return END

    def take(self):
        """All that has come, as a socket's buffer; torn where the web tears."""
        web, inbox = self.web, self.inbox
        _, data = inbox.popleft()
        if not data:
            return data
        while inbox and inbox[0][0] <= monotonic_us() and inbox[0][1] and len(data) < READ_SIZE:
            data += inbox.popleft()[1]
        if web.tear and len(data) > 1:
            size = web.rng.randrange(1, min(len(data), web.tear) + 1)
            if size < len(data):
                inbox.appendleft((monotonic_us(), data[size:]))
                data = data[:size]
        self.unread -= len(data)
        self.other.room.set()
        return data

    async def read(self):
        while True:
            await trio.lowlevel.checkpoint()
            data = await self.next_data()
            if self.closed:
                return
            if not data:
                break
            if not self.finishing:
                self.owner.on_data(data)
                self.wires.reactor.end_turn()
        self.broken = self.broken or data is RESET
        self.close()
        self.owner.on_end("closed by the peer" if data is END else reset_error())
        self.wires.reactor.end_turn()


class Listener:
    """A listening address. Invariant: backlog holds ends that its process has not accepted yet."""

    def __init__(self, wires):
        self.wires = wires
        self.backlog, self.arrived = deque(), trio.Event()


class SimWires:
    """The traffic of one process, with meadowdock.forwarding.sockets.SocketNetwork's interface."""

    def __init__(self, net, nursery, reactor):
        self.net, self.web, self.host = net, net.web, net.host
        self.nursery, self.reactor = nursery, reactor
        self.open = {}  # as an ordered set

    def adopt(self, peer):
        wire = SimWire(self, peer)
        self.open[wire] = None
        self.web.ends[wire] = None
        return wire

    async def listen(self, address, accept, closing=None, task_status=trio.TASK_STATUS_IGNORED):
        listener = Listener(self)
        self.web.listeners[address] = listener
        try:
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.take, listener, accept)
                if closing is None:
                    await trio.sleep_forever()
                await closing.wait()
                nursery.cancel_scope.cancel()
            self.take_all(listener, accept)
        finally:
            if self.web.listeners.get(address) is listener:
                del self.web.listeners[address]
            for wire in listener.backlog:
                wire.abort()

    async def take(self, listener, accept):
        while True:
            self.take_all(listener, accept)
            await listener.arrived.wait()
            listener.arrived = trio.Event()

    def take_all(self, listener, accept):
        while listener.backlog:
            wire = listener.backlog.popleft()
            accept(wire)
            self.nursery.start_soon(wire.read)

    def dial(self, address, due, owner):
        self.nursery.start_soon(self.connect, Address(address), due, owner)

    async def connect(self, address, due, owner):
        wire, cause, remote = None, "no connection in time", address.host
        with deadline_scope(due):
            await self.web.carry(self.host, remote)
            listener = self.web.listeners.get(str(address))
            await self.web.carry(remote, self.host)
            if listener is None or not listener.wires.net.alive:
                cause = ConnectionRefusedError(errno.ECONNREFUSED, "ECONNREFUSED")
            else:
                wire = self.adopt(remote)
                wire.other = listener.wires.adopt(self.host)
                wire.other.other = wire
                listener.backlog.append(wire.other)
                listener.arrived.set()
        if wire is None:
            owner.on_fail(cause)
            self.reactor.end_turn()
            return
        wire.owner = owner
        owner.on_open(wire)
        self.reactor.end_turn()
        if not wire.closed:
            await wire.read()

    def vanish(self, reset_peers=True):
        """As a killed process: the others hear a reset; nothing, if the machine is gone."""
        for wire in list(self.open):
            if not reset_peers:
                wire.ended = True
                wire.tell_end = lambda how: None
            wire.end_with(RESET)
        for address in [a for a, listener in self.web.listeners.items() if listener.wires is self]:
            del self.web.listeners[address]

    def reset(self):
        for wire in list(self.open):
            wire.break_now()
            wire.other.break_now()
