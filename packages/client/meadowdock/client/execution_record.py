"""An endpoint's record of the requests with an idempotency key.

Each runs once, and a repeat gets the recorded response.

>>> import trio
>>> from meadowdock.runtime import MemoryDisk
>>> async def twice(record, request):
...     async def work(request):
...         return 200, {"balance": 5}
...     return [(await record.run_once(request, work)).status for _ in range(2)], len(record.entries)
>>> request = EndpointRequest("POST", "/w", "", "guest", "k1", "c1", 0, {"amount": 1})
>>> trio.run(twice, ExecutionRecord(MemoryDisk()), request)
([200, 200], 1)
"""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import ormsgpack

from meadowdock.admin_http import Response
from meadowdock.client.messages import EndpointRequest
from meadowdock.runtime import MemoryDisk, add_checksum, fingerprint, verify_checksum

DEFAULT_CAPACITY = 10_000  # keys
FOLDER = "key"

# Returns a status and a body; a body that isn't bytes is sent as JSON.
Handler = Callable[[EndpointRequest], Awaitable[tuple[int, Any]]]


@dataclass(frozen=True)
class Execution:
    """The request of one key, as it is stored.

    request: fingerprint of the request's content; empty if the file was unreadable. number: the
    order in which requests began. Invariant: status is None from before the work begins until its
    response is on the disk. An execution that a former process left in this state may have run, and
    is never run again.
    """

    request: str
    number: int
    status: int | None = None
    body: bytes = b""

    def to_record(self) -> bytes:
        """Return the bytes of the file."""
        return add_checksum(ormsgpack.packb([self.request, self.number, self.status, self.body]))

    @classmethod
    def from_record(cls, data: bytes | None) -> Execution:
        """Return the execution that a file describes.

        If the file fails its checks, a request with this key has begun, but it is unknown which
        one.
        """
        body = verify_checksum(data)
        return cls("", 0) if body is None else cls(*ormsgpack.unpackb(body))


class ExecutionRecord:
    """The executions of one endpoint, on a disk.

    Invariants: an execution is on the disk before its work begins; entries is in order of number
    and holds what the disk holds; when it has more than `capacity` keys, the oldest finished ones
    are evicted. The disk is read at the first request.
    """

    def __init__(self, disk: Any = None, capacity: int = DEFAULT_CAPACITY) -> None:
        self.disk, self.capacity = disk or MemoryDisk(), capacity
        self.entries: OrderedDict[str, Execution] = OrderedDict()
        self.loaded = False
        self.number = 0

    async def load(self) -> None:
        """Read all executions from the disk."""
        named_executions = []
        for name in await self.disk.list_folder(FOLDER):
            data = await self.disk.read(f"{FOLDER}/{name}")
            named_executions.append((name, Execution.from_record(data)))
        self.entries = OrderedDict(sorted(named_executions, key=lambda pair: pair[1].number))
        self.number = max((execution.number for execution in self.entries.values()), default=0)
        self.loaded = True

    async def run_once(self, request: EndpointRequest, work: Handler) -> Response:
        """Return the response to a request with a key.

        This is the response of `work`, which is run now, or the recorded response if it ran before.
        It is a rejection if the key was used for another request, or if its request may have run.
        """
        if not self.loaded:
            await self.load()
        name = fingerprint(f"{request.caller}\0{request.key}".encode())
        content = content_fingerprint(request)
        known = self.entries.get(name)
        if known is not None:
            return recorded_response(known, content)
        if request.repeat:
            return rejected(409, "key_may_have_run", "may-have-run")  # it may have run elsewhere
        self.number += 1
        number = self.number
        begun = self.entries[name] = Execution(content, number)
        await self.store(name, begun)
        status, body = await work(request)
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        finished = Execution(content, number, status, data)
        await self.store(name, finished)
        self.entries[name] = finished
        await self.evict()
        return Response(status, data)

    async def store(self, name: str, execution: Execution) -> None:
        """Write an execution to the disk."""
        await self.disk.write(f"{FOLDER}/{name}", execution.to_record())

    async def evict(self) -> None:
        """Remove the oldest finished executions while there are too many."""
        while len(self.entries) > self.capacity:
            finished = (n for n, execution in self.entries.items() if execution.status is not None)
            oldest = next(finished, None)
            if oldest is None:
                return
            del self.entries[oldest]
            await self.disk.remove(f"{FOLDER}/{oldest}")


def content_fingerprint(request: EndpointRequest) -> str:
    """Return the fingerprint of a request's content.

    It tells a repeat from another request under the same key.
    """
    content = [request.method, request.path, request.query, request.body]
    return fingerprint(json.dumps(content, sort_keys=True).encode())


def recorded_response(known: Execution, content: str) -> Response:
    """Return the response to a request whose key is recorded."""
    if known.request and known.request != content:
        return rejected(422, "key_mismatch", "not-run")
    if known.status is None:
        return rejected(409, "key_may_have_run", "may-have-run")
    return Response(known.status, known.body)


def rejected(status: int, code: str, verdict: str) -> Response:
    """Return the response to a request that is not run now."""
    return Response(status, {"code": code, "verdict": verdict}, [(b"md-verdict", verdict.encode())])
