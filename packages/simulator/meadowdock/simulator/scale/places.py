"""The fleet size to plan for, and the layout and configuration of a fleet of n nodes."""

from __future__ import annotations

import math

# The planned fleet and its bounds. Bytes are those of frames, sent and received together, without
# the headers of TCP and IP.
TARGET = {
    "nodes": 1200,
    "services": 190,
    "calls_s": 55_000,
    "depth": 19,
    "added_us": 880,
    "zones": 6,
    "change_s": 11,
    "core_percent": 1.4,
    "memory_mb": 256,
    "kb_s": 11,
    "core": 5,
}
CORE, VOTERS = TARGET["core"], 3  # core machines; how many of them have a register member
ZONES = "abcdef"
HOSTS_PER_SUBNET = 200
# the endpoint timeout before and after a change of the configuration
INITIAL_WAIT_US, CHANGED_WAIT_US = 2_000_000, 1_900_000


def services_of(n: int) -> int:
    """Return how many services a fleet of n endpoints has."""
    return max(1, math.ceil(n * TARGET["services"] / TARGET["nodes"]))


def service_name(number: int) -> str:
    """Return the name of a service by its number."""
    return f"service-{number:03}"


def places(n: int, net: str = "10.0") -> tuple[list[str], dict[str, str], dict[str, str]]:
    """Return (core hosts, {application host: its service}, {host: zone}) of a fleet."""
    core = [f"{net}.0.{k + 1}" for k in range(CORE)]
    application = {}
    for k in range(n):
        host = f"{net}.{1 + k // HOSTS_PER_SUBNET}.{k % HOSTS_PER_SUBNET + 1}"
        application[host] = service_name(k % services_of(n))
    zones = {
        host: ZONES[k % len(ZONES)] for hosts in (core, application) for k, host in enumerate(hosts)
    }
    return core, application, zones


def manifest(n: int, wait_us: int = INITIAL_WAIT_US) -> dict:
    """Return a configuration with two routes for each service, which two services may call."""
    names = [service_name(k) for k in range(services_of(n))]
    stage = {"wait_us": 200_000, "tries": 1}
    budget = {
        "name": "std",
        "arrival": stage,
        "spill": stage,
        "endpoint": {"wait_us": wait_us, "tries": 1},
    }
    return {
        "services": [{"name": name, "identity": True, "echo": True} for name in names],
        "budgets": [budget],
        "ways": [
            route(names, k, method, repeat)
            for k in range(len(names))
            for method, repeat in (("GET", "safe"), ("POST", "once"))
        ],
        "load": {},
    }


def route(names: list[str], k: int, method: str, repeat: str) -> dict:
    """Return the route of one method of the k-th service."""
    service = names[k]
    callers = {names[k - 1], names[k - len(names) // 2 - 1]}
    return {
        "name": f"{service}-{method.lower()}",
        "callers": ["guest", *sorted(callers)],
        "service": service,
        "methods": [method],
        "path": f"/{service}",
        "repeat": repeat,
        "budget": "std",
    }
