"""Set the load reports and hold times that the gateways of a test assume."""

from __future__ import annotations

from item_builders import route

from meadowdock.runtime import MILLISECOND, SECOND

LOW = route("low", prefix="/low/", priority=3, aim_us=SECOND)
HIGH = route("high", prefix="/high/", priority=0, aim_us=SECOND)
LONG = route("long", prefix="/long/", priority=3, timeout_us=20 * SECOND)


def hosts(world):
    return list(world.application)


def suppress_load_reports(world):
    """Stop all proxies from measuring their load and from using load lists.

    From then on a test sets the load of each service itself.
    """
    for host in hosts(world):
        daemon = world.daemon("mdproxy", host)
        daemon.endpoints.measure_load = lambda at, share: {}
        daemon.use_load_list = lambda load_list, nodes: None


def set_hold_time(gateway, mean_us, service="desk"):
    """Set a gateway's estimate of the time for which a call of any route holds a slot."""
    for routes_by_prefix in gateway.table.routes.values():
        for known_route in routes_by_prefix.values():
            estimate = gateway.admission.estimates(service).hold_time(known_route.name)
            estimate.has_samples, estimate.mean_us, estimate.deviation_us = True, mean_us, 0


def work_us_by_path(**milliseconds):
    """Return a function from a request to its work time: by the first segment of its path, or 10 ms."""
    return lambda job: milliseconds.get(job.target.split(b"/")[1].decode(), 10) * MILLISECOND
