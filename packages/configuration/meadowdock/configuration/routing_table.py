"""The routing table of a configuration: the route of a request by its caller, method and path.

One table holds both kinds of routes: those of the operators' configuration, which are found here,
and those of the configuration by items, which are found by host and prefix in `RoutingTable.items`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from copy import copy
from typing import Any, NamedTuple

import immutables

from meadowdock.configuration import items as config_items
from meadowdock.configuration.schema import DEFAULT_LOAD

CANONICAL_PATH = re.compile(r"^(/[A-Za-z0-9_~:@!$&'()*+,;=-][A-Za-z0-9._~:@!$&'()*+,;=-]*)+/?$")

# codes of rejected lookups, as in meadowdock.outcome
MALFORMED = "malformed"
ROUTE_FORBIDDEN = "way_forbidden"
ROUTE_UNKNOWN = "way_unknown"


class Stage(NamedTuple):
    """What a budget allows in one stage of a call."""

    wait_us: int
    retries: int  # attempts beyond the first


class Route(NamedTuple):
    """Where calls of some callers, methods and paths go, and within which budget."""

    name: str
    service: str
    path: str
    idempotent: bool  # safe to retry; else a call must run at most once
    arrival: Stage  # waiting for a slot where the call arrived
    relocation: Stage  # at a peer
    endpoint: Stage  # at the endpoint

    @property
    def total_wait_us(self) -> int:
        """The time that a call may take in all."""
        return self.arrival.wait_us + self.relocation.wait_us + self.endpoint.wait_us


class RouteLookup(NamedTuple):
    """What was found: a route, or the code with which the call is rejected."""

    route: Route | None
    rejection: str | None


class RoutingTable:
    """One version of the configuration. Invariant: never changed once made; a new version is a new
    object."""

    def __init__(self, version: int, configuration: Mapping[str, Any]) -> None:
        """:param configuration: as `assemble` gives it, checked before it was stored."""
        self.version = version
        self.load = (
            configuration["load"] or DEFAULT_LOAD
        )  # none before the operators' first configuration
        self.items = config_items.ItemTable(version, configuration.get("items", ()))
        self.services = immutables.Map({s["name"]: s for s in configuration["services"]})
        self.routes: dict[tuple[str, str, str], Route] = {}  # by caller, method and path
        self.paths: set[str] = set()  # of all routes
        stages = {budget["name"]: stages_of(budget) for budget in configuration["budgets"]}
        for entry in configuration["ways"]:
            self._add_route(entry, stages[entry["budget"]])

    def _add_route(self, entry: Mapping[str, Any], stages: tuple[Stage, Stage, Stage]) -> None:
        path = entry["path"]
        idempotent = entry["repeat"] == "safe"
        route = Route(entry["name"], entry["service"], path, idempotent, *stages)
        self.paths.add(path)
        for caller in entry["callers"]:
            for method in entry["methods"]:
                self.routes[caller, method, path] = route

    def with_chunks(
        self, version: int, chunks: dict[str | None, config_items.ParsedChunk]
    ) -> RoutingTable:
        """The same configuration under another version, with the items of these parsed chunks."""
        table = copy(self)
        table.version = version
        table.items = self.items.with_chunks(version, chunks)
        return table

    def find_route(self, caller: str, method: str, path: str) -> RouteLookup:
        """Look a call's route up.

        The longest path that any route has decides: a caller without that route falls back to no
        shorter one.
        """
        if not CANONICAL_PATH.match(path):
            return RouteLookup(None, MALFORMED)
        prefix = path.rstrip("/")
        while prefix:
            if prefix in self.paths:
                route = self.routes.get((caller, method, prefix))
                return RouteLookup(route, None if route else ROUTE_FORBIDDEN)
            prefix = prefix.rpartition("/")[0]
        return RouteLookup(None, ROUTE_UNKNOWN)


def stages_of(budget: Mapping[str, Any]) -> tuple[Stage, Stage, Stage]:
    """The stages of a budget in the order of a call: arrival, relocation, endpoint."""
    arrival, relocation, endpoint = (
        Stage(budget[stage]["wait_us"], budget[stage]["tries"])
        for stage in ("arrival", "spill", "endpoint")
    )
    return arrival, relocation, endpoint
