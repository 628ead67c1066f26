"""Cuts between processes of one machine, enforced by each process on its own sockets.

A file holds the pairs of hosts that are cut off from each other. As on a real network, what is sent
over a cut stays under way and arrives once it heals; a connection that is opened meanwhile hangs.
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

LOOK_EVERY = 20 * MILLISECOND


def write_cuts(path: str, pairs: list[tuple[str, str]]) -> None:
    """Put the pairs of hosts in force, all at once."""
    with open(path + ".aside", "w", encoding="utf-8") as file:
        json.dump(pairs, file)
    os.rename(path + ".aside", path)


class Cuts:
    """The hosts that this process is cut off from. changed is set, and made anew, at each change."""

    def __init__(self, path: str, host: str) -> None:
        self.path, self.host = path, host
        self.hosts: frozenset[str] = frozenset()
        self.changed = trio.Event()
        self.read_at = 0.0

    def look(self) -> bool:
        """Read the file if it has changed; whether it has."""
        try:
            at = os.stat(self.path).st_mtime
            if at == self.read_at:
                return False
            with open(self.path, encoding="utf-8") as file:
                pairs = json.load(file)
        except FileNotFoundError:
            return False
        self.read_at = at
        self.hosts = frozenset(
            other for pair in pairs if self.host in pair for other in pair if other != self.host
        )
        self.changed.set()
        self.changed = trio.Event()
        return True

    async def watch(self, on_change: Callable[[], None]) -> None:
        """Look again and again."""
        while True:
            if self.look():
                on_change()
            await sleep_us(LOOK_EVERY)

    async def joined(self, host: str) -> None:
        """Wait until this process isn't cut off from a host."""
        while host in self.hosts:
            await self.changed.wait()


class CutStream(trio.abc.Stream):
    """A stream whose bytes wait while its ends are cut off from each other."""

    def __init__(self, stream: trio.SocketStream, cuts: Cuts) -> None:
        self.stream, self.cuts = stream, cuts
        self.socket = stream.socket
        self.peer = stream.socket.getpeername()[0]

    async def send_all(self, data: Any) -> None:
        """Send once joined."""
        await self.cuts.joined(self.peer)
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """As the stream's own."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """What came, once joined."""
        data = await self.stream.receive_some(max_bytes)
        await self.cuts.joined(self.peer)
        return bytes(data)

    async def aclose(self) -> None:
        """Close at once."""
        await self.stream.aclose()


class CutNet(Net):
    """The real network of a process that may be cut off."""

    def __init__(self, host: str, cuts: Cuts) -> None:
        super().__init__(host)
        self.cuts = cuts

    async def serve_streams(
        self,
        address: str,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """As the real network's."""

        async def take(stream: trio.SocketStream) -> None:
            await handler(CutStream(stream, self.cuts))

        await super().serve_streams(address, take, task_status)

    async def open_stream(self, address: str) -> trio.abc.Stream:
        """A stream, once joined."""
        await self.cuts.joined(Address(address).host)
        return CutStream(await super().open_stream(address), self.cuts)

    def wires(self, nursery: trio.Nursery, reactor: Any) -> CutWires:
        """The network of the traffic path."""
        wires = CutWires(self.host, nursery, reactor, CutWire)
        wires.cuts = self.cuts
        nursery.start_soon(self.cuts.watch, wires.cut_or_joined)
        return wires


class CutWire(SocketConnection):
    """A connection whose bytes wait while its ends are cut off from each other."""

    __slots__ = ("paused_by_cut",)

    def __init__(self, sock: Any, network: CutWires, peer: str = "") -> None:
        super().__init__(sock, network, peer)
        self.paused_by_cut = False

    def send(self, data: bytes) -> None:
        """Send, or hold until joined."""
        if self.peer not in self.network.cuts.hosts:
            super().send(data)
        elif not self.closed and not self.finishing:
            self.unsent.append(data)
            self.unsent_size += len(data)
            if not self.writing:
                self.writing = True
                self.network.nursery.start_soon(self.drain)

    async def drain(self) -> None:
        """Send what is held once joined."""
        await self.network.cuts.joined(self.peer)
        await super().drain()


class CutWires(SocketNetwork):
    """The traffic path's network of a process that may be cut off."""

    cuts: Cuts

    async def connect(self, address: Address, deadline: int) -> SocketConnection | OSError | str:
        """Connect once joined."""
        if address.host in self.cuts.hosts:
            with trio.move_on_at(deadline / 1_000_000):
                await self.cuts.joined(address.host)
        return await super().connect(address, deadline)

    def cut_or_joined(self) -> None:
        """Other hosts are cut off now."""
        for wire in list(self.open):
            cut = wire.peer in self.cuts.hosts
            if cut and not wire.paused_by_cut:
                wire.paused_by_cut = True
                wire.pause()
            elif wire.paused_by_cut and not cut:
                wire.paused_by_cut = False
                wire.resume()
