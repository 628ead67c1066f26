"""Sockets as events: each has one reading task; writing goes straight to the kernel.

An owner has on_data(data) and on_end(cause); who dials also has on_open(connection) and
on_fail(cause). Each is called in a turn of its own.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio
from trio.lowlevel import notify_closing, wait_readable, wait_writable

from meadowdock.runtime import MILLISECOND, SECOND, Address, deadline_scope, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.forwarding.reactor import Reactor

READ_SIZE = 16_384  # bytes; a larger buffer is taken from the system anew at each read
LINGER_US = 2 * SECOND  # after our end was sent, the other side has so long to read it
BACKLOG = 1024  # connections that the kernel takes before they are accepted
ACCEPT_PAUSE_US = 20 * MILLISECOND  # when out of descriptors: others must close first
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class SocketConnection:
    """One TCP connection.

    Invariants: unsent holds the bytes that the kernel did not take yet, in order, unsent_size of
    them; on_end is called once, and not after close().
    """

    __slots__ = (
        "sock",
        "owner",
        "network",
        "unsent",
        "unsent_size",
        "writing",
        "closed",
        "finishing",
        "read_paused",
        "peer",
        "blocked_since",
    )

    def __init__(self, sock: socket.socket, network: SocketNetwork, peer: str = "") -> None:
        self.sock, self.network, self.peer = sock, network, peer
        self.owner: Any = None
        self.unsent: list[bytes] = []
        self.unsent_size = 0
        self.writing = self.closed = self.finishing = False
        self.read_paused: trio.Event | None = None  # set when reading goes on
        self.blocked_since = 0  # when the kernel last stopped taking bytes, 0 if it takes them

    # ------------------------------------------------------------ writing

    def send(self, data: bytes) -> None:
        """Send now what the kernel takes, and the rest as soon as it does."""
        if self.closed or self.finishing:
            return
        if not self.unsent:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return  # the reading task meets the same end
            if sent == len(data):
                return
            data = data[sent:]
        self.unsent.append(data)
        self.unsent_size += len(data)
        if not self.writing:
            self.writing = True
            self.blocked_since = monotonic_us()
            self.network.nursery.start_soon(self.drain)

    async def drain(self) -> None:
        """Send what the kernel did not take at once."""
        try:
            while self.unsent and not self.closed:
                await wait_writable(self.sock)
                data = b"".join(self.unsent)
                sent = self.sock.send(data)
                if sent:
                    self.blocked_since = monotonic_us()
                remaining = data[sent:]
                self.unsent = [remaining] if remaining else []
                self.unsent_size = len(remaining)
        except BlockingIOError:
            pass
        except (OSError, trio.ClosedResourceError):
            self.unsent, self.unsent_size = [], 0
        self.writing = False
        if self.unsent and not self.closed:
            self.writing = True
            self.network.nursery.start_soon(self.drain)
        elif not self.closed:
            self.blocked_since = 0
            if self.finishing:
                self.half_close()

    # ------------------------------------------------------------ closing

    def finish(self) -> None:
        """Close once all that was sent is out; what still comes is not read as requests."""
        if not self.finishing and not self.closed:
            self.finishing = True
            self.resume()
            if not self.unsent:
                self.half_close()

    def half_close(self) -> None:
        """Send our end; close later, so that the other side can read everything."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self.network.reactor.at(monotonic_us() + LINGER_US, self.close)

    def close(self) -> None:
        """Close now."""
        if not self.closed:
            self.closed = True
            self.unsent, self.unsent_size = [], 0
            self.resume()
            notify_closing(self.sock)
            self.sock.close()
            self.network.open.discard(self)

    # ------------------------------------------------------------ reading

    def pause(self) -> None:
        """Read nothing for now."""
        if self.read_paused is None:
            self.read_paused = trio.Event()

    def resume(self) -> None:
        """Read again."""
        if self.read_paused is not None:
            self.read_paused.set()
            self.read_paused = None

    async def read(self) -> None:
        """Give the owner what comes, until the connection ends."""
        cause: object = "closed by the peer"
        try:
            await self.read_until_end()
        except (OSError, trio.ClosedResourceError) as broken:
            cause = broken
        if not self.closed:
            self.close()
            self.network.reactor.turn(self.owner.on_end, cause)

    async def read_until_end(self) -> None:
        """Give the owner what comes, until the other side ends it or this side closes.

        :raises OSError: the connection broke
        :raises trio.ClosedResourceError: it was closed here meanwhile
        """
        sock, reactor = self.sock, self.network.reactor
        while True:
            await wait_readable(sock)
            if self.read_paused is not None:
                await self.read_paused.wait()
                if self.closed:
                    return
            try:
                data = sock.recv(READ_SIZE)
            except BlockingIOError:
                continue
            if not data:
                return
            if self.finishing:
                continue
            if not reactor.turn(self.owner.on_data, data):
                return  # the owner's state is unknown
            if self.closed:
                return


