"""The routing table: the route of a call, and what a table has in common with the next version."""

from __future__ import annotations

import json

import pytest
from item_builders import route, service
from manifests import manifest

from meadowdock.configuration import (
    DEFAULT_LOAD,
    RoutingTable,
    assemble_configuration,
    split_configuration,
    split_items,
    validate_configuration,
)
from meadowdock.configuration import items as config_items

LOOKUPS = [
    ("guest", "GET", "/balances", "balances", None),
    ("guest", "GET", "/balances/", "balances", None),
    ("guest", "GET", "/balances/17/x", "balances", None),
    ("guest", "GET", "/balancesheet", None, "way_unknown"),
    ("guest", "POST", "/balances", None, "way_forbidden"),
    ("guest", "GET", "/ledger/1", None, "way_forbidden"),
    ("paper", "GET", "/ledger/1", "ledger", None),
    ("paper", "GET", "/balances/1", None, "way_forbidden"),
    ("guest", "GET", "/", None, "malformed"),
    ("guest", "GET", "//balances", None, "malformed"),
    ("guest", "GET", "/balances/../ledger", None, "malformed"),
    ("guest", "GET", "/balances/%2e%2e/ledger", None, "malformed"),
    ("guest", "GET", "/balances\\..\\ledger", None, "malformed"),
    ("guest", "GET", "/nowhere", None, "way_unknown"),
]


@pytest.mark.parametrize(("caller", "method", "path", "name", "code"), LOOKUPS)
def test_the_longest_matching_path_decides_whether_a_call_is_allowed(
    caller, method, path, name, code
):
    table = RoutingTable(1, validate_configuration(json.dumps(manifest()).encode()).unwrap())
    route_found, rejection = table.find_route(caller, method, path)
    assert (route_found and route_found.name, rejection) == (name, code)


def test_a_table_with_new_item_chunks_keeps_everything_else():
    configuration = {"services": [{"name": "a"}], "budgets": [], "ways": [], "load": {}}
    stored, _ = config_items.merge_items({}, [service("desk"), route("r")])
    bodies = [body for _, body in (*split_configuration(configuration), *split_items(stored))]
    table = RoutingTable(2, assemble_configuration(bodies))
    assert table.items.find_route(b"h.example", b"/p/q").name == "r"
    assert (table.load, RoutingTable(1, configuration).items.routes) == (DEFAULT_LOAD, {})
    newer = table.with_chunks(3, {})
    assert (newer.version, newer.items.version, newer.items.routes) == (3, 3, {})
    assert newer.services is table.services
    assert table.items.routes
