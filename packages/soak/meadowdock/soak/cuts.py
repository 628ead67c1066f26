"""Network partitions between processes of one machine, enforced by each process on its own sockets.

A file holds the pairs of hosts that are cut off from each other. As on a real network, data sent
across a partition stays in flight and arrives after the partition has healed; opening a connection
across it hangs until then.
"""

from __future__ import annotations

import json
import os
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from meadowdock.forwarding import SocketNetwork
from meadowdock.forwarding.sockets import SocketConnection
from meadowdock.runtime import MILLISECOND, Address, Net, sleep_us

POLL_INTERVAL_US = 20 * MILLISECOND


def write_partitions(path: str, pairs: list[tuple[str, str]]) -> None:
    """Replace the file of partitioned pairs of hosts atomically."""
    with open(path + ".aside", "w", encoding="utf-8") as file:
        json.dump(pairs, file)
    os.rename(path + ".aside", path)


class Partitions:
    """The hosts that this process is cut off from.

    At each change the event `changed` is set and replaced by a new one.
    """

    def __init__(self, path: str, host: str) -> None:
        self.path, self.host = path, host
        self.hosts: frozenset[str] = frozenset()
        self.changed = trio.Event()
        self.file_mtime = 0.0

    def reload(self) -> bool:
        """Read the file if it has changed, and return whether it has."""
        try:
            mtime = os.stat(self.path).st_mtime
            if mtime == self.file_mtime:
                return False
            with open(self.path, encoding="utf-8") as file:
                pairs = json.load(file)
        except FileNotFoundError:
            return False
        self.file_mtime = mtime
        self.hosts = frozenset(
            other for pair in pairs if self.host in pair for other in pair if other != self.host
        )
        self.changed.set()
        self.changed = trio.Event()
        return True

    async def watch(self, on_change: Callable[[], None]) -> None:
        """Poll the file and call `on_change` after each change."""
        while True:
            if self.reload():
                on_change()
            await sleep_us(POLL_INTERVAL_US)

    async def wait_until_reachable(self, host: str) -> None:
        """Wait until this process is no longer cut off from a host."""
        while host in self.hosts:
            await self.changed.wait()


class PartitionableStream(trio.abc.Stream):
    """A stream that delays its data while its two ends are partitioned from each other."""

    def __init__(self, stream: trio.SocketStream, partitions: Partitions) -> None:
        self.stream, self.partitions = stream, partitions
        self.socket = stream.socket
        self.peer = stream.socket.getpeername()[0]

    async def send_all(self, data: Any) -> None:
        """Send the data as soon as the peer is reachable."""
        await self.partitions.wait_until_reachable(self.peer)
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait for the underlying stream."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return received data as soon as the peer is reachable."""
        data = await self.stream.receive_some(max_bytes)
        await self.partitions.wait_until_reachable(self.peer)
        return bytes(data)

    async def aclose(self) -> None:
        """Close the underlying stream without waiting for the partition to heal."""
        await self.stream.aclose()


class PartitionableNet(Net):
    """The real network of a process that may be partitioned from others."""

    def __init__(self, host: str, partitions: Partitions) -> None:
        super().__init__(host)
        self.partitions = partitions

    async def serve_streams(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve as `Net` does, with streams that observe the partitions."""

        async def handle_stream(stream: trio.SocketStream) -> None:
            await handler(PartitionableStream(stream, self.partitions))

        await super().serve_streams(address, handle_stream, task_status)

    async def open_stream(self, address: str) -> trio.abc.Stream:
        """Open a stream as soon as the host is reachable."""
        await self.partitions.wait_until_reachable(Address(address).host)
        return PartitionableStream(await super().open_stream(address), self.partitions)

    def wires(self, nursery: trio.Nursery, reactor: Any) -> PartitionableSocketNetwork:
        """Return the socket network of the forwarding path; it observes the partitions as well."""
        network = PartitionableSocketNetwork(self.host, nursery, reactor, PartitionableConnection)
        network.partitions = self.partitions
        nursery.start_soon(self.partitions.watch, network.apply_change)
        return network


class PartitionableConnection(SocketConnection):
    """A connection that delays its data while its two ends are partitioned from each other."""

    __slots__ = ("paused_by_partition",)

    def __init__(self, sock: Any, network: PartitionableSocketNetwork, peer: str = "") -> None:
        super().__init__(sock, network, peer)
        self.paused_by_partition = False

    def send(self, data: bytes) -> None:
        """Send the data, or buffer it until the peer is reachable."""
        if self.peer not in self.network.partitions.hosts:
            super().send(data)
        elif not self.closed and not self.finishing:
            self.unsent.append(data)
            self.unsent_size += len(data)
            if not self.writing:
                self.writing = True
                self.network.nursery.start_soon(self.drain)

    async def drain(self) -> None:
        """Send the buffered data as soon as the peer is reachable."""
        await self.network.partitions.wait_until_reachable(self.peer)
        await super().drain()


class PartitionableSocketNetwork(SocketNetwork):
    """The forwarding path's network of a process that may be partitioned from others."""

    partitions: Partitions

    async def connect(self, address: Address, deadline: int) -> SocketConnection | OSError | str:
        """Connect as soon as the host is reachable, or give up at the deadline."""
        if address.host in self.partitions.hosts:
            with trio.move_on_at(deadline / 1_000_000):
                await self.partitions.wait_until_reachable(address.host)
        return await super().connect(address, deadline)

    def apply_change(self) -> None:
        """Pause and resume connections after the partitions have changed."""
        for connection in list(self.open):
            unreachable = connection.peer in self.partitions.hosts
            if unreachable and not connection.paused_by_partition:
                connection.paused_by_partition = True
                connection.pause()
            elif connection.paused_by_partition and not unreachable:
                connection.paused_by_partition = False
                connection.resume()
