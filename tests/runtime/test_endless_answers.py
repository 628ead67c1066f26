"""The HTTP client at a server that sends without end: a bounded number of bytes is read and held."""

from __future__ import annotations

from functools import partial

import pytest
import trio
from endless_kinds import ENDLESS, endless

from meadowdock.runtime.address import Address
from meadowdock.runtime.client_memory import ClientMemory
from meadowdock.runtime.exceptions import HttpConnectionFailed
from meadowdock.runtime.http_client import HttpConnection

BODY_MAX_BYTES = 1 << 20
SENT_AT_MOST = 64 << 20  # by the server, with what both kernels keep
DEADLINE_S = 30
LARGE_BYTES = 700_000
MEMORY_MB = 3  # of which responses may take a third


class EndlessServer:
    """Sends the same bytes to each request, and counts them."""

    def __init__(self, kind):
        self.answer, self.sent = endless(kind), 0

    async def serve(self, stream):
        try:
            await stream.receive_some()
            await stream.send_all(self.answer.opening)
            while True:
                await stream.send_all(self.answer.piece)
                self.sent += len(self.answer.piece)
        except trio.BrokenResourceError:
            pass


async def listening(nursery, handler):
    serve = partial(trio.serve_tcp, host="127.0.0.1")
    (listener,) = await nursery.start(serve, handler, 0)
    return Address(f"127.0.0.1:{listener.socket.getsockname()[1]}")


# A body without a length ends with its connection here, so that it is bounded as a body.
@pytest.mark.parametrize("kind", ENDLESS)
def test_an_answer_without_end(kind):
    async def main():
        server, memory = EndlessServer(kind), ClientMemory(None)
        async with trio.open_nursery() as nursery:
            address = await listening(nursery, server.serve)
            connection = HttpConnection(address, None, BODY_MAX_BYTES, memory)
            with trio.fail_after(DEADLINE_S), pytest.raises(HttpConnectionFailed) as failed:
                await connection.request("GET", "/", [], b"")
            assert failed.value.sent and connection.closed
            assert memory.total == 0
            assert server.sent < SENT_AT_MOST
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_answers_for_which_the_account_has_no_memory():
    """The one that makes no progress is given up for the one that does."""

    async def main():
        memory = ClientMemory(MEMORY_MB)
        release = trio.Event()

        async def serve(stream):
            data = await stream.receive_some()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES
            if b"/stalls" in data:
                await stream.send_all(head + bytes(LARGE_BYTES - 1))
                await trio.sleep_forever()
            await release.wait()
            await stream.send_all(head + bytes(LARGE_BYTES))

        results = {}

        async def ask(path):
            connection = HttpConnection(address, None, BODY_MAX_BYTES, memory)
            try:
                results[path] = (await connection.request("GET", path, [], b"")).status
            except HttpConnectionFailed:
                results[path] = "given up"

        async with trio.open_nursery() as nursery:
            address = await listening(nursery, serve)
            async with trio.open_nursery() as asking:
                asking.start_soon(ask, "/stalls")
                while memory.total < LARGE_BYTES - 1:
                    await trio.sleep(0.01)
                asking.start_soon(ask, "/sound")
                await trio.sleep(0.2)
                release.set()
            assert results == {"/stalls": "given up", "/sound": 200}
            assert memory.total == 0 and memory.given_up == 1
            nursery.cancel_scope.cancel()

    trio.run(main)
