"""Event-driven TCP connections.

Each connection has one task that reads; writes go directly to the kernel. The owner of a connection
has on_data(data) and on_end(cause), and on_open(connection) and on_fail(cause) if it dials. Each
of them is called in its own turn of the reactor.
"""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio
from trio.lowlevel import notify_closing, wait_readable, wait_writable

from meadowdock.forwarding.byte_parts import LARGE_BYTES, Bytes
from meadowdock.runtime import MILLISECOND, SECOND, Address, deadline_scope, monotonic_us, sleep_us
from meadowdock.runtime.address_space import has_headroom

if TYPE_CHECKING:
    from meadowdock.forwarding.reactor import Reactor

READ_SIZE = 16_384  # bytes; a larger buffer would be allocated by the system at each read
SHORT_READ_SIZE = 4_096  # bytes; of what is costly to parse, or may be
LINGER_US = 2 * SECOND  # between the end of output and the close, for the other side to read it
LISTEN_BACKLOG = 1024  # connections that the kernel keeps until they are accepted
ACCEPT_PAUSE_US = 20 * MILLISECOND  # after an error of accept, such as running out of descriptors
# Errors of accept(2) that concern the connection to be accepted, not the listener.
IGNORABLE_ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
    errno.ETIMEDOUT,
)


class SocketConnection:
    """One TCP connection.

    Invariants: unsent holds the bytes that the kernel has not accepted yet, in order, and
    unsent_size is their number; on_end is called at most once, and never after close().

    :ivar read_size: bytes of the next read.
    :ivar on_drained: called in a turn of its own whenever the kernel has accepted unsent bytes.
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
        "read_size",
        "on_drained",
    )

    def __init__(self, sock: socket.socket, network: SocketNetwork, peer: str = "") -> None:
        self.sock, self.network, self.peer = sock, network, peer
        self.owner: Any = None
        self.unsent: deque[Bytes] = deque()
        self.unsent_size = 0
        self.writing = self.closed = self.finishing = False
        self.read_paused: trio.Event | None = None  # set when reading continues
        # when the kernel last accepted or first refused bytes; 0 if none are unsent
        self.blocked_since = 0
        self.read_size = SHORT_READ_SIZE
        self.on_drained: Callable[[], object] | None = None

    def send(self, data: Bytes) -> None:
        """Send what the kernel accepts now, and the rest as soon as it does; the data isn't copied."""
        if self.closed or self.finishing:
            return
        if not self.unsent:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return  # the reading task will get the same error
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        self.unsent.append(data)
        self.unsent_size += len(data)
        if not self.writing:
            self.writing = True
            self.blocked_since = monotonic_us()
            self.network.nursery.start_soon(self.drain)

    async def drain(self) -> None:
        """Send the bytes that the kernel did not accept at once."""
        try:
            while self.unsent and not self.closed:
                await wait_writable(self.sock)
                if self.unsent:  # the connection may have been closed meanwhile
                    self.drop_unsent(self.sock.send(self.next_unsent()))
                    if self.on_drained is not None:
                        self.network.reactor.turn(self.on_drained)
        except BlockingIOError:
            pass
        except (OSError, trio.ClosedResourceError):
            self.unsent, self.unsent_size = deque(), 0
        self.writing = False
        if self.unsent and not self.closed:
            self.writing = True
            self.network.nursery.start_soon(self.drain)
        elif not self.closed:
            self.blocked_since = 0
            if self.finishing:
                self.half_close()

    def next_unsent(self) -> Bytes:
        """Return the first bytes to send; what is small in all is joined."""
        if len(self.unsent) > 1 and self.unsent_size < LARGE_BYTES:
            self.unsent = deque([b"".join(self.unsent)])
        return self.unsent[0]

    def drop_unsent(self, sent: int) -> None:
        """Remove bytes that the kernel has accepted."""
        if sent:
            self.blocked_since = monotonic_us()
        first = self.unsent.popleft()
        if sent < len(first):
            self.unsent.appendleft(memoryview(first)[sent:])
        self.unsent_size -= sent

    def finish(self) -> None:
        """Close once all output is sent; input that still arrives is discarded."""
        if not self.finishing and not self.closed:
            self.finishing = True
            self.resume()
            if not self.unsent:
                self.half_close()

    def half_close(self) -> None:
        """Shut down writing; close later, so that the other side can read everything."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self.network.reactor.call_at(monotonic_us() + LINGER_US, self.close)

    def close(self) -> None:
        """Close the connection now."""
        if not self.closed:
            self.closed = True
            self.unsent, self.unsent_size = deque(), 0
            self.resume()
            notify_closing(self.sock)
            self.sock.close()
            self.network.open.discard(self)

    def pause(self) -> None:
        """Stop reading."""
        if self.read_paused is None:
            self.read_paused = trio.Event()

    def resume(self) -> None:
        """Continue reading."""
        if self.read_paused is not None:
            self.read_paused.set()
            self.read_paused = None

    async def read(self) -> None:
        """Pass received data to the owner until the connection ends, then report the end."""
        cause: object = "closed by the peer"
        try:
            await self.read_until_end()
        except (OSError, trio.ClosedResourceError) as broken:
            cause = broken
        except Exception as error:
            self.end(error)
            raise  # the nursery logs it
        self.end(cause)

    def end(self, cause: object) -> None:
        """Close the connection, unless it is closed, and report the end to its owner."""
        if not self.closed:
            self.close()
            self.network.reactor.turn(self.owner.on_end, cause)

    async def read_until_end(self) -> None:
        """Pass received data to the owner until either side closes the connection.

        :raises OSError: the connection broke
        :raises trio.ClosedResourceError: the connection was closed here meanwhile
        """
        is_open = True
        while is_open:
            await wait_readable(self.sock)
            if self.read_paused is not None:
                await self.read_paused.wait()
                if self.closed:
                    return
            if getattr(self.owner, "is_costly", False) and not self.finishing:
                async with self.network.costly_reads:
                    is_open = not self.closed and self.read_now(SHORT_READ_SIZE)
            else:
                is_open = self.read_now(self.read_size)

    def read_now(self, size: int) -> bool:
        """Pass received bytes to the owner, and return whether the connection stays open.

        :raises OSError: the connection broke
        """
        try:
            data = self.sock.recv(size)
        except BlockingIOError:
            return True
        if not data:
            return False
        self.read_size = READ_SIZE
        if self.finishing:
            return True
        # after an exception in the owner its state is unknown
        return self.network.reactor.turn(self.owner.on_data, data) and not self.closed


class SocketNetwork:
    """The network of one process, over the kernel's sockets.

    :param host: the address from which connections are opened; "" leaves it to the kernel
    :param connection_type: the class of the connections
    :ivar costly_reads: held by a connection while it reads what is costly to parse; one does so in a
        round of the event loop, so that the others wait for it alone
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
        self.costly_reads = trio.StrictFIFOLock()

    def has_unsent_output(self) -> bool:
        """Return whether an open connection has bytes that the kernel has not accepted yet."""
        return any(connection.unsent_size for connection in self.open)

    def adopt(self, sock: socket.socket, peer: str = "") -> SocketConnection:
        """Return a connection over an open socket."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self.connection_type(sock, self, peer)
        self.open.add(connection)
        return connection

    async def listen(
        self,
        address: str,
        accept: Callable[[Any], None],
        closing: trio.Event | None = None,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled, or until `closing` is set.

        Connections that are in the kernel's backlog when `closing` is set are still accepted.

        :param accept: called with each connection, to set its owner
        :raises OSError: the address can't be bound
        """
        host_and_port = Address(address)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind((host_and_port.host, host_and_port.port))
            listener.listen(LISTEN_BACKLOG)
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.accept_forever, listener, accept)
                if closing is None:
                    await trio.sleep_forever()
                await closing.wait()
                nursery.cancel_scope.cancel()
            self.accept_all(listener, accept)

    async def accept_forever(self, listener: socket.socket, accept: Callable[[Any], None]) -> None:
        """Accept connections until cancelled."""
        while True:
            await wait_readable(listener)
            if not self.accept_all(listener, accept):
                await sleep_us(ACCEPT_PAUSE_US)

    def accept_all(self, listener: socket.socket, accept: Callable[[Any], None]) -> bool:
        """Accept all waiting connections; return False if that fails for now.

        It fails while the process is out of descriptors or memory.
        """
        while True:
            try:
                sock, peer = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in IGNORABLE_ACCEPT_ERRORS:
                    continue
                return False
            if not has_headroom():
                sock.close()
                continue
            try:
                connection = self.adopt(sock, peer[0])
            except OSError:  # the connection was reset before it was accepted
                sock.close()
                continue
            accept(connection)
            if not connection.closed:
                self.nursery.start_soon(connection.read)

    def dial(self, address: str, deadline: int, owner: Any) -> None:
        """Connect by the deadline and call the owner's on_open(connection) or on_fail(cause)."""
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
        """Return an open connection, or the reason why none could be opened."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptor is left
            return error
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
