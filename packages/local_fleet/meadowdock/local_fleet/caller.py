"""Stand-in callers with an open-loop load: the arrival of calls doesn't depend on the responses.

Each row of the report is one call: stream, proxy, intended start, time from then to the response,
outcome code, verdict, idempotency key. The report is written at the end.
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
    """Send a GET request over a connection of its own and return (status, body).

    Return (0, b"") if there is no response in time.
    """
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
    """The callers of one process, as its spec describes them."""

    def __init__(self, spec):
        self.spec = spec
        self.rows = []
        self.rng = random.Random(spec["seed"])
        self.key_numbers = itertools.count(1)
        self.stop = trio.Event()
        self.started_us = monotonic_us()
        self.ready, self.clients = {}, {}

    async def call(self, client, stream, proxy, intended_us):
        """Make one call and add its row to the report."""
        key = f"{self.spec['seed']}-{next(self.key_numbers)}" if stream.get("keyed") else None
        body = {"amount": 1} if stream["method"] == "POST" else None
        result = await client.call(stream["method"], stream["path"], body, key=key)
        duration_us = monotonic_us() - intended_us
        if is_successful(result):
            code, verdict = str(result.unwrap().status), "ran"
        else:
            code, verdict = result.failure().code, result.failure().verdict.value
        self.rows.append(
            [stream["name"], proxy, intended_us - self.started_us, duration_us, code, verdict, key]
        )

    async def probe(self, proxy):
        """Check once a second whether a proxy is ready, as the platform does."""
        net = Net()
        while not self.stop.is_set():
            self.ready[proxy] = (await fetch(net, proxy, "/ready"))[0] == 200
            with trio.move_on_after(1):
                await self.stop.wait()

    async def read_tokens(self):
        """Read the tokens again and again: an endpoint that was replaced has a new token."""
        while not self.stop.is_set():
            with open(self.spec["facts"], encoding="utf-8") as file:
                self.tokens = json.load(file)["tokens"]
            with trio.move_on_after(0.2):
                await self.stop.wait()

    def client(self, proxy, others, token_host):
        """Return a client of the caller's own proxy, or of the first ready one if that is not.

        A token is valid at its own machine only, so a caller with a token has no other proxies.
        """
        token = self.tokens[token_host] if token_host else None
        candidates = [proxy] if token else [proxy, *others]
        chosen = next((address for address in candidates if self.ready.get(address, True)), proxy)
        if (chosen, token) not in self.clients:
            self.clients[chosen, token] = Client(Net(chosen.rpartition(":")[0]), chosen, token)
        return self.clients[chosen, token]

    async def generate_arrivals(self, stream, proxy, rate, token_host, others):
        """Start the calls of one stream at one machine as a Poisson process."""
        intended_us = monotonic_us()
        async with trio.open_nursery() as nursery:
            while not self.stop.is_set():
                factor = self.rate_factor(stream, monotonic_us() - self.started_us)
                gap_us = self.rng.expovariate(max(rate * factor, 0.001)) * SECOND
                intended_us += int(gap_us)
                with trio.move_on_at(intended_us / SECOND):
                    await self.stop.wait()
                if not self.stop.is_set():
                    client = self.client(proxy, others, token_host)
                    nursery.start_soon(self.call, client, stream, proxy, intended_us)

    def rate_factor(self, stream, elapsed_us):
        """Return the factor of a stream's rate at a time.

        The surges of the spec are [[from_us, to_us, stream, factor], ...].
        """
        return next(
            (
                factor
                for start, end, name, factor in self.spec.get("surges", [])
                if name == stream["name"] and start <= elapsed_us < end
            ),
            1.0,
        )

    async def run(self):
        """Make calls for the time that the spec gives, or until a signal; write the report."""
        async with trio.open_nursery() as nursery:
            with open(self.spec["facts"], encoding="utf-8") as file:
                self.tokens = json.load(file)["tokens"]
            nursery.start_soon(self.read_tokens)
            proxies = {proxy for entry in self.spec["arrivals"] for proxy in (entry[1], *entry[4])}
            for proxy in sorted(proxies):
                nursery.start_soon(self.probe, proxy)
            for entry in self.spec["arrivals"]:
                nursery.start_soon(self.generate_arrivals, *entry)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
                with trio.move_on_after(self.spec["seconds"]):
                    async for _ in received:
                        break
            self.stop.set()
        with open(self.spec["report"], "w", encoding="utf-8") as report:
            json.dump(self.rows, report)
        await sleep_us(0)


async def main(spec):
    """Run the callers that a spec describes."""
    await Callers(spec).run()


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as file:
        SPEC = json.load(file)
    trio.run(main, SPEC)
