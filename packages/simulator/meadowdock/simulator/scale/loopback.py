"""Nodes of a fleet over loopback sockets, all in one process, and the measurement of their cost."""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from contextvars import ContextVar

import trio

from meadowdock.logs import Log
from meadowdock.process import Node
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    Disk,
    Net,
    NoDisk,
    Runtime,
    monotonic_us,
    sleep_us,
)
from meadowdock.settings import validate_settings
from meadowdock.simulator.scale.fleet import stand_in
from meadowdock.simulator.scale.meter import ANY_METHOD, ByteMeteredStream, Meter, metered_net
from meadowdock.simulator.scale.places import VOTERS, manifest, places
from meadowdock.simulator.world import DAEMON_CLASSES, KEY

current_node = ContextVar("current_node", default=None)
LOOPBACK_SUBNET = "127.91"
OPERATE_WITHIN_US = 40 * SECOND


class TaskTimes(trio.abc.Instrument):
    """An instrument that sums the processor time of each node's tasks, in ns."""

    def __init__(self):
        self.spent, self.step_begun = Counter(), 0

    def before_task_step(self, task):
        self.step_begun = time.thread_time_ns()

    def after_task_step(self, task):
        self.spent[task.context.get(current_node)] += time.thread_time_ns() - self.step_begun


def resident_mb():
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Loopback:
    """Some nodes of a fleet on 127.x addresses, all in this process."""

    def __init__(self, n, nursery, folder):
        self.core, self.application, self.zones = places(n, LOOPBACK_SUBNET)
        self.n, self.nursery, self.folder, self.nodes = n, nursery, folder, {}
        self.meter, self.net = Meter(), metered_net(Net, ByteMeteredStream)
        self.log = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115

    def boot(self, role, host):
        """Return the validated boot settings of a node."""
        settings = {
            "host": host,
            "hall": self.zones[host],
            "seeds": [f"{seed}:7411" for seed in self.core[:3]],
            "fleet_key": KEY,
            "nodes_expected": self.n,
        }
        if role == "mdconf":
            data = os.path.join(self.folder, host)
            settings |= {"data": data, "members": [f"{h}:7421" for h in self.core[:VOTERS]]}
        return validate_settings(role, settings)

    async def start(self, role, host):
        """Start a node and wait until it is up."""
        boot = self.boot(role, host)
        net = self.net(host)
        net.meter, net.node = self.meter, boot.node_name
        runtime = Runtime(net, Disk(boot.data) if boot.data else NoDisk())
        up = trio.Event()

        async def work():
            current_node.set(boot.node_name)
            async with trio.open_nursery() as nursery:
                node = Node(boot, runtime, nursery, Log(boot.node_name, self.log))
                await nursery.start(node.run, DAEMON_CLASSES[role])
                self.nodes[boot.node_name] = node
                if role == "mdproxy":
                    nursery.start_soon(stand_in, node, self.application[host])
                up.set()

        self.nursery.start_soon(work)
        await up.wait()

    async def configure(self, wait_us):
        """Plan and confirm a configuration as an operator; return its version."""
        body = json.dumps(manifest(self.n, wait_us)).encode()
        plan = (await self.operate("/plan", body))["plan"]
        return (await self.operate("/confirm", json.dumps({"plan": plan}).encode()))["version"]

    async def operate(self, path, body):
        """Send a request to the first core machine, with retries until it succeeds.

        :raises RuntimeError: if none succeeded within OPERATE_WITHIN_US.
        """
        address, client_host = f"{self.core[0]}:7420", next(iter(self.application))
        deadline = monotonic_us() + OPERATE_WITHIN_US
        while monotonic_us() < deadline:
            answer = await Net(client_host).http_connection(address).request("POST", path, [], body)
            if answer[0] == 200:
                return json.loads(answer[2])
            await sleep_us(200 * MILLISECOND)
        raise RuntimeError(f"{path} did not succeed in time; last answer: {answer}")


async def measure_window(loopback, at, window, times):
    """Sleep until `at`, then measure processor time and bytes of one window."""
    await trio.sleep(max(0, at - time.time()))
    cpu, spent = time.process_time(), Counter(times.spent)
    bytes_before = Counter(loopback.meter.bytes)
    begun = time.monotonic()
    await trio.sleep(window)
    seconds, cpu = time.monotonic() - begun, time.process_time() - cpu
    steps = times.spent - spent
    # the event loop's own work is shared out in proportion to the tasks' times
    scale = cpu * 1e9 / max(1, sum(steps.values()))
    sizes = loopback.meter.bytes - bytes_before
    nodes = {
        name: {
            "core_percent": steps[name] * scale / 1e7 / seconds,
            "kb_s": bytes_both_ways(sizes, name) / 1000 / seconds,
        }
        for name in loopback.nodes
    }
    return {"core_percent": 100 * cpu / seconds, "resident_mb": resident_mb(), "nodes": nodes}


def bytes_both_ways(sizes, name):
    """Return the bytes that a node sent and received."""
    return sum(sizes[name, ANY_METHOD, direction] for direction in ("sent", "received"))
