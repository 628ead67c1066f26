"""Items in force: the lookup of a call's route."""

from __future__ import annotations

from copy import copy
from typing import NamedTuple


class Route(NamedTuple):
    name: str
    version: int
    host: bytes  # lower case
    prefix: bytes  # begins and ends with "/"
    repeatable: bool
    timeout_us: int
    aim_us: int  # 0: none
    priority: int  # 0 is the highest
    tries: int  # endpoints that one call may be sent to
    split: tuple  # of (service, weight)


class Limits(NamedTuple):
    header_bytes: int
    body_bytes: int
    header_us: int
    idle_us: int


DEFAULT_LIMITS = Limits(32_768, 16 << 20, 10_000_000, 60_000_000)


def route_of(item):
    spec = item["spec"]
    return Route(
        item["name"],
        item["version"],
        spec["host"].lower().encode(),
        spec["prefix"].encode(),
        spec["repeat"] == "safe",
        spec["timeout_us"],
        spec.get("aim_us", 0),
        spec.get("priority", 0),
        spec["tries"],
        tuple((service, weight) for service, weight in spec["split"]),
    )


class ParsedChunk(NamedTuple):
    """What the items of one chunk mean. Never changed once made."""

    routes: tuple
    services: dict
    limits: Limits | None


def parse_chunk(items):
    routes, services, limits = [], {}, None
    for item in items:
        spec = item["spec"]
        if spec is None:
            continue
        if item["kind"] == "route":
            routes.append(route_of(item))
        elif item["kind"] == "service":
            services[item["name"]] = spec
        else:
            limits = Limits(*(spec[field] for field in Limits._fields))
    return ParsedChunk(tuple(routes), services, limits)


class Table:
    """The items of one version. Invariants: never changed once made; it is what its chunks say.
    Dropped items are left out; of two routes with one host and prefix the one with the higher
    version is found."""

    def __init__(self, version, items):
        self.version = 0
        self.chunks, self.routes = {}, {}
        self.fill(version, {None: parse_chunk(items)})

    def with_chunks(self, version, chunks):
        """The table of these chunks, {name: ParsedChunk} in order. Only hosts of routes that came
        or went are looked at again."""
        made = copy(self)
        made.fill(version, chunks)
        return made

    def fill(self, version, chunks):
        former, self.version, self.chunks = self.chunks, version, chunks
        gone = {r for name in former.keys() - chunks.keys() for r in former[name].routes}
        come = {r for name in chunks.keys() - former.keys() for r in chunks[name].routes}
        hosts = {route.host for route in gone ^ come}
        self.routes = {host: p for host, p in self.routes.items() if host not in hosts}
        routes = [r for chunk in chunks.values() for r in chunk.routes if r.host in hosts]
        for route in sorted(routes, key=lambda r: (r.version, r.name)):
            self.routes.setdefault(route.host, {})[route.prefix] = route
        self.services = {n: s for chunk in chunks.values() for n, s in chunk.services.items()}
        self.limits = next((c.limits for c in chunks.values() if c.limits), DEFAULT_LIMITS)

    def find(self, host, path):
        """The route with the longest prefix that begins the path, or None. host: without port,
        lower case. path may carry its query.

        >>> split = [["a", 1]]
        >>> spec = {"host": "H", "repeat": "safe", "timeout_us": 1, "tries": 1, "split": split}
        >>> item = {"kind": "route", "version": 1, "source": ""}
        >>> table = Table(1, [{**item, "name": p, "spec": {**spec, "prefix": p}}
        ...                   for p in ("/", "/a/b/")])
        >>> [table.find(b"h", p).name for p in (b"/a/b", b"/a/b/", b"/a/b/c/d", b"/a?x=/a/b/")]
        ['/', '/a/b/', '/a/b/', '/']
        >>> table.find(b"other", b"/")
        """
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        query = path.find(b"?")
        slash = path.rfind(b"/") if query < 0 else path.rfind(b"/", 0, query)
        while slash >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind(b"/", 0, slash)
        return None
