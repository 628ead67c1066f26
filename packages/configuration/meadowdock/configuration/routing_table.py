"""The routing table of a configuration, which finds the route of a request.

One table has both kinds of routes. Those of the operators' configuration are found by caller,
method and path; those of the configuration by items are found by host and path prefix in
`RoutingTable.items`.
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

# Rejection codes of a lookup; they equal those of meadowdock.outcome.
MALFORMED = "malformed"
ROUTE_FORBIDDEN = "way_forbidden"
ROUTE_UNKNOWN = "way_unknown"


class Stage(NamedTuple):
    """The wait and the retries that a budget allows in one stage of a call."""

    wait_us: int
    retries: int  # attempts after the first


class Route(NamedTuple):
    """The service that calls are routed to, and the budget of each stage of such a call."""

    name: str
    service: str
    path: str
    idempotent: bool  # safe to retry; otherwise a call must run at most once
    arrival: Stage  # waiting for a slot at the proxy where the call arrived
    relocation: Stage  # waiting at a peer to which the call was relocated
    endpoint: Stage  # waiting for the response of the endpoint

    @property
    def total_wait_us(self) -> int:
        """The total time that a call may take."""
        return self.arrival.wait_us + self.relocation.wait_us + self.endpoint.wait_us


class RouteLookup(NamedTuple):
    """The result of a lookup: a route, or the code with which the call is rejected."""

    route: Route | None
    rejection: str | None


class RoutingTable:
    """The routes, services and settings of one version of the configuration.

    Invariant: a table is immutable; each version is a new object.
    """

    def __init__(self, version: int, configuration: Mapping[str, Any]) -> None:
        """Build the table.

        :param configuration: as returned by `assemble_configuration`; it was validated before it
            was stored.
        """
        self.version = version
        # "load" is empty until the operators' first configuration.
        self.load = configuration["load"] or DEFAULT_LOAD
        self.items = config_items.ItemTable(version, configuration.get("items", ()))
        self.services = immutables.Map({s["name"]: s for s in configuration["services"]})
        self.routes: dict[tuple[str, str, str], Route] = {}  # by caller, method and path
        self.paths: set[str] = set()  # of all routes
        stages = {budget["name"]: budget_stages(budget) for budget in configuration["budgets"]}
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
        """Return the table of another version, which differs only in its items.

        :param chunks: the parsed chunks of all its items, by name.
        """
        table = copy(self)
        table.version = version
        table.items = self.items.with_chunks(version, chunks)
        return table

    def find_route(self, caller: str, method: str, path: str) -> RouteLookup:
        """Find the route of a call.

        The longest matching path of any route decides. A caller that may not use that route is
        rejected; it doesn't fall back to a route with a shorter path.
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


def budget_stages(budget: Mapping[str, Any]) -> tuple[Stage, Stage, Stage]:
    """Return the stages of a budget in the order of a call: arrival, relocation, endpoint."""
    arrival, relocation, endpoint = (
        Stage(budget[stage]["wait_us"], budget[stage]["tries"])
        for stage in ("arrival", "spill", "endpoint")
    )
    return arrival, relocation, endpoint
