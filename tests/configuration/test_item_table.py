"""The item table: lookup of routes, services and limits."""

from __future__ import annotations

import random

from item_builders import limits, removed_item, route, service

from meadowdock.configuration import items as config_items


def test_the_longest_prefix_is_found_as_by_an_exhaustive_search():
    rng = random.Random(1)

    def random_prefix(depth):
        return "/" + "".join(rng.choice(["a", "b", "cc", "%2f"]) + "/" for _ in range(depth))

    routes = [
        route(
            f"r{n}", n + 1, host=rng.choice(["One", "two"]), prefix=random_prefix(rng.randrange(5))
        )
        for n in range(80)
    ]
    table = config_items.ItemTable(3, [service("desk"), *routes])
    found_count = 0
    for _ in range(2000):
        host, request_path = (
            rng.choice(["one", "two", "three"]),
            random_prefix(rng.randrange(7)) + "x",
        )
        matching = [
            r
            for r in routes
            if r["spec"]["host"].lower() == host and request_path.startswith(r["spec"]["prefix"])
        ]
        expected = max(
            matching, key=lambda r: (len(r["spec"]["prefix"]), r["version"]), default=None
        )
        result = table.find_route(
            host.encode(), request_path.encode() + rng.choice([b"", b"?q=/a/b/"])
        )
        assert (result and result.name) == (expected and expected["name"])
        found_count += result is not None
    assert 500 < found_count < 2000
    assert table.find_route(b"one", b"*") is None


def test_a_table_has_the_items_of_its_version_without_dropped_ones():
    removed = removed_item(route("removed", prefix="/gone/"), 9)
    items = [service("desk", health="/h"), route("r", 4, aim_us=5, priority=1), limits(), removed]
    table = config_items.ItemTable(7, items)
    expected = config_items.ItemRoute(
        "r", 4, b"h.example", b"/p/", True, 2_000_000, 5, 1, 2, (("desk", 10),)
    )
    assert table.find_route(b"h.example", b"/p/") == expected
    assert table.find_route(b"h.example", b"/gone/x") is None
    assert table.services == {"desk": {"health": "/h"}}
    assert table.limits == config_items.Limits(9, 8, 7, 6)
    assert config_items.ItemTable(0, []).limits == config_items.DEFAULT_LIMITS
