"""An in-memory meadowdock.forwarding.sockets: raw-byte connections over the simulated network."""

from __future__ import annotations

import errno
from collections import deque

import trio

from meadowdock.forwarding.sockets import LINGER_US, READ_SIZE
from meadowdock.runtime import Address, deadline_scope, monotonic_us

# bytes in flight or unread at the other end; the sender keeps what exceeds it
WINDOW_BYTES = 262_144
END, RESET = b"", None  # entries of an inbox that end it
NEVER_US = 1 << 61


def reset_error():
    return ConnectionResetError(errno.ECONNRESET, "ECONNRESET")


class SimWire:
    """One end of a connection, with the interface of meadowdock.forwarding.sockets.SocketConnection.

    Invariants: inbox is in order, each entry (bytes, END or RESET) with the time before which it
    must not be read; unread is the size of its bytes; on_end is called once, and not after close().
    """

    def __init__(self, wires, peer):
        self.wires, self.peer = wires, peer
        self.web, self.here = wires.web, wires.host
        self.owner = self.other = None
        self.unsent, self.unsent_size = [], 0
        self.writing = self.closed = self.finishing = self.broken = False
        self.ended = False  # END or RESET was sent
        self.read_paused = None
        self.blocked_since = 0
        self.on_drained = None
        self.inbox, self.unread = deque(), 0
        self.arrived, self.window_opened = trio.Event(), trio.Event()

    def send(self, data):
        if self.closed or self.finishing or not data:
            return
        if not self.unsent:
            data = data[self.write(data) :]
            if not data:
                return
        self.unsent.append(data)
        self.unsent_size += len(data)
        if not self.writing:
            self.writing = True
            self.blocked_since = monotonic_us()
            self.wires.nursery.start_soon(self.write_unsent)

    def write(self, data):
        """Write what the window of the other end allows; return how many bytes that is."""
        other = self.other
        if self.broken:
            return len(data)  # the reading task handles the broken connection
        if other.closed:
            self.arrive(RESET, self.web.delay(self.here, self.peer))
            return len(data)
        size = min(len(data), WINDOW_BYTES - other.unread)
        if size > 0:
            other.arrive(data[:size])
        return max(size, 0)

    async def write_unsent(self):
        while self.unsent and not self.closed:
            data = b"".join(self.unsent)
            sent = self.write(data)
            if sent:
                self.blocked_since = monotonic_us()
                self.unsent = [data[sent:]] if sent < len(data) else []
                self.unsent_size = len(data) - sent
                if self.on_drained is not None:
                    self.on_drained()
                    self.wires.reactor.end_turn()
            else:
                self.window_opened = trio.Event()
                await self.window_opened.wait()
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
        self.send_end(END)
        self.wires.reactor.call_at(monotonic_us() + LINGER_US, self.close)

    def send_end(self, ending):
        if not self.other.closed and (not self.ended or ending is RESET):
            self.other.arrive(ending)
        self.ended = True

    def close(self):
        """Close as a socket does: with a reset if bytes are unread or unsent."""
        if not self.closed:
            self.end_with(RESET if self.unread or self.unsent else END)

    def abort(self):
        """Reset the connection; the peer reads what was sent before it meets the reset."""
        if not self.closed:
            self.end_with(RESET)

    def end_with(self, ending):
        self.closed = True
        self.unsent, self.unsent_size = [], 0
        self.resume()
        self.send_end(ending)
        self.arrived.set()
        self.window_opened.set()
        self.other.window_opened.set()
        self.wires.open.pop(self, None)
        self.web.ends.pop(self, None)

    def break_now(self):
        """Break this end at once; data in flight to it is lost."""
        self.broken = True
        self.arrived.set()
        self.window_opened.set()

    def arrive(self, data, extra_us=0):
        if self.closed:
            return
        last = self.inbox[-1][0] if self.inbox else 0
        arrives_at = max(last, monotonic_us() + extra_us + self.web.delay(self.peer, self.here))
        self.inbox.append((arrives_at, data))
        self.unread += len(data or b"")
        self.arrived.set()

    async def next_data(self):
        """Wait for bytes, END or RESET that may be read, and return them."""
        web = self.web
        while not self.closed:
            if self.broken:
                return RESET
            arrives_at = self.inbox[0][0] if self.inbox else NEVER_US
            if arrives_at <= monotonic_us() and (self.peer, self.here) not in web.cuts:
                if self.read_paused is not None:
                    await self.read_paused.wait()
                    continue
                return self.read_available()
            with deadline_scope(arrives_at if arrives_at > monotonic_us() else NEVER_US):
                await self.arrived.wait()
            self.arrived = trio.Event()
        return END

    def read_available(self):
        """Return all that has arrived, up to READ_SIZE or a random size below web.tear."""
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
        self.other.window_opened.set()
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
    """A listening address.

    Invariant: backlog holds the connections that its process has not accepted yet.
    """

    def __init__(self, wires):
        self.wires = wires
        self.backlog, self.arrived = deque(), trio.Event()


class SimWires:
    """One process's raw-byte connections, with the interface of sockets.SocketNetwork."""

    def __init__(self, net, nursery, reactor):
        self.net, self.web, self.host = net, net.web, net.host
        self.nursery, self.reactor = nursery, reactor
        self.open = {}  # used as an ordered set

    def has_unsent_output(self):
        return any(wire.unsent_size for wire in self.open)

    def create_wire(self, peer):
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
                nursery.start_soon(self.accept_loop, listener, accept)
                if closing is None:
                    await trio.sleep_forever()
                await closing.wait()
                nursery.cancel_scope.cancel()
            self.accept_pending(listener, accept)
        finally:
            if self.web.listeners.get(address) is listener:
                del self.web.listeners[address]
            for wire in listener.backlog:
                wire.abort()

    async def accept_loop(self, listener, accept):
        while True:
            self.accept_pending(listener, accept)
            await listener.arrived.wait()
            listener.arrived = trio.Event()

    def accept_pending(self, listener, accept):
        while listener.backlog:
            wire = listener.backlog.popleft()
            accept(wire)
            self.nursery.start_soon(wire.read)

    def dial(self, address, due, owner):
        self.nursery.start_soon(self.connect, Address(address), due, owner)

    async def connect(self, address, due, owner):
        """Connect within the deadline; call the owner's on_open, or on_fail with the cause."""
        wire, cause, remote = None, "no connection in time", address.host
        with deadline_scope(due):
            await self.web.carry(self.host, remote)
            listener = self.web.listeners.get(str(address))
            await self.web.carry(remote, self.host)
            if listener is None or not listener.wires.net.alive:
                cause = ConnectionRefusedError(errno.ECONNREFUSED, "ECONNREFUSED")
            else:
                wire = self.create_wire(remote)
                wire.other = listener.wires.create_wire(self.host)
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
        """Disappear as a killed process does.

        :param reset_peers: whether the peers receive a reset. They receive nothing if the machine
            itself is gone.
        """
        for wire in list(self.open):
            if not reset_peers:
                wire.ended = True
                wire.send_end = lambda ending: None
            wire.end_with(RESET)
        for address in [a for a, listener in self.web.listeners.items() if listener.wires is self]:
            del self.web.listeners[address]

    def reset(self):
        for wire in list(self.open):
            wire.break_now()
            wire.other.break_now()
