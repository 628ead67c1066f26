"""An endpoint's record of run-once calls: a key runs once, and is answered from the record after.

>>> import trio
>>> from meadowdock.runtime import MemoryDisk
>>> async def twice(record, got):
...     async def work(got):
...         return 200, {"balance": 5}
...     return [(await record.answer(got, work)).status for _ in range(2)], len(record.known)
>>> got = Got("POST", "/w", "", "guest", "k1", "c1", 0, {"amount": 1})
>>> trio.run(twice, Record(MemoryDisk()), got)
([200, 200], 1)
"""

from __future__ import annotations

import json
from collections import OrderedDict
from dataclasses import dataclass

import ormsgpack

from meadowdock.admin_http import Response
from meadowdock.runtime import MemoryDisk, fingerprint, sealed, unsealed

MOST = 10_000


@dataclass(frozen=True)
class Got:
    """A call as the endpoint gets it. caller is the name that the mesh vouches for; repeat is
    the caller's word that it may have sent this key before."""

    method: str
    path: str
    query: str
    caller: str
    key: str | None
    call: str
    due_us: int
    body: object
    repeat: bool = False


@dataclass(frozen=True)
class Kept:
    # Invariant: status is None from before the work begins until its answer is on the disk; what
    # a former process left so may have run, and is never run again.
    of: str  # fingerprint of the request's content
    number: int
    status: int | None = None
    body: bytes = b""


def said(status, code, verdict):
    return Response(status, {"code": code, "verdict": verdict}, [(b"md-verdict", verdict.encode())])


class Record:
    """Invariants: a key is on the disk before its work begins; known is in order of number, holds
    what the disk holds, and at most `most` keys: the oldest finished ones are forgotten first."""

    def __init__(self, disk=None, most=MOST):
        self.disk, self.most = disk or MemoryDisk(), most
        self.known = None
        self.number = 0

    async def load(self):
        found = []
        for name in await self.disk.names("key"):
            body = unsealed(await self.disk.read(f"key/{name}"))
            # of a bad file: something was begun under this key, and nobody can tell what
            kept = Kept("", 0) if body is None else Kept(*ormsgpack.unpackb(body))
            found.append((name, kept))
        self.known = OrderedDict(sorted(found, key=lambda pair: pair[1].number))
        self.number = max((kept.number for kept in self.known.values()), default=0)

    async def answer(self, got, work):
        """The reply to a keyed call: work's own, the recorded one, or that it may have run."""
        if self.known is None:
            await self.load()
        name = fingerprint(f"{got.caller}\0{got.key}".encode())
        parts = [got.method, got.path, got.query, got.body]
        of = fingerprint(json.dumps(parts, sort_keys=True).encode())
        kept = self.known.get(name)
        if kept is not None:
            if kept.of != of and kept.of:
                return said(422, "key_mismatch", "not-run")
            if kept.status is None:
                return said(409, "key_may_have_run", "may-have-run")
            return Response(kept.status, kept.body)
        if got.repeat:
            return said(409, "key_may_have_run", "may-have-run")  # it may have run elsewhere
        self.number += 1
        kept = self.known[name] = Kept(of, self.number)
        await self.keep(name, kept)
        status, body = await work(got)
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        kept = Kept(of, kept.number, status, data)
        await self.keep(name, kept)
        self.known[name] = kept
        await self.forget()
        return Response(status, data)

    async def keep(self, name, kept):
        body = ormsgpack.packb([kept.of, kept.number, kept.status, kept.body])
        await self.disk.write(f"key/{name}", sealed(body))

    async def forget(self):
        while len(self.known) > self.most:
            done = (n for n, kept in self.known.items() if kept.status is not None)
            oldest = next(done, None)
            if oldest is None:
                return
            del self.known[oldest]
            await self.disk.remove(f"key/{oldest}")
