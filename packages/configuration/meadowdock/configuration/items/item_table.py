"""The items of one version in the form in which calls look them up: routes by host and prefix,
services, and limits."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import copy
from typing import Any, NamedTuple

from meadowdock.configuration.items.validation import Item


class ItemRoute(NamedTuple):
    """Where calls to a host and prefix go."""

    name: str
    version: int
    host: bytes  # lower case
    prefix: bytes  # begins and ends with "/"
    repeatable: bool  # idempotent: may be retried after its outcome was unknown
    timeout_us: int
    aim_us: int  # the latency target; 0: none
    priority: int  # 0 is the highest
    tries: int  # endpoints that one call may be sent to
    split: tuple[tuple[str, float], ...]  # services and their weights


class Limits(NamedTuple):
    """Limits of the connections and requests of callers."""

    header_bytes: int
    body_bytes: int
    header_us: int  # until the head of a request is complete
    idle_us: int  # between two requests


DEFAULT_LIMITS = Limits(
    header_bytes=32_768, body_bytes=16 << 20, header_us=10_000_000, idle_us=60_000_000
)


def parse_route(item: Item) -> ItemRoute:
    """The route that an item sets."""
    spec = item["spec"]
    return ItemRoute(
        name=item["name"],
        version=item["version"],
        host=spec["host"].lower().encode(),
        prefix=spec["prefix"].encode(),
        repeatable=spec["repeat"] == "safe",
        timeout_us=spec["timeout_us"],
        aim_us=spec.get("aim_us", 0),
        priority=spec.get("priority", 0),
        tries=spec["tries"],
        split=tuple((service, weight) for service, weight in spec["split"]),
    )


class ParsedChunk(NamedTuple):
    """The items of one chunk, parsed. Never changed once made."""

    routes: tuple[ItemRoute, ...]
    services: dict[str, dict[str, Any]]  # specs by name
    limits: Limits | None


def parse_chunk(items: Iterable[Item]) -> ParsedChunk:
    """Parse the items of a chunk; dropped ones are left out."""
    routes: list[ItemRoute] = []
    services: dict[str, dict[str, Any]] = {}
    limits = None
    for item in items:
        spec = item["spec"]
        if spec is None:
            continue
        if item["kind"] == "route":
            routes.append(parse_route(item))
        elif item["kind"] == "service":
            services[item["name"]] = spec
        else:
            limits = Limits(*(spec[field] for field in Limits._fields))
    return ParsedChunk(tuple(routes), services, limits)


class ItemTable:
    """The items of one version. Invariants: never changed once made; it is what its chunks say.
    Dropped items are left out; of two routes with one host and prefix the one with the higher
    version is found."""

    def __init__(self, version: int, items: Iterable[Item]) -> None:
        self.version = 0
        self.chunks: Mapping[str | None, ParsedChunk] = {}
        self.routes: dict[bytes, dict[bytes, ItemRoute]] = {}  # by host and prefix
        self.services: dict[str, dict[str, Any]] = {}
        self.limits = DEFAULT_LIMITS
        self._fill(version, {None: parse_chunk(items)})

    def with_chunks(self, version: int, chunks: Mapping[str | None, ParsedChunk]) -> ItemTable:
        """The table of these chunks, by name and in order. Only hosts whose routes changed are
        indexed again."""
        table = copy(self)
        table._fill(version, chunks)
        return table

    def _fill(self, version: int, chunks: Mapping[str | None, ParsedChunk]) -> None:
        changed_hosts = hosts_of_changes(self.chunks, chunks)
        self.version, self.chunks = version, chunks
        self.routes = {
            host: prefixes for host, prefixes in self.routes.items() if host not in changed_hosts
        }
        routes = [
            route
            for chunk in chunks.values()
            for route in chunk.routes
            if route.host in changed_hosts
        ]
        for route in sorted(routes, key=lambda route: (route.version, route.name)):
            self.routes.setdefault(route.host, {})[route.prefix] = route
        self.services = {n: s for chunk in chunks.values() for n, s in chunk.services.items()}
        self.limits = next((c.limits for c in chunks.values() if c.limits), DEFAULT_LIMITS)

    def find(self, host: bytes, path: bytes) -> ItemRoute | None:
        """The route with the longest prefix that begins the path, or None.

        :param host: without port, lower case.
        :param path: may carry its query.

        >>> split = [["a", 1]]
        >>> spec = {"host": "H", "repeat": "safe", "timeout_us": 1, "tries": 1, "split": split}
        >>> item = {"kind": "route", "version": 1, "source": ""}
        >>> table = ItemTable(1, [{**item, "name": p, "spec": {**spec, "prefix": p}}
        ...                       for p in ("/", "/a/b/")])
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


def hosts_of_changes(
    former: Mapping[str | None, ParsedChunk], chunks: Mapping[str | None, ParsedChunk]
) -> set[bytes]:
    """The hosts of routes that are in one of two versions alone. Chunks with one name are equal."""
    removed = {route for name in former.keys() - chunks.keys() for route in former[name].routes}
    added = {route for name in chunks.keys() - former.keys() for route in chunks[name].routes}
    return {route.host for route in removed ^ added}
