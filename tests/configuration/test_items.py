"""Items by themselves: what is refused, which version holds, and the lookup of routes."""

from __future__ import annotations

import itertools
import random

import pytest
from item_builders import dropped, limits, route, service

from meadowdock.configuration import RoutingTable, assemble, split_configuration, split_items
from meadowdock.configuration import items as config_items
from meadowdock.configuration.schema import DEFAULT_LOAD


def without(item, field):
    return {**item, "spec": {k: v for k, v in item["spec"].items() if k != field}}


WRONG = [
    (route("r", host=""), "spec.host"),
    (route("r", host=7), "spec.host"),
    (route("r", host="\ud800"), "spec.host"),
    (route("r", prefix="/p"), "spec.prefix"),
    (route("r", prefix="p/"), "spec.prefix"),
    (route("r", repeat="maybe"), "spec.repeat"),
    (route("r", timeout_us=600_000_001), "spec.timeout_us"),
    (route("r", timeout_us=0), "spec.timeout_us"),
    (route("r", timeout_us=True), "spec.timeout_us"),
    (route("r", tries=0), "spec.tries"),
    (route("r", split=[]), "spec.split"),
    (route("r", split=[["desk", -1]]), "spec.split"),
    (route("r", split=[["desk", float("nan")]]), "spec.split"),
    (route("r", split=[["desk"]]), "spec.split"),
    (route("r", priority=-1), "spec.priority"),
    (route("r", aim_us="1s"), "spec.aim_us"),
    (without(route("r"), "tries"), "spec.tries"),
    (route(""), "name"),
    (route("r", version=-1), "version"),
    (route("r", version="r1"), "version"),
    (service("s", connections=-1), "spec.connections"),
    (limits(header_us=0), "spec.header_us"),
    (without(limits(), "idle_us"), "spec.idle_us"),
    ({**limits(), "name": "x"}, "name"),
    ({**service("s"), "kind": "zone"}, "kind"),
    ({**service("s"), "kind": ["route"]}, "kind"),
    ({**service("s"), "source": None}, "source"),
    ({**service("s"), "spec": 1}, "spec"),
    ({k: v for k, v in service("s").items() if k != "spec"}, "spec"),
]


@pytest.mark.parametrize(("item", "path"), WRONG)
def test_an_error_is_told_with_its_path(item, path):
    errors = config_items.validate_items([service("desk"), item])
    assert [e.partition(":")[0] for e in errors] == [f"items.1.{path}"]


def test_all_errors_at_once_and_none_of_good_ones():
    wrong = [item for item, _ in WRONG]
    assert len(config_items.validate_items(wrong)) == len(wrong)
    good = [service("desk", beyond=1), route("r", split=[["desk", 0], ["desk", 0.5]]), limits()]
    assert config_items.validate_items([*good, dropped(route("x"), 3)]) == []
    assert config_items.validate_items([7, None]) == ["items.0: no item", "items.1: no item"]


def test_one_name_twice_is_wrong_only_with_one_version_and_two_contents():
    twice = [service("s", 3), service("s", 3)]
    assert config_items.validate_items(twice) == []
    assert config_items.validate_items([service("s", 3), service("s", 4, health="/h")]) == []
    assert (
        "given twice"
        in config_items.validate_items([service("s", 3), service("s", 3, health="/h")])[0]
    )
    assert (
        "given twice" in config_items.validate_items([service("s", 3), dropped(service("s"), 3)])[0]
    )


# what is held, what comes, what holds: versions; negative ones are drops
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


