"""Stand-in callers: arrivals come when they come (open loop), whatever the answers do.

Each line of the report is one call: stream, machine, intended time, how long from then to the
answer, outcome code, verdict. The report is written at the end.
"""

from __future__ import annotations

import itertools
import json
import random
import signal
import sys

import trio
from returns.pipeline import is_successful

from meadowdock.client import Client
from meadowdock.runtime import (
    SECOND,
    HttpConnectionFailed,
    Net,
    deadline_scope,
    monotonic_us,
    sleep_us,
)


async def fetch(net, address, path, wait_us=SECOND):
    """(status, body) of one GET over a connection of its own; (0, b"") if there is no answer."""
    connection = net.http_connection(address)
    try:
        with deadline_scope(monotonic_us() + wait_us):
            status, _, body = await connection.request("GET", path, [], b"")
            return status, body
    except HttpConnectionFailed:
        pass
    finally:
        await connection.close()
    return 0, b""


class Callers:
    def __init__(self, spec):
        self.spec = spec
        self.rows = []
        self.rng = random.Random(spec["seed"])
        self.numbers = itertools.count(1)
        self.stop = trio.Event()
        self.zero = monotonic_us()
        self.ready, self.clients = {}, {}

    async def one(self, client, stream, proxy, intended):
        key = f"{self.spec['seed']}-{next(self.numbers)}" if stream.get("keyed") else None
        body = {"amount": 1} if stream["method"] == "POST" else None
        found = await client.call(stream["method"], stream["path"], body, key=key)
        took = monotonic_us() - intended
        if is_successful(found):
            code, verdict = str(found.unwrap().status), "ran"
        else:
            code, verdict = found.failure().code, found.failure().verdict.value
        self.rows.append([stream["name"], proxy, intended - self.zero, took, code, verdict, key])

    async def probe(self, proxy):
        """The platform: asks ready once a second, and sends callers elsewhere if it is not."""
        net = Net()
        while not self.stop.is_set():
            self.ready[proxy] = (await fetch(net, proxy, "/ready"))[0] == 200
            with trio.move_on_after(1):
                await self.stop.wait()

    async def read_tokens(self):
        """An endpoint that was replaced has another token; its calls go on under that one."""
        while not self.stop.is_set():
            with open(self.spec["facts"], encoding="utf-8") as file:
                self.tokens = json.load(file)["tokens"]
            with trio.move_on_after(0.2):
                await self.stop.wait()

    def client(self, proxy, others, token_host):
        """Where a call begins: on its own machine; if that isn't ready, on the next of its kind.
        A token is good on its own machine only."""
        token = self.tokens[token_host] if token_host else None
        places = [proxy] if token else [proxy, *others]
        place = next((p for p in places if self.ready.get(p, True)), proxy)
        if (place, token) not in self.clients:
            self.clients[place, token] = Client(Net(place.rpartition(":")[0]), place, token)
        return self.clients[place, token]

    async def arrivals(self, stream, proxy, rate, token_host, others):
        """Poisson arrivals for one stream at one machine."""
        intended = monotonic_us()
        async with trio.open_nursery() as nursery:
            while not self.stop.is_set():
                factor = self.factor(stream, monotonic_us() - self.zero)
                gap = self.rng.expovariate(max(rate * factor, 0.001)) * SECOND
                intended += int(gap)
                with trio.move_on_at(intended / SECOND):
                    await self.stop.wait()
                if not self.stop.is_set():
                    client = self.client(proxy, others, token_host)
                    nursery.start_soon(self.one, client, stream, proxy, intended)

    def factor(self, stream, at):
        """Rate multipliers over time: [[from_us, to_us, stream, factor], ...]."""
        return next(
            (
                factor
                for start, end, name, factor in self.spec.get("surges", [])
                if name == stream["name"] and start <= at < end
            ),
            1.0,
        )

    async def run(self):
        async with trio.open_nursery() as nursery:
            with open(self.spec["facts"], encoding="utf-8") as file:
                self.tokens = json.load(file)["tokens"]
            nursery.start_soon(self.read_tokens)
            for proxy in sorted({p for a in self.spec["arrivals"] for p in (a[1], *a[4])}):
                nursery.start_soon(self.probe, proxy)
            for arrival in self.spec["arrivals"]:
                nursery.start_soon(self.arrivals, *arrival)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
                with trio.move_on_after(self.spec["seconds"]):
                    async for _ in received:
                        break
            self.stop.set()
        with open(self.spec["report"], "w", encoding="utf-8") as report:
            json.dump(self.rows, report)
        await sleep_us(0)


async def main(spec):
    await Callers(spec).run()


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as file:
        SPEC = json.load(file)
    trio.run(main, SPEC)
