"""A stand-in endpoint: adjustable speed, load, garbage, lost answers; a journal of what it ran."""

from __future__ import annotations

import json
import random
import signal
import sys

import trio

from meadowdock.client import Endpoint, ExecutionRecord
from meadowdock.runtime import Disk, Net, sleep_us

KNOBS = {
    "mean_us": 20_000,  # mean service time, exponential
    "garbage": 0.0,  # share of answers that are no JSON
    "lose": 0.0,  # share of answers whose connection breaks after the work
    "busy": False,  # answer 503 with the verdict not-run
    "load": None,  # the load that is told
    "draining": False,  # it announces that it leaves
}


class Lose(Exception):
    pass


class Standin:
    """Invariant: ran counts executions by key; a call is counted and journalled before its
    answer leaves. Only `slots` calls are worked on at once; others wait, as at a real server."""

    def __init__(self, spec):
        self.knobs = {**KNOBS, "mean_us": spec["mean_us"]}
        self.rng = random.Random(spec["seed"])
        self.ran, self.total = {}, 0
        self.journal = open(spec["journal"], "a", buffering=1, encoding="utf-8")  # noqa: SIM115
        self.service = spec["service"]
        self.slots = trio.CapacityLimiter(spec["capacity"])

    async def handle(self, got):
        if got.path == "/standin" and got.method == "POST":
            self.knobs.update(got.body)
            if self.knobs["draining"]:
                self.endpoint.draining = True
                await self.endpoint.send_heartbeat()
            return 200, self.knobs
        if got.path == "/standin":
            twice = sum(1 for n in self.ran.values() if n > 1)
            return 200, {"ran": self.total, "keys": len(self.ran), "twice": twice}
        if self.knobs["busy"]:
            return 503, {"code": "busy"}
        async with self.slots:
            await sleep_us(int(self.rng.expovariate(1 / self.knobs["mean_us"])))
            self.total += 1
            if got.key:
                self.ran[got.key] = self.ran.get(got.key, 0) + 1
                line = {"key": got.key, "caller": got.caller, "path": got.path, "call": got.call_id}
                self.journal.write(json.dumps(line) + "\n")
        if self.rng.random() < self.knobs["lose"]:
            raise Lose
        if self.rng.random() < self.knobs["garbage"]:
            return 200, b'{"half": '
        return 200, {"service": self.service, "caller": got.caller, "path": got.path}

    async def run(self, spec):
        net = Net(spec["address"].rpartition(":")[0])
        endpoint = self.endpoint = Endpoint(
            net,
            spec["service"],
            spec["address"],
            spec["proxy"],
            spec["incarnation"],
            self.handle,
            spec["capacity"],
            lambda: self.knobs["load"],
            ExecutionRecord(Disk(spec["record"])),
        )
        stopping = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(endpoint.serve, stopping)
            nursery.start_soon(endpoint.run)
            await endpoint.enrolled.wait()
            print(json.dumps({"token": endpoint.token}), flush=True)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
                async for _ in received:
                    break
            await endpoint.drain()
            await endpoint.deregister()
            stopping.set()
            nursery.cancel_scope.cancel()


async def main(spec):
    await Standin(spec).run(spec)


if __name__ == "__main__":
    trio.run(main, json.loads(sys.argv[1]))