@pytest.mark.parametrize(("held", "comes", "holds"), MERGES)
@pytest.mark.parametrize("make", [service, lambda n, v: route(n, v), lambda n, v: limits(v)])
def test_the_highest_version_holds_set_or_dropped(make, held, comes, holds):
    def item(version):
        made = make("x", abs(version))
        return made if version > 0 else dropped(made, -version)

    base, _ = config_items.merge({}, [service("desk")])
    before, _ = config_items.merge(base, [item(held)] if held else [])
    after, changed = config_items.merge(before, [item(comes)])
    key = config_items.item_key(item(comes))
    assert config_items.without_history(after[key]) == item(holds)
    assert bool(changed) == (holds != held)
    # a version that comes again writes nothing; each other is remembered
    assert (after is before) == (comes == held)
    known = {after[key]["version"], *(version for version, _ in after[key].get("superseded", []))}
    assert known == {abs(version) for version in (held, comes) if version is not None}
    again, _ = config_items.merge(after, [item(held or comes), item(comes)])
    assert again is after


@pytest.mark.parametrize(("held", "comes"), [(2, -2), (-3, 3)])
@pytest.mark.parametrize("make", [service, lambda n, v: route(n, v), lambda n, v: limits(v)])
def test_set_and_dropped_under_one_version_is_a_conflict(make, held, comes):
    def item(version):
        made = make("x", abs(version))
        return made if version > 0 else dropped(made, -version)

    before, _ = config_items.merge({}, [service("desk"), item(held)])
    with pytest.raises(config_items.VersionConflict) as told:
        config_items.merge(before, [service("new"), item(comes)])
    key = config_items.item_key(item(comes))
    assert told.value.conflicts == [config_items.ItemVersion(*key, abs(comes))]


def test_the_source_is_content_too():
    before, _ = config_items.merge({}, [service("a", 3)])
    other = {**service("a", 3), "source": "another text"}
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(before, [other])
    after, _ = config_items.merge(before, [service("a", 4)])
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(after, [other])
    assert "given twice" in config_items.validate_items([service("a", 3), other])[0]


def test_chunks_of_the_release_before_are_read_and_gain_what_is_superseded():
    """Its items had no such field."""
    old = {config_items.item_key(item): item for item in (service("desk", 4), route("r", 6))}
    bodies = [body for _, body in split_items(old)]
    held = {config_items.item_key(item): item for item in assemble(bodies)["items"]}
    assert held == old
    assert config_items.merge(held, [route("r", 6), service("desk", 4)])[0] is held
    after, _ = config_items.merge(held, [route("r", 7)])
    again = {i["name"]: i for i in assemble(b for _, b in split_items(after))["items"]}
    assert [version for version, _ in again["r"]["superseded"]] == [6]
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(after, [route("r", 6, prefix="/other/")])


def test_what_is_remembered_of_an_item_is_bounded():
    held, _ = config_items.merge({}, [service("a", 1)])
    for version in range(2, 200):
        held, _ = config_items.merge(held, [service("a", version)])
    first = [service("a", 1, health="/beyond")]
    assert config_items.merge(held, first)[0] is held
    kept = [version for version, _ in held["service", "a"]["superseded"]]
    assert kept == list(range(198, 190, -1))
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(held, [service("a", 191, health="/other")])


def test_a_weight_that_no_chunk_can_hold_is_invalid():
    errors = config_items.validate_items([service("desk"), route("r", split=[["desk", 10**30]])])
    assert [e.partition(":")[0] for e in errors] == ["items.1.spec.split"]
    held, _ = config_items.merge({}, [service("desk"), route("r", split=[["desk", (1 << 63) - 1]])])
    assert split_items(held)


def test_any_order_of_calls_ends_alike():
    calls = [
        [service("a", 1), route("r", 1, ["a"])],
        [service("a", 5, health="/5")],
        [route("r", 4, ["a"], prefix="/4/")],
        [dropped(route("r"), 3)],
        [service("a", 2, health="/2")],
    ]
    ends = []
    for order in itertools.permutations(calls[1:]):
        held, _ = config_items.merge({}, calls[0])
        for call in order:
            held, _ = config_items.merge(held, call)
        ends.append(held)
    assert all(end == ends[0] for end in ends)
    assert [i["version"] for i in config_items.current_items(ends[0])] == [4, 5]


