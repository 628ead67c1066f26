"""Processor time and memory of a fleet in two real processes: the core's nodes, and the proxies."""

from __future__ import annotations

import multiprocessing
import statistics
import sys
import tempfile
import time

import trio

from meadowdock.simulator.scale.fleet import listed_endpoints
from meadowdock.simulator.scale.loopback import Loopback, TaskTimes, measure_window, resident_mb
from meadowdock.simulator.scale.places import CHANGED_WAIT_US, CORE, INITIAL_WAIT_US, VOTERS

SETTLED_SHARE = 0.99  # of the endpoints must be on the lists during the window
SWITCH_INTERVAL_S = 0.0005


async def wait_for(check, within):
    """Wait in real time until check() is true or the time is up; return the last check()."""
    with trio.move_on_after(within):
        while not check():
            await trio.sleep(0.005)
    return check()


async def core_process(n, at, window, folder, ended):
    """Run all core nodes until `ended` is set; return their cost in the window from `at` on."""
    times = TaskTimes()
    trio.lowlevel.add_instrument(times)
    base = resident_mb()
    async with trio.open_nursery() as nursery:
        loopback = Loopback(n, nursery, folder)
        for host in loopback.core:
            await loopback.start("mdreg", host)
        for host in loopback.core[:VOTERS]:
            await loopback.start("mdconf", host)
        window_cost = await measure_window(loopback, at, window, times)
        nodes = loopback.nodes.values()
        collector = [
            node.settings.node_name for node in nodes if getattr(node.daemon, "epoch", None)
        ]
        while not ended.is_set():
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return {**window_cost, "base_mb": base, "collector": collector}


async def proxy_process(n, at, window):
    """Run all proxies; return their cost in the window from `at` on, and the time of one change."""
    times = TaskTimes()  # not installed: all nodes are alike here, and an instrument costs time
    base = resident_mb()
    async with trio.open_nursery() as nursery:
        loopback = Loopback(n, nursery, None)
        for host in loopback.application:
            await loopback.start("mdproxy", host)
        nodes = loopback.nodes.values()
        await trio.sleep(3)
        await loopback.configure(INITIAL_WAIT_US)
        before_window = max(0, at - time.time() - 1)
        await wait_for(
            lambda: all(listed_endpoints(node.daemon) == n for node in nodes), before_window
        )
        late = max(0, time.time() - at)
        shares = []
        nursery.start_soon(watch_lists, nodes, n, shares)
        window_cost = await measure_window(loopback, at, window, times)
        share = statistics.mean(shares)
        took = await change_seconds(loopback)
        links = statistics.mean(len(node.rpc.connections) for node in nodes)
        nursery.cancel_scope.cancel()
    return {
        **window_cost,
        "base_mb": base,
        "listed_share": share,
        "late_s": late,
        "change_s": took,
        "links": links,
    }


async def watch_lists(nodes, n, shares):
    """Append the share of the endpoints that the proxies list, every 0.5 s."""
    while True:
        shares.append(statistics.mean(listed_endpoints(node.daemon) / n for node in nodes))
        await trio.sleep(0.5)


async def change_seconds(loopback):
    """Return how long one change took to be in force on all proxies, or None if it was not."""
    begun = time.monotonic()
    version = await loopback.configure(CHANGED_WAIT_US)
    nodes = loopback.nodes.values()
    in_force = await wait_for(
        lambda: all(node.daemon.delivery.version >= version for node in nodes), 30
    )
    return time.monotonic() - begun if in_force else None


def run_and_report(work, pipe, *args):
    """Run `work` in this process and send its result, or {"broke": its error}."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        pipe.send(trio.run(work, *args))
    except BaseException as cause:
        pipe.send({"broke": repr(cause)[:500]})
        raise


class Worker:
    """A child process that reports once."""

    def __init__(self, context, work, *args):
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(
            target=run_and_report, args=(work, theirs, *args), daemon=True
        )
        self.process.start()
        theirs.close()

    def report(self, deadline):
        """Return the process's report, or {"broke": ...} if there is none in time."""
        if self.pipe.poll(max(0, deadline - time.time())):
            try:
                return self.pipe.recv()
            except EOFError:
                pass
        return {"broke": "no report"}

    def end(self):
        """Wait until the process ends; kill it after 5 s."""
        self.process.join(5)
        if self.process.is_alive():
            self.process.kill()


def measure_processes(n: int, window: float = 12.0) -> dict:
    """Measure processor time and memory at one size, in two processes on loopback addresses."""
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
    """Return one row of docs/capacity.json from the reports of both processes."""
    proxy_kb_s = [cost["kb_s"] for cost in proxies["nodes"].values()]
    percents = percents_by_role(core)
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


def percents_by_role(core):
    """Return the core nodes' percentages of a processor core by role, the collector's apart."""
    percents = {"mdreg": [], "collector": [], "mdconf": []}
    for name, cost in core["nodes"].items():
        role = "collector" if name in core["collector"] else name.partition("@")[0]
        percents[role].append(cost["core_percent"])
    return percents
