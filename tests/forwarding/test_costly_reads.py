"""Connections whose bytes are costly to parse take turns, so that others don't wait for each of them."""

from __future__ import annotations

import socket

import trio

from meadowdock.forwarding.reactor import Reactor
from meadowdock.forwarding.sockets import SocketNetwork

COSTLY_CONNECTIONS = 50
BYTES = 60_000  # on each of them
ROUNDS = 3  # a message and its answer, behind each other


class CostlyOwner:
    """Counts the reads of all costly connections."""

    is_costly = True

    def __init__(self, reads):
        self.reads = reads

    def on_data(self, data):
        self.reads.append(len(data))

    def on_end(self, cause):
        pass


class EchoOwner:
    """Answers each message, and notes how many costly reads came before it."""

    is_costly = False

    def __init__(self, connection, reads, seen):
        self.connection, self.reads, self.seen = connection, reads, seen

    def on_data(self, data):
        self.seen.append(len(self.reads))
        self.connection.send(data)

    def on_end(self, cause):
        pass


def test_ordinary_connection_that_waits_for_a_read_of_every_costly_one():
    async def main():
        reads, seen, far_ends = [], [], []
        async with trio.open_nursery() as nursery:
            network = SocketNetwork("", nursery, Reactor())
            for _ in range(COSTLY_CONNECTIONS):
                near, far = socket.socketpair()
                far.sendall(bytes(BYTES))
                far_ends.append(far)
                connection = adopt(network, near)
                connection.owner = CostlyOwner(reads)
                nursery.start_soon(connection.read)
            near, far = socket.socketpair()
            far_ends.append(far)
            connection = adopt(network, near)
            connection.owner = EchoOwner(connection, reads, seen)
            nursery.start_soon(connection.read)
            client = trio.socket.from_stdlib_socket(far)
            for _ in range(ROUNDS):
                await client.send(b"x")
                await client.recv(1)
            nursery.cancel_scope.cancel()
        for far in far_ends:
            far.close()
        return seen

    seen = trio.run(main)
    assert len(seen) == ROUNDS
    waits = [later - sooner for sooner, later in zip(seen, seen[1:], strict=False)]
    assert max(waits) < COSTLY_CONNECTIONS // 4, waits


def adopt(network, sock):
    """Return a connection over a local socket."""
    connection = network.connection_type(sock, network)
    sock.setblocking(False)
    network.open.add(connection)
    return connection
