"""The table of items: the lookup of a call's route, services and limits."""

from __future__ import annotations

import random

from item_builders import dropped, limits, route, service

from meadowdock.configuration import items as config_items


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
        result = table.find(host.encode(), asked.encode() + rng.choice([b"", b"?q=/a/b/"]))
        assert (result and result.name) == (best and best["name"])
        found += result is not None
    assert 500 < found < 2000
    assert table.find(b"one", b"*") is None


def test_a_table_has_the_current_items_and_no_dropped_ones():
    removed = dropped(route("removed", prefix="/gone/"), 9)
    items = [service("desk", health="/h"), route("r", 4, aim_us=5, priority=1), limits(), removed]
    table = config_items.ItemTable(7, items)
    expected = config_items.ItemRoute(
        "r", 4, b"h.example", b"/p/", True, 2_000_000, 5, 1, 2, (("desk", 10),)
    )
    assert table.find(b"h.example", b"/p/") == expected
    assert table.find(b"h.example", b"/gone/x") is None
    assert table.services == {"desk": {"health": "/h"}}
    assert table.limits == config_items.Limits(9, 8, 7, 6)
    assert config_items.ItemTable(0, []).limits == config_items.DEFAULT_LIMITS
