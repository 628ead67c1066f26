"""Splitting into chunks: a change affects few of them, and assembling them restores the content."""

from __future__ import annotations

import json

import pytest
from item_builders import removed_item, route, service
from manifests import manifest, manifest_route

from meadowdock.configuration import (
    RoutingTable,
    assemble_configuration,
    split_configuration,
    split_items,
    validate_configuration,
)
from meadowdock.configuration import items as config_items


def test_changing_one_of_30000_routes_changes_one_chunk():
    routes = [manifest_route(f"w{n}", f"/p{n // 100}/q{n}") for n in range(30_000)]
    configuration = validate_configuration(json.dumps(manifest(routes)).encode()).unwrap()
    before = split_configuration(configuration)
    routes[777]["repeat"] = "once"
    after = split_configuration(
        validate_configuration(json.dumps(manifest(routes)).encode()).unwrap()
    )
    assert len(before) > 200
    assert len({name for name, _ in after} - {name for name, _ in before}) == 1
    assert (
        RoutingTable(1, configuration).find_route("guest", "GET", "/p7/q777/deeper")[0].name
        == "w777"
    )


def test_changing_one_item_changes_one_chunk_and_the_chunks_contain_all_items():
    stored, _ = config_items.merge_items(
        {}, [service("desk"), *(route(f"r{n}") for n in range(3000))]
    )
    stored, _ = config_items.merge_items(stored, [removed_item(route("r5"), 2)])
    before = split_items(stored)
    after = split_items(config_items.merge_items(stored, [route("r77", 2)])[0])
    assert len(before) > 20
    assert len({name for name, _ in after} - {name for name, _ in before}) == 1
    items = assemble_configuration(body for _, body in before)["items"]
    assert {config_items.item_key(item): item for item in items} == stored


def test_chunks_without_superseded_versions_are_read_and_gain_them():
    """The previous release stored items without the field "superseded"."""
    stored_by_previous_release = {
        config_items.item_key(item): item for item in (service("desk", 4), route("r", 6))
    }
    bodies = [body for _, body in split_items(stored_by_previous_release)]
    stored = {config_items.item_key(item): item for item in assemble_configuration(bodies)["items"]}
    assert stored == stored_by_previous_release
    assert config_items.merge_items(stored, [route("r", 6), service("desk", 4)])[0] is stored
    after, _ = config_items.merge_items(stored, [route("r", 7)])
    bodies = [body for _, body in split_items(after)]
    items_by_name = {item["name"]: item for item in assemble_configuration(bodies)["items"]}
    assert [version for version, _ in items_by_name["r"]["superseded"]] == [6]
    with pytest.raises(config_items.VersionConflict):
        config_items.merge_items(after, [route("r", 6, prefix="/other/")])
