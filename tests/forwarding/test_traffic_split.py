"""The distribution of a route's requests over its services."""

from __future__ import annotations

from collections import Counter

import pytest

from meadowdock.configuration.items import ItemRoute
from meadowdock.forwarding.traffic_split import TrafficSplit


def route(*split, version=1):
    return ItemRoute("r", version, b"h", b"/", True, 1, 0, 0, 1, split)


@pytest.mark.parametrize(
    ("split", "expected"),
    [
        ((("a", 1),), {"a": 10}),
        ((("a", 7), ("b", 3)), {"a": 7, "b": 3}),
        ((("a", 0), ("b", 1)), {"b": 10}),
        ((("a", 0),), {None: 10}),
        ((("a", 0), ("b", 0)), {None: 10}),
    ],
)
def test_requests_are_split_by_weight(split, expected):
    traffic = TrafficSplit()
    assert Counter(traffic.service_for(route(*split)) for _ in range(10)) == expected


def test_services_of_equal_weight_alternate():
    traffic, halves = TrafficSplit(), route(("a", 1), ("b", 1))
    assert [traffic.service_for(halves) for _ in range(4)] == ["a", "b", "a", "b"]


def test_new_version_of_a_route_replaces_the_credits_of_the_former():
    traffic = TrafficSplit()
    traffic.service_for(route(("a", 1), ("b", 1)))
    assert traffic.service_for(route(("a", 1), ("b", 1), version=2)) == "a"
    assert list(traffic.credits) == [("r", 2)]
