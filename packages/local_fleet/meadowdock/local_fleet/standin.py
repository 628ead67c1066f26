"""A stand-in endpoint with adjustable service time, load, malformed and lost responses.

It writes a journal of the calls with an idempotency key that it executed.
"""

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
    "garbage": 0.0,  # share of responses that are not valid JSON
    "lose": 0.0,  # share of calls whose connection is closed after the execution, without response
    "busy": False,  # reject calls with status 503 and the verdict not-run
    "load": None,  # the reported load; None: no load is reported
    "draining": False,  # report in heartbeats that it is draining
}


class LostResponse(Exception):
    """Make the endpoint close the connection without a response."""


class Standin:
    """A stand-in endpoint.

    At most `capacity` calls are executed at the same time; others wait for a slot.
    Invariant: executions counts executions by key; a call is counted and written to the journal
    before its response is sent.
    """

    def __init__(self, spec):
        self.knobs = {**KNOBS, "mean_us": spec["mean_us"]}
        self.rng = random.Random(spec["seed"])
        self.executions, self.execution_count = {}, 0
        self.journal = open(spec["journal"], "a", buffering=1, encoding="utf-8")  # noqa: SIM115
        self.service = spec["service"]
        self.slots = trio.CapacityLimiter(spec["capacity"])

    async def handle(self, request):
        """Handle a call, or read or set the knobs at /standin."""
        if request.path == "/standin" and request.method == "POST":
            self.knobs.update(request.body)
            if self.knobs["draining"]:
                self.endpoint.draining = True
                await self.endpoint.send_heartbeat()
            return 200, self.knobs
        if request.path == "/standin":
            twice = sum(1 for count in self.executions.values() if count > 1)
            return 200, {"ran": self.execution_count, "keys": len(self.executions), "twice": twice}
        if self.knobs["busy"]:
            return 503, {"code": "busy"}
        async with self.slots:
            await sleep_us(int(self.rng.expovariate(1 / self.knobs["mean_us"])))
            self.execution_count += 1
            if request.key:
                self.executions[request.key] = self.executions.get(request.key, 0) + 1
                entry = {
                    "key": request.key,
                    "caller": request.caller,
                    "path": request.path,
                    "call": request.call_id,
                }
                self.journal.write(json.dumps(entry) + "\n")
        if self.rng.random() < self.knobs["lose"]:
            raise LostResponse
        if self.rng.random() < self.knobs["garbage"]:
            return 200, b'{"half": '
        return 200, {"service": self.service, "caller": request.caller, "path": request.path}

    async def run(self, spec):
        """Enroll at the proxy, print the token, and serve until a signal; then drain and leave."""
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
    """Run the endpoint that a spec describes."""
    await Standin(spec).run(spec)


if __name__ == "__main__":
    trio.run(main, json.loads(sys.argv[1]))
