"""Connections to all peers of a process, opened when first needed."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Hashable, Mapping
from typing import Any, Protocol, TypeVar

import ormsgpack
import trio

from meadowdock.logs import events as log_events
from meadowdock.rpc.client import ClientConnection
from meadowdock.rpc.exceptions import CONNECTION_ERRORS, ConnectionFailed, Rejected, RpcError
from meadowdock.rpc.handshake import Peer, client_handshake
from meadowdock.runtime import MILLISECOND, Net, deadline_scope, monotonic_us
from meadowdock.runtime.client_memory import ClientMemory

CONNECT_TIMEOUT = 500 * MILLISECOND  # us

Key = TypeVar("Key", bound=Hashable)
Call = tuple[str, str, Any]  # address, method, arguments


class TaskStarter(Protocol):
    """A nursery, or what starts tasks in one."""

    def start_soon(self, function: Callable[..., Awaitable[object]], *args: Any) -> None:
        """Start a task."""


class ConnectionPool:
    """The rpc client of a process, with one connection for each address.

    Invariant: at most one connection to an address is being opened.

    :ivar connections: the newest connection for each address; it may have failed.
    :ivar opening: for each address that is being connected to, an event that is set when the
        attempt ends.
    """

    def __init__(
        self,
        nursery: TaskStarter,
        net: Net,
        fleet_key: bytes,
        rng: random.Random,
        local_peer: Peer,
        log: Callable[..., object],
        connect_timeout: int = CONNECT_TIMEOUT,
        memory: ClientMemory | None = None,
    ) -> None:
        self.memory = memory or ClientMemory(None)
        self.nursery, self.net, self.fleet_key, self.rng = nursery, net, fleet_key, rng
        self.local_peer, self.log, self.connect_timeout = local_peer, log, connect_timeout
        self.connections: dict[str, ClientConnection] = {}
        self.opening: dict[str, trio.Event] = {}

    async def call(self, address: str, method: str, args: Any, deadline_us: int) -> Any:
        """Call a method of the process at an address and return its result.

        :param deadline_us: on the monotonic clock.
        :raises Rejected: the peer refused.
        :raises ConnectionFailed: there is no connection, it broke, or there was no response by the
            deadline.
        """
        connection = self.usable_connection(address) or await self.open(address, deadline_us)
        return await connection.call(method, args, deadline_us)

    def usable_connection(self, address: str) -> ClientConnection | None:
        """Return the connection to an address if it accepts calls, else None."""
        connection = self.connections.get(address)
        if connection is None or not connection.accepts_calls():
            return None
        return connection

    async def open(self, address: str, deadline_us: int) -> ClientConnection:
        """Open a connection, or wait for the one that another task is opening.

        :raises ConnectionFailed: the connection couldn't be opened, or not by the deadline.
        """
        while address in self.opening:
            with deadline_scope(deadline_us):
                await self.opening[address].wait()
            connection = self.usable_connection(address)
            if connection is not None:
                return connection
            if monotonic_us() >= deadline_us:
                raise ConnectionFailed(False, "no connection by the deadline")
        self.opening[address] = trio.Event()
        try:
            with deadline_scope(min(deadline_us, monotonic_us() + self.connect_timeout)):
                connection = self.connections[address] = await self.connect(address)
                self.nursery.start_soon(self.run, connection)
                return connection
            raise ConnectionFailed(False, "no connection by the deadline")
        except (*CONNECTION_ERRORS, TypeError, ormsgpack.MsgpackDecodeError) as cause:
            raise ConnectionFailed(False, cause) from cause
        finally:
            self.opening.pop(address).set()

    async def connect(self, address: str) -> ClientConnection:
        """Open a stream and perform the handshake; the stream is closed if that fails."""
        stream = await self.net.open_stream(address)
        try:
            session = await client_handshake(stream, self.fleet_key, self.rng, self.local_peer)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        return ClientConnection(stream, session, self.memory)

    async def run(self, connection: ClientConnection) -> None:
        """Run a connection until it ends, then log why."""
        await connection.run()
        self.log(
            log_events.CONNECTION_LOST, peer=connection.peer.name, cause=str(connection.failure)
        )

    async def call_all(
        self, calls: Mapping[Key, Call], deadline_us: int
    ) -> dict[Key, Any | RpcError]:
        """Make several calls concurrently.

        :param calls: (address, method, arguments) by any key.
        :returns: the result or the error of each call by the same keys, in the order in which the
            calls ended.
        """
        outcomes: dict[Key, Any | RpcError] = {}

        async def call_one(key: Key, address: str, method: str, args: Any) -> None:
            try:
                outcomes[key] = await self.call(address, method, args, deadline_us)
            except (ConnectionFailed, Rejected) as error:
                outcomes[key] = error

        items = list(calls.items())
        async with trio.open_nursery() as nursery:
            for key, call in items[:-1]:
                nursery.start_soon(call_one, key, *call)
            for key, call in items[-1:]:  # runs in this task, which would otherwise only wait
                await call_one(key, *call)
        return outcomes

    async def successful_responses(
        self, calls: Mapping[Key, Call], deadline_us: int
    ) -> dict[Key, Any]:
        """Make several calls concurrently, and return the results of those that succeeded.

        Parameters are those of `call_all`.
        """
        outcomes = await self.call_all(calls, deadline_us)
        return {key: result for key, result in outcomes.items() if not isinstance(result, RpcError)}
