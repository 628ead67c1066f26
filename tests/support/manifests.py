"""Manifests for tests."""

from __future__ import annotations


def stage(wait_us, tries=1):
    return {"wait_us": wait_us, "tries": tries}


def budget(name="std", arrival=300_000, spill=200_000, endpoint=2_000_000, tries=1):
    return {
        "name": name,
        "arrival": stage(arrival, tries),
        "spill": stage(spill, tries),
        "endpoint": stage(endpoint, tries),
    }


def manifest_route(
    name, path, service="desk", callers=("guest",), methods=("GET",), repeat="safe", budget="std"
):
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
