"""What a proxy believes of an endpoint, set by hand."""

from __future__ import annotations

from item_builders import route

from meadowdock.runtime import MILLISECOND, SECOND

LOW = route("low", prefix="/low/", priority=3, aim_us=SECOND)


HIGH = route("high", prefix="/high/", priority=0, aim_us=SECOND)


LONG = route("long", prefix="/long/", priority=3, timeout_us=20 * SECOND)


def hosts(world):
    return list(world.application)


def hold(world):
    """From here on the load and the lists are the test's own."""
    for host in hosts(world):
        daemon = world.daemon("mdproxy", host)
        daemon.endpoints.measure_load = lambda at, share: {}
        daemon.use_load_list = lambda load_list, nodes: None


def believe_hold(gate, mean_us, service="desk"):
    """The gate's estimate of how long a call of whatever kind holds a slot."""
    for prefixes in gate.table.routes.values():
        for known in prefixes.values():
            hold = gate.admission.estimates(service).hold_time(known.name)
            hold.has_samples, hold.mean_us, hold.deviation_us = True, mean_us, 0


def works(**by_first):
    """work_us by the first part of a call's path, in milliseconds."""
    return lambda job: by_first.get(job.target.split(b"/")[1].decode(), 10) * MILLISECOND
