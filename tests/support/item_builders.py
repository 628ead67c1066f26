"""Items of a configuration, built with short calls."""

from __future__ import annotations


def service(name, version=1, **spec):
    return {
        "kind": "service",
        "name": name,
        "version": version,
        "spec": spec,
        "source": f"<{name}>",
    }


def route(name, version=1, services=("desk",), host="h.example", prefix="/p/", **spec):
    whole = {
        "host": host,
        "prefix": prefix,
        "repeat": "safe",
        "timeout_us": 2_000_000,
        "tries": 2,
        "split": [[s, 10] for s in services],
        **spec,
    }
    return {"kind": "route", "name": name, "version": version, "spec": whole, "source": f"<{name}>"}


def limits(version=1, **spec):
    whole = {"header_bytes": 9, "body_bytes": 8, "header_us": 7, "idle_us": 6, **spec}
    return {"kind": "limits", "name": "", "version": version, "spec": whole, "source": "<>"}


def removed_item(item, version):
    return {**item, "version": version, "spec": None}