class SocketNetwork:
    """The real network of one process.

    :param host: the address from which connections are opened; "" leaves it to the kernel
    :param connection_type: the class of its connections
    """

    def __init__(
        self,
        host: str,
        nursery: trio.Nursery,
        reactor: Reactor,
        connection_type: type[SocketConnection] = SocketConnection,
    ) -> None:
        self.host, self.nursery, self.reactor = host, nursery, reactor
        self.connection_type = connection_type
        self.open: set[SocketConnection] = set()

    def adopt(self, sock: socket.socket, peer: str = "") -> SocketConnection:
        """A connection over an open socket."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self.connection_type(sock, self, peer)
        self.open.add(connection)
        return connection

    # ------------------------------------------------------------ listening

    async def listen(
        self,
        address: str,
        accept: Callable[[Any], None],
        closing: trio.Event | None = None,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled, or until `closing` is set: those that the kernel has
        taken by then are accepted first.

        :param accept: called with each connection, to give it its owner
        :raises OSError: the address can't be bound
        """
        host_and_port = Address(address)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind((host_and_port.host, host_and_port.port))
            listener.listen(BACKLOG)
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.accept_forever, listener, accept)
                if closing is None:
                    await trio.sleep_forever()
                await closing.wait()
                nursery.cancel_scope.cancel()
            self.accept_all(listener, accept)

    async def accept_forever(self, listener: socket.socket, accept: Callable[[Any], None]) -> None:
        """Accept connections as they come."""
        while True:
            await wait_readable(listener)
            if not self.accept_all(listener, accept):
                await sleep_us(ACCEPT_PAUSE_US)

    def accept_all(self, listener: socket.socket, accept: Callable[[Any], None]) -> bool:
        """Accept all connections that the kernel has; False if it ran out of descriptors."""
        while True:
            try:
                sock, peer = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in OUT_OF_DESCRIPTORS:
                    return False
                continue
            connection = self.adopt(sock, peer[0])
            accept(connection)
            self.nursery.start_soon(connection.read)

    # ------------------------------------------------------------ dialling

    def dial(self, address: str, deadline: int, owner: Any) -> None:
        """Connect by the deadline; the owner's on_open(connection) or on_fail(cause) says how it
        went."""
        self.nursery.start_soon(self.dial_and_read, Address(address), deadline, owner)

    async def dial_and_read(self, address: Address, deadline: int, owner: Any) -> None:
        """Connect, then read until the connection ends."""
        connection = await self.connect(address, deadline)
        if not isinstance(connection, SocketConnection):
            self.reactor.turn(owner.on_fail, connection)
            return
        connection.owner = owner
        self.reactor.turn(owner.on_open, connection)
        if not connection.closed:
            await connection.read()

    async def connect(self, address: Address, deadline: int) -> SocketConnection | OSError | str:
        """An open connection, or why there is none."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        failure: OSError | str = "no connection in time"
        try:
            sock.setblocking(False)
            if self.host:
                sock.bind((self.host, 0))
            with deadline_scope(deadline):
                code = sock.connect_ex((address.host, address.port))
                if code == errno.EINPROGRESS:
                    await wait_writable(sock)
                    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if not code:
                    return self.adopt(sock, address.host)
                failure = OSError(code, errno.errorcode.get(code, "?"))
        except OSError as error:
            failure = error
        except BaseException:
            sock.close()
            raise
        sock.close()
        return failure
