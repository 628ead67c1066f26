"""Builders of manifests, the operators' form of a configuration, for tests."""

from __future__ import annotations


def stage(wait_us, tries=1):
    """Return the waiting time and number of tries of one stage of a budget."""
    return {"wait_us": wait_us, "tries": tries}


def budget(name="std", arrival=300_000, spill=200_000, endpoint=2_000_000, tries=1):
    """Return a budget: a time limit in microseconds and a number of tries for each stage."""
    return {
        "name": name,
        "arrival": stage(arrival, tries),
        "spill": stage(spill, tries),
        "endpoint": stage(endpoint, tries),
    }


def manifest_route(
    name, path, service="desk", callers=("guest",), methods=("GET",), repeat="safe", budget="std"
):
    """Return a route."""
    return {
        "name": name,
        "callers": list(callers),
        "service": service,
        "methods": list(methods),
        "path": path,
        "repeat": repeat,
        "budget": budget,
    }


def manifest(ways=None, services=("desk", "paper"), **load):
    """Return a manifest with the given routes, or with four routes to two services."""
    return {
        "services": [{"name": s, "identity": True, "echo": True} for s in services],
        "budgets": [budget()],
        "ways": ways
        or [
            manifest_route("balances", "/balances"),
            manifest_route("withdrawals", "/withdrawals", methods=("POST",), repeat="once"),
            manifest_route("ledger", "/ledger", callers=("paper",)),
            manifest_route("statements", "/statements", service="paper"),
        ],
        "load": load,
    }
