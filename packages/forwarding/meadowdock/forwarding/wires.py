"""Sockets as events: each has one reading task; writing goes straight to the kernel.

An owner has on_data(data) and on_end(cause); who dials also has on_open(wire) and on_fail(cause).
Each is called in a turn of its own.
"""

from __future__ import annotations

import errno
import socket

import trio
from trio.lowlevel import notify_closing, wait_readable, wait_writable

from meadowdock.runtime import MILLISECOND, SECOND, Address, deadline_scope, monotonic_us, sleep_us

READ = 16_384  # a larger buffer is taken from the system anew at each read
CLOGGED = 1 << 20  # bytes held for a reader that does not read: nothing more is read from it
LINGER = 2 * SECOND
TOO_MANY = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Wire:
    """One connection. Invariants: held are the bytes that the kernel did not take yet, in order;
    on_end is called once, and not after close() or abort()."""

    __slots__ = (
        "sock",
        "owner",
        "wires",
        "held",
        "held_size",
        "writing",
        "closed",
        "finishing",
        "waiting",
        "peer",
        "stuck_since",
    )

    def __init__(self, sock, wires, peer=""):
        self.sock, self.wires, self.peer = sock, wires, peer
        self.owner = None
        self.held, self.held_size = [], 0
        self.writing = self.closed = self.finishing = False
        self.waiting = None  # an event while nothing may be read
        self.stuck_since = 0  # when the kernel last stopped taking bytes, 0 if it takes them

    def send(self, data):
        if self.closed or self.finishing:
            return
        if not self.held:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return  # the reading task meets the same end
            if sent == len(data):
                return
            data = data[sent:]
        self.held.append(data)
        self.held_size += len(data)
        if not self.writing:
            self.writing = True
            self.stuck_since = monotonic_us()
            self.wires.nursery.start_soon(self.drain)

    async def drain(self):
        try:
            while self.held and not self.closed:
                await wait_writable(self.sock)
                data = b"".join(self.held)
                sent = self.sock.send(data)
                if sent:
                    self.stuck_since = monotonic_us()
                rest_of = data[sent:]
                self.held, self.held_size = ([rest_of] if rest_of else []), len(rest_of)
        except BlockingIOError:
            pass
        except (OSError, trio.ClosedResourceError):
            self.held, self.held_size = [], 0
        self.writing = False
        if self.held and not self.closed:
            self.writing = True
            self.wires.nursery.start_soon(self.drain)
        elif not self.closed:
            self.stuck_since = 0
            if self.finishing:
                self.half_close()

    def pause(self):
        if self.waiting is None:
            self.waiting = trio.Event()

    def resume(self):
        if self.waiting is not None:
            self.waiting.set()
            self.waiting = None

    def finish(self):
        """Close once all that was sent is out; what still comes is not read as requests."""
        if not self.finishing and not self.closed:
            self.finishing = True
            self.resume()
            if not self.held:
                self.half_close()

    def half_close(self):
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self.wires.reactor.at(monotonic_us() + LINGER, self.close)

    def close(self):
        if not self.closed:
            self.closed = True
            self.held, self.held_size = [], 0
            self.resume()
            notify_closing(self.sock)
            self.sock.close()
            self.wires.open.discard(self)

    async def read(self):
        sock, reactor = self.sock, self.wires.reactor
        cause = "closed by the peer"
        try:
            while True:
                await wait_readable(sock)
                if self.waiting is not None:
                    await self.waiting.wait()
                    if self.closed:
                        return
                try:
                    data = sock.recv(READ)
                except BlockingIOError:
                    continue
                if not data:
                    break
                if not self.finishing:
                    if not reactor.turn(self.owner.on_data, data):
                        break  # what this connection was at is unknown
                    if self.closed:
                        return
        except (OSError, trio.ClosedResourceError) as broken:
            cause = broken
        if not self.closed:
            self.close()
            reactor.turn(self.owner.on_end, cause)


class Wires:
    """The real network of one process. make_wire: the class of its connections."""

    def __init__(self, host, nursery, reactor, make_wire=Wire):
        self.host, self.nursery, self.reactor = host, nursery, reactor
        self.make_wire = make_wire
        self.open = set()

    def adopt(self, sock, peer=""):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        wire = self.make_wire(sock, self, peer)
        self.open.add(wire)
        return wire

    async def listen(self, address, accept, closing=None, task_status=trio.TASK_STATUS_IGNORED):
        """accept(wire) gives each connection its owner. Ends when `closing` is set: whom the kernel
        has taken by then is accepted first."""
        address = Address(address)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind((address.host, address.port))
            listener.listen(1024)
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.take, listener, accept)
                if closing is None:
                    await trio.sleep_forever()
                await closing.wait()
                nursery.cancel_scope.cancel()
            self.take_all(listener, accept)

    async def take(self, listener, accept):
        while True:
            await wait_readable(listener)
            if not self.take_all(listener, accept):
                await sleep_us(20 * MILLISECOND)  # out of descriptors: others must close first

    def take_all(self, listener, accept):
        while True:
            try:
                sock, peer = listener.accept()
            except BlockingIOError:
                return True
            except OSError as cause:
                if cause.errno in TOO_MANY:
                    return False
                continue
            wire = self.adopt(sock, peer[0])
            accept(wire)
            self.nursery.start_soon(wire.read)

    def dial(self, address, due, owner):
        self.nursery.start_soon(self.connect, Address(address), due, owner)

    async def connect(self, address, due, owner):
        wire, cause = None, "no connection in time"
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            if self.host:
                sock.bind((self.host, 0))
            with deadline_scope(due):
                code = sock.connect_ex((address.host, address.port))
                if code == errno.EINPROGRESS:
                    await wait_writable(sock)
                    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    cause = OSError(code, errno.errorcode.get(code, "?"))
                else:
                    wire = self.adopt(sock, address.host)
        except OSError as broken:
            cause = broken
        finally:
            if wire is None:
                sock.close()
        if wire is None:
            self.reactor.turn(owner.on_fail, cause)
            return
        wire.owner = owner
        self.reactor.turn(owner.on_open, wire)
        if not wire.closed:
            await wire.read()
