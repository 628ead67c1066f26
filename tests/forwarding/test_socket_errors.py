"""Errors of the kernel's socket calls fail one connection, and keep the process responsive."""

from __future__ import annotations

import errno
import socket

import pytest
import trio

from meadowdock.forwarding import Reactor, SocketNetwork
from meadowdock.runtime import SECOND, monotonic_us


def test_a_process_without_descriptors_reports_a_failed_connection(monkeypatch):
    class Owner:
        def on_fail(self, cause):
            causes.append(cause)

    def no_socket(*_):
        raise OSError(errno.EMFILE, "too many open files")

    causes = []

    async def main():
        async with trio.open_nursery() as nursery:
            network = SocketNetwork("", nursery, Reactor())
            monkeypatch.setattr(socket, "socket", no_socket)
            network.dial("127.0.0.1:1", monotonic_us() + SECOND, Owner())

    trio.run(main)
    assert [cause.errno for cause in causes] == [errno.EMFILE]


class FailingListener:
    """A listener whose accept fails."""

    def __init__(self, number):
        self.number = number
        self.accepts = 0

    def accept(self):
        self.accepts += 1
        assert self.accepts < 100, "accept is called again and again"
        raise OSError(self.number, "")


@pytest.mark.parametrize("number", [errno.EMFILE, errno.EINVAL, errno.ENOTSOCK])
def test_a_listener_that_can_not_accept_gives_the_processor_back(number):
    network = SocketNetwork("", None, Reactor())
    assert network.accept_all(FailingListener(number), lambda connection: None) is False
