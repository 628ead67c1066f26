"""Processor time and memory of a fleet in two real processes: the core's nodes, and the proxies."""

from __future__ import annotations

import multiprocessing
import statistics
import sys
import tempfile
import time

import trio

from meadowdock.simulator.scale.fleet import listed
from meadowdock.simulator.scale.loopback import Loopback, TaskTimes, measure_window, resident_mb
from meadowdock.simulator.scale.places import CHANGED_WAIT_US, CORE, INITIAL_WAIT_US, VOTERS

SETTLED_SHARE = 0.99  # of the endpoints, on the lists during the window
SWITCH_INTERVAL = 0.0005  # s


async def wait_for(check, within):
    """Wait in real time until check() is true; gives whether it is."""
    with trio.move_on_after(within):
        while not check():
            await trio.sleep(0.005)
    return check()


async def core_process(n, at, window, folder, ended):
    """All core nodes, until `ended` is set; gives what they cost in the window that begins at
    `at`."""
    times = TaskTimes()
    trio.lowlevel.add_instrument(times)
    base = resident_mb()
    async with trio.open_nursery() as nursery:
        loopback = Loopback(n, nursery, folder)
        for host in loopback.core:
            await loopback.start("mdreg", host)
        for host in loopback.core[:VOTERS]:
            await loopback.start("mdconf", host)
        found = await measure_window(loopback, at, window, times)
        nodes = loopback.nodes.values()
        collector = [
            node.settings.node_name for node in nodes if getattr(node.daemon, "epoch", None)
        ]
        while not ended.is_set():
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return {**found, "base_mb": base, "collector": collector}


async def proxy_process(n, at, window):
    """All proxies: what they cost in the window that begins at `at`, and one change."""
    times = TaskTimes()  # left idle: all nodes here are alike, and an instrument costs time itself
    base = resident_mb()
    async with trio.open_nursery() as nursery:
        loopback = Loopback(n, nursery, None)
        for host in loopback.application:
            await loopback.start("mdproxy", host)
        nodes = loopback.nodes.values()
        await trio.sleep(3)
        await loopback.configure(INITIAL_WAIT_US)
        before_window = max(0, at - time.time() - 1)
        await wait_for(lambda: all(listed(node.daemon) == n for node in nodes), before_window)
        late = max(0, time.time() - at)
        shares = []
        nursery.start_soon(watch_lists, nodes, n, shares)
        found = await measure_window(loopback, at, window, times)
        share = statistics.mean(shares)
        took = await change_seconds(loopback)
        links = statistics.mean(len(node.rpc.connections) for node in nodes)
        nursery.cancel_scope.cancel()
    return {
        **found,
        "base_mb": base,
        "listed_share": share,
        "late_s": late,
        "change_s": took,
        "links": links,
    }


async def watch_lists(nodes, n, shares):
    """Note again and again which share of the endpoints the proxies list."""
    while True:
        shares.append(statistics.mean(listed(node.daemon) / n for node in nodes))
        await trio.sleep(0.5)


async def change_seconds(loopback):
    """How long one change took to be in force on all proxies, or None."""
    begun = time.monotonic()
    version = await loopback.configure(CHANGED_WAIT_US)
    nodes = loopback.nodes.values()
    in_force = await wait_for(
        lambda: all(node.daemon.delivery.version >= version for node in nodes), 30
    )
    return time.monotonic() - begun if in_force else None


def in_process(work, pipe, *args):
    """Run `work` in this process and send what it gives, or how it broke."""
    sys.setswitchinterval(SWITCH_INTERVAL)
    try:
        pipe.send(trio.run(work, *args))
    except BaseException as cause:
        pipe.send({"broke": repr(cause)[:500]})
        raise


class Worker:
    """A process of ours that reports once."""

    def __init__(self, context, work, *args):
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(target=in_process, args=(work, theirs, *args), daemon=True)
        self.process.start()
        theirs.close()

    def report(self, deadline):
        """What it sent, or {"broke"}."""
        if self.pipe.poll(max(0, deadline - time.time())):
            try:
                return self.pipe.recv()
            except EOFError:
                pass
        return {"broke": "no report"}

    def end(self):
        """Wait for its end; kill it if that doesn't come."""
        self.process.join(5)
        if self.process.is_alive():
            self.process.kill()


def timed(n: int, window: float = 12.0) -> dict:
    """Processor time and memory at one size, in two processes on loopback addresses."""
    context = multiprocessing.get_context("spawn")
    ended = context.Event()
    at = time.time() + 14 + n / 10
    with tempfile.TemporaryDirectory() as folder:
        core_worker = Worker(context, core_process, n, at, window, folder, ended)
        proxy_worker = Worker(context, proxy_process, n, at, window)
        proxies = proxy_worker.report(at + window + 90)
        ended.set()
        core = core_worker.report(time.time() + 20)
        core_worker.end()
        proxy_worker.end()
    if "broke" in core or "broke" in proxies:
        return {"nodes": n, "broke": [core.get("broke"), proxies.get("broke")]}
    return summary(n, core, proxies)


def summary(n, core, proxies):
    """One row of docs/capacity.json from the reports of both processes."""
    proxy_kb_s = [cost["kb_s"] for cost in proxies["nodes"].values()]
    percents = core_percents(core)
    return {
        "nodes": n,
        "settled": proxies["listed_share"] >= SETTLED_SHARE and not proxies["late_s"],
        "listed_share": proxies["listed_share"],
        "change_s": proxies["change_s"],
        "proxy_percent": proxies["core_percent"] / n,
        "proxy_kb_s": statistics.mean(proxy_kb_s),
        "proxy_kb_s_most": max(proxy_kb_s),
        "proxy_mb": (proxies["resident_mb"] - proxies["base_mb"]) / n,
        "base_mb": proxies["base_mb"],
        "links": proxies["links"],
        "core_mb": (core["resident_mb"] - core["base_mb"]) / (CORE + VOTERS),
        "process_percent": {"proxies": proxies["core_percent"], "core": core["core_percent"]},
        **{
            f"{role}_percent": statistics.mean(values) if values else None
            for role, values in percents.items()
        },
    }


def core_percents(core):
    """Percent of a core of each core node, by role; the collector apart."""
    percents = {"mdreg": [], "collector": [], "mdconf": []}
    for name, cost in core["nodes"].items():
        role = "collector" if name in core["collector"] else name.partition("@")[0]
        percents[role].append(cost["core_percent"])
    return percents