def test_routes_are_judged_when_they_change_and_when_their_service_goes():
    held, _ = config_items.merge({}, [service("a"), service("b"), route("r", 5, ["a"])])
    wrong = [
        [route("n", 1, ["nowhere"])],
        [route("r", 6, ["a", "nowhere"])],
        [dropped(service("a"), 2)],
        [dropped(service("b"), 2), route("n", 1, ["b"])],
    ]
    for call in wrong:
        with pytest.raises(config_items.InvalidItems):
            config_items.merge(held, call)
    good = [
        [route("r", 4, ["nowhere"])],  # an older one comes again: no effect
        [dropped(service("a"), 0)],
        [dropped(service("a"), 2), dropped(route("r"), 6)],
        [dropped(service("a"), 2), route("r", 6, ["b"])],
        [dropped(service("b"), 2)],
    ]
    for call in good:
        config_items.merge(held, call)
    with pytest.raises(config_items.VersionConflict):
        config_items.merge(held, [dropped(service("a"), 1)])


def test_the_longest_prefix_is_found_as_by_trying_all():
    rng = random.Random(1)

    def path(depth):
        return "/" + "".join(rng.choice(["a", "b", "cc", "%2f"]) + "/" for _ in range(depth))

    routes = [
        route(f"r{n}", n + 1, host=rng.choice(["One", "two"]), prefix=path(rng.randrange(5)))
        for n in range(80)
    ]
    table = config_items.ItemTable(3, [service("desk"), *routes])
    found = 0
    for _ in range(2000):
        host, asked = rng.choice(["one", "two", "three"]), path(rng.randrange(7)) + "x"
        fitting = [
            r
            for r in routes
            if r["spec"]["host"].lower() == host and asked.startswith(r["spec"]["prefix"])
        ]
        best = max(fitting, key=lambda r: (len(r["spec"]["prefix"]), r["version"]), default=None)
        told = table.find(host.encode(), asked.encode() + rng.choice([b"", b"?q=/a/b/"]))
        assert (told and told.name) == (best and best["name"])
        found += told is not None
    assert 500 < found < 2000
    assert table.find(b"one", b"*") is None


def test_a_table_says_what_stands():
    gone = dropped(route("gone", prefix="/gone/"), 9)
    items = [service("desk", health="/h"), route("r", 4, aim_us=5, priority=1), limits(), gone]
    table = config_items.ItemTable(7, items)
    expected = config_items.ItemRoute(
        "r", 4, b"h.example", b"/p/", True, 2_000_000, 5, 1, 2, (("desk", 10),)
    )
    assert table.find(b"h.example", b"/p/") == expected
    assert table.find(b"h.example", b"/gone/x") is None
    assert table.services == {"desk": {"health": "/h"}}
    assert table.limits == config_items.Limits(9, 8, 7, 6)
    assert config_items.ItemTable(0, []).limits == config_items.DEFAULT_LIMITS


def test_a_change_of_one_item_touches_one_range_and_ranges_give_all_again():
    held, _ = config_items.merge({}, [service("desk"), *(route(f"r{n}") for n in range(3000))])
    held, _ = config_items.merge(held, [dropped(route("r5"), 2)])
    before = split_items(held)
    after = split_items(config_items.merge(held, [route("r77", 2)])[0])
    assert len(before) > 20
    assert len({f for f, _ in after} - {f for f, _ in before}) == 1
    items = assemble(body for _, body in before)["items"]
    assert {config_items.item_key(i): i for i in items} == held


def test_ways_carry_the_table_and_keep_the_rest():
    facts = {"services": [{"name": "a"}], "budgets": [], "ways": [], "load": {}}
    held, _ = config_items.merge({}, [service("desk"), route("r")])
    bodies = [body for _, body in (*split_configuration(facts), *split_items(held))]
    ways = RoutingTable(2, assemble(bodies))
    assert ways.items.find(b"h.example", b"/p/q").name == "r"
    assert (ways.load, RoutingTable(1, facts).items.routes) == (DEFAULT_LOAD, {})
    newer = ways.with_chunks(3, {})
    assert (newer.version, newer.items.version, newer.items.routes) == (3, 3, {})
    assert newer.services is ways.services
    assert ways.items.routes
