"""Merging items: which version is current, and which changes conflict."""

from __future__ import annotations

import itertools

import pytest
from item_builders import limits, removed_item, route, service

from meadowdock.configuration import items as config_items
from meadowdock.configuration import split_items

# The stored version, the incoming one and the resulting one; negative ones are dropped.
VERSIONS = [
    (None, 1, 1),
    (None, -1, -1),
    (1, 2, 2),
    (2, 1, 2),
    (2, 2, 2),
    (2, -1, 2),
    (2, -3, -3),
    (-3, 2, -3),
    (-3, -2, -3),
    (-3, 4, 4),
]


@pytest.mark.parametrize(("stored", "incoming", "current"), VERSIONS)
@pytest.mark.parametrize("make", [service, lambda n, v: route(n, v), lambda n, v: limits(v)])
def test_the_highest_version_is_current_whether_set_or_dropped(make, stored, incoming, current):
    def item(version):
        new_item = make("x", abs(version))
        return new_item if version > 0 else removed_item(new_item, -version)

    base, _ = config_items.merge_items({}, [service("desk")])
    before, _ = config_items.merge_items(base, [item(stored)] if stored else [])
    after, changed = config_items.merge_items(before, [item(incoming)])
    key = config_items.item_key(item(incoming))
    assert config_items.without_history(after[key]) == item(current)
    assert bool(changed) == (current != stored)
    # merging the same version again changes nothing; the digest of any other version is stored
    assert (after is before) == (incoming == stored)
    known_versions = {
        after[key]["version"],
        *(version for version, _ in after[key].get("superseded", [])),
    }
    assert known_versions == {abs(version) for version in (stored, incoming) if version is not None}
    repeated, _ = config_items.merge_items(after, [item(stored or incoming), item(incoming)])
    assert repeated is after


@pytest.mark.parametrize(("stored", "incoming"), [(2, -2), (-3, 3)])
@pytest.mark.parametrize("make", [service, lambda n, v: route(n, v), lambda n, v: limits(v)])
def test_setting_and_dropping_the_same_version_is_a_conflict(make, stored, incoming):
    def item(version):
        new_item = make("x", abs(version))
        return new_item if version > 0 else removed_item(new_item, -version)

    before, _ = config_items.merge_items({}, [service("desk"), item(stored)])
    with pytest.raises(config_items.VersionConflict) as conflict:
        config_items.merge_items(before, [service("new"), item(incoming)])
    key = config_items.item_key(item(incoming))
    assert conflict.value.conflicts == [config_items.ItemVersion(*key, abs(incoming))]


def test_the_source_is_part_of_the_content():
    before, _ = config_items.merge_items({}, [service("a", 3)])
    other = {**service("a", 3), "source": "another text"}
    with pytest.raises(config_items.VersionConflict):
        config_items.merge_items(before, [other])
    after, _ = config_items.merge_items(before, [service("a", 4)])
    with pytest.raises(config_items.VersionConflict):
        config_items.merge_items(after, [other])
    assert "given twice" in config_items.validate_items([service("a", 3), other])[0]


def test_the_number_of_stored_superseded_versions_is_bounded():
    stored, _ = config_items.merge_items({}, [service("a", 1)])
    for version in range(2, 200):
        stored, _ = config_items.merge_items(stored, [service("a", version)])
    oldest = [service("a", 1, health="/beyond")]
    assert config_items.merge_items(stored, oldest)[0] is stored
    superseded_versions = [version for version, _ in stored["service", "a"]["superseded"]]
    assert superseded_versions == list(range(198, 190, -1))
    with pytest.raises(config_items.VersionConflict):
        config_items.merge_items(stored, [service("a", 191, health="/other")])


def test_a_weight_beyond_the_integers_of_chunks_is_invalid():
    errors = config_items.validate_items([service("desk"), route("r", split=[["desk", 10**30]])])
    assert [error.partition(":")[0] for error in errors] == ["items.1.spec.split"]
    stored, _ = config_items.merge_items(
        {}, [service("desk"), route("r", split=[["desk", (1 << 63) - 1]])]
    )
    assert split_items(stored)


def test_changes_yield_the_same_items_in_any_order():
    calls = [
        [service("a", 1), route("r", 1, ["a"])],
        [service("a", 5, health="/5")],
        [route("r", 4, ["a"], prefix="/4/")],
        [removed_item(route("r"), 3)],
        [service("a", 2, health="/2")],
    ]
    results = []
    for order in itertools.permutations(calls[1:]):
        stored, _ = config_items.merge_items({}, calls[0])
        for call in order:
            stored, _ = config_items.merge_items(stored, call)
        results.append(stored)
    assert all(result == results[0] for result in results)
    assert [item["version"] for item in config_items.current_items(results[0])] == [4, 5]


def test_routes_must_have_their_services_when_either_changes():
    stored, _ = config_items.merge_items({}, [service("a"), service("b"), route("r", 5, ["a"])])
    invalid_calls = [
        [route("n", 1, ["nowhere"])],
        [route("r", 6, ["a", "nowhere"])],
        [removed_item(service("a"), 2)],
        [removed_item(service("b"), 2), route("n", 1, ["b"])],
    ]
    for call in invalid_calls:
        with pytest.raises(config_items.InvalidItems):
            config_items.merge_items(stored, call)
    valid_calls = [
        [route("r", 4, ["nowhere"])],  # an older version than the stored one has no effect
        [removed_item(service("a"), 0)],
        [removed_item(service("a"), 2), removed_item(route("r"), 6)],
        [removed_item(service("a"), 2), route("r", 6, ["b"])],
        [removed_item(service("b"), 2)],
    ]
    for call in valid_calls:
        config_items.merge_items(stored, call)
    with pytest.raises(config_items.VersionConflict):
        config_items.merge_items(stored, [removed_item(service("a"), 1)])
