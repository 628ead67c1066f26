"""Lookup tables of the items of one version: routes by host and prefix, services, and limits."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import copy
from typing import Any, NamedTuple

from meadowdock.configuration.items.validation import Item


class ItemRoute(NamedTuple):
    """The services that calls to a host and path prefix are routed to, and how."""

    name: str
    version: int
    host: bytes  # lower case
    prefix: bytes  # begins and ends with "/"
    idempotent: bool  # may be retried after an unknown outcome
    timeout_us: int
    latency_target_us: int  # 0 for none
    priority: int  # 0 is the highest
    max_attempts: int  # of one call
    traffic_split: tuple[tuple[str, float], ...]  # services with their weights


class Limits(NamedTuple):
    """Limits for the connections and requests of callers."""

    header_bytes: int
    body_bytes: int
    header_us: int  # time-out for receiving the head of a request
    idle_us: int  # time-out between two requests on a connection


DEFAULT_LIMITS = Limits(
    header_bytes=32_768, body_bytes=16 << 20, header_us=10_000_000, idle_us=60_000_000
)


def parse_route(item: Item) -> ItemRoute:
    """Build the route that an item defines."""
    spec = item["spec"]
    return ItemRoute(
        name=item["name"],
        version=item["version"],
        host=spec["host"].lower().encode(),
        prefix=spec["prefix"].encode(),
        idempotent=spec["repeat"] == "safe",
        timeout_us=spec["timeout_us"],
        latency_target_us=spec.get("aim_us", 0),
        priority=spec.get("priority", 0),
        max_attempts=spec["tries"],
        traffic_split=tuple((service, weight) for service, weight in spec["split"]),
    )


class ParsedChunk(NamedTuple):
    """The parsed items of one chunk; immutable."""

    routes: tuple[ItemRoute, ...]
    services: dict[str, dict[str, Any]]  # specs by name
    limits: Limits | None


def parse_chunk(items: Iterable[Item]) -> ParsedChunk:
    """Parse the items of a chunk, without the dropped ones."""
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
    """The items of one version, indexed for lookup.

    Invariants: a table is immutable and contains exactly the items of its chunks, without the
    dropped ones. Of two routes with the same host and prefix, the one with the higher version is
    found.
    """

    def __init__(self, version: int, items: Iterable[Item]) -> None:
        self.version = 0
        self.chunks: Mapping[str | None, ParsedChunk] = {}
        self.routes: dict[bytes, dict[bytes, ItemRoute]] = {}  # by host and prefix
        self.services: dict[str, dict[str, Any]] = {}
        self.limits = DEFAULT_LIMITS
        self._fill(version, {None: parse_chunk(items)})

    def with_chunks(self, version: int, chunks: Mapping[str | None, ParsedChunk]) -> ItemTable:
        """Return the table of another version; only hosts with changed routes are indexed anew.

        :param chunks: by name, in the order of the configuration.
        """
        table = copy(self)
        table._fill(version, chunks)
        return table

    def _fill(self, version: int, chunks: Mapping[str | None, ParsedChunk]) -> None:
        changed_hosts = hosts_of_changed_routes(self.chunks, chunks)
        self.version, self.chunks = version, chunks
        self.routes = {
            host: routes_by_prefix
            for host, routes_by_prefix in self.routes.items()
            if host not in changed_hosts
        }
        routes = [
            route
            for chunk in chunks.values()
            for route in chunk.routes
            if route.host in changed_hosts
        ]
        for route in sorted(routes, key=lambda route: (route.version, route.name)):
            self.routes.setdefault(route.host, {})[route.prefix] = route
        self.services = {
            name: spec for chunk in chunks.values() for name, spec in chunk.services.items()
        }
        self.limits = next(
            (chunk.limits for chunk in chunks.values() if chunk.limits), DEFAULT_LIMITS
        )

    def find_route(self, host: bytes, path: bytes) -> ItemRoute | None:
        """Return the route with the longest prefix of the path, or None.

        :param host: in lower case, without a port.
        :param path: may include the query string.

        >>> split = [["a", 1]]
        >>> spec = {"host": "H", "repeat": "safe", "timeout_us": 1, "tries": 1, "split": split}
        >>> item = {"kind": "route", "version": 1, "source": ""}
        >>> table = ItemTable(1, [{**item, "name": p, "spec": {**spec, "prefix": p}}
        ...                       for p in ("/", "/a/b/")])
        >>> paths = (b"/a/b", b"/a/b/", b"/a/b/c/d", b"/a?x=/a/b/")
        >>> [table.find_route(b"h", path).name for path in paths]
        ['/', '/a/b/', '/a/b/', '/']
        >>> table.find_route(b"other", b"/")
        """
        routes_by_prefix = self.routes.get(host)
        if routes_by_prefix is None:
            return None
        query_start = path.find(b"?")
        end = path.rfind(b"/") if query_start < 0 else path.rfind(b"/", 0, query_start)
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None


def hosts_of_changed_routes(
    previous_chunks: Mapping[str | None, ParsedChunk], chunks: Mapping[str | None, ParsedChunk]
) -> set[bytes]:
    """Return the hosts of all routes that only one of two versions has.

    Chunks with the same name are equal, so only the others are compared.
    """
    removed = {
        route
        for name in previous_chunks.keys() - chunks.keys()
        for route in previous_chunks[name].routes
    }
    added = {
        route for name in chunks.keys() - previous_chunks.keys() for route in chunks[name].routes
    }
    return {route.host for route in removed ^ added}
