"""Builders of configuration items for tests."""

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
    full_spec = {
        "host": host,
        "prefix": prefix,
        "repeat": "safe",
        "timeout_us": 2_000_000,
        "tries": 2,
        "split": [[s, 10] for s in services],
        **spec,
    }
    return {
        "kind": "route",
        "name": name,
        "version": version,
        "spec": full_spec,
        "source": f"<{name}>",
    }


def limits(version=1, **spec):
    full_spec = {"header_bytes": 9, "body_bytes": 8, "header_us": 7, "idle_us": 6, **spec}
    return {"kind": "limits", "name": "", "version": version, "spec": full_spec, "source": "<>"}


def removed_item(item, version):
    """Return the item that removes another."""
    return {**item, "version": version, "spec": None}
