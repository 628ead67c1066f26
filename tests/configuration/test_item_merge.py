"""The merge of items: which version is current, and what is a conflict."""

from __future__ import annotations

import itertools

import pytest
from item_builders import dropped, limits, route, service

from meadowdock.configuration import items as config_items
from meadowdock.configuration import split_items

# the stored version, the one that incoming, the current one; negative ones are dropped
MERGES = [
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


@pytest.mark.parametrize(("stored", "incoming", "current"), MERGES)
@pytest.mark.parametrize("make", [service, lambda n, v: route(n, v), lambda n, v: limits(v)])
def test_the_highest_version_is_current_whether_set_or_dropped(make, stored, incoming, current):
    def item(version):
        made = make("x", abs(version))
        return made if version > 0 else dropped(made, -version)

    base, _ = config_items.merge({}, [service("desk")])
    before, _ = config_items.merge(base, [item(stored)] if stored else [])
    after, changed = config_items.merge(before, [item(incoming)])
    key = config_items.item_key(item(incoming))
    assert config_items.without_history(after[key]) == item(current)
    assert bool(changed) == (current != stored)
    # a version that comes again writes nothing; each other is remembered
    assert (after is before) == (incoming == stored)
    known = {after[key]["version"], *(version for version, _ in after[key].get("superseded", []))}
    assert known == {abs(version) for version in (stored, incoming) if version is not None}
    again, _ = config_items.merge(after, [item(stored or incoming), item(incoming)])
    assert again is after


@pytest.mark.parametrize(("stored", "incoming"), [(2, -2), (-3, 3)])
@pytest.mark.parametrize("make", [service, lambda n, v: route(n, v), lambda n, v: limits(v)])
def test_set_and_dropped_under_one_version_is_a_conflict(make, stored, incoming):
    def item(version):
        made = make("x", abs(version))
        return made if version > 0 else dropped(made, -version)

    before, _ = config_items.merge({}, [service("desk"), item(stored)])
    with pytest.raises(config_items.VersionConflict) as conflict:
        config_items.merge(before, [service("new"), item(incoming)])
    key = config_items.item_key(item(incoming))
    assert conflict.value.conflicts == [config_items.ItemVersion(*key, abs(incoming))]


def test_the_source_is_content_too():
    before, _ = config_items.merge({}, [service("a", 3)])
    other = {**service("a", 3), "source": "another text"}
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(before, [other])
    after, _ = config_items.merge(before, [service("a", 4)])
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(after, [other])
    assert "given twice" in config_items.validate_items([service("a", 3), other])[0]


def test_what_is_remembered_of_an_item_is_bounded():
    stored, _ = config_items.merge({}, [service("a", 1)])
    for version in range(2, 200):
        stored, _ = config_items.merge(stored, [service("a", version)])
    first = [service("a", 1, health="/beyond")]
    assert config_items.merge(stored, first)[0] is stored
    kept = [version for version, _ in stored["service", "a"]["superseded"]]
    assert kept == list(range(198, 190, -1))
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(stored, [service("a", 191, health="/other")])


def test_a_weight_that_no_chunk_can_hold_is_invalid():
    errors = config_items.validate_items([service("desk"), route("r", split=[["desk", 10**30]])])
    assert [e.partition(":")[0] for e in errors] == ["items.1.spec.split"]
    stored, _ = config_items.merge(
        {}, [service("desk"), route("r", split=[["desk", (1 << 63) - 1]])]
    )
    assert split_items(stored)


def test_changes_give_the_same_items_in_any_order():
    calls = [
        [service("a", 1), route("r", 1, ["a"])],
        [service("a", 5, health="/5")],
        [route("r", 4, ["a"], prefix="/4/")],
        [dropped(route("r"), 3)],
        [service("a", 2, health="/2")],
    ]
    ends = []
    for order in itertools.permutations(calls[1:]):
        stored, _ = config_items.merge({}, calls[0])
        for call in order:
            stored, _ = config_items.merge(stored, call)
        ends.append(stored)
    assert all(end == ends[0] for end in ends)
    assert [i["version"] for i in config_items.current_items(ends[0])] == [4, 5]


def test_routes_are_checked_when_they_change_and_when_their_service_is_dropped():
    stored, _ = config_items.merge({}, [service("a"), service("b"), route("r", 5, ["a"])])
    wrong = [
        [route("n", 1, ["nowhere"])],
        [route("r", 6, ["a", "nowhere"])],
        [dropped(service("a"), 2)],
        [dropped(service("b"), 2), route("n", 1, ["b"])],
    ]
    for call in wrong:
        with pytest.raises(config_items.InvalidItems):
            config_items.merge(stored, call)
    good = [
        [route("r", 4, ["nowhere"])],  # an older one incoming again: no effect
        [dropped(service("a"), 0)],
        [dropped(service("a"), 2), dropped(route("r"), 6)],
        [dropped(service("a"), 2), route("r", 6, ["b"])],
        [dropped(service("b"), 2)],
    ]
    for call in good:
        config_items.merge(stored, call)
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(stored, [dropped(service("a"), 1)])
