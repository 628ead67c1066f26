"""Validation of the items of a change: every error is reported with its path."""

from __future__ import annotations

import pytest
from item_builders import limits, removed_item, route, service

from meadowdock.configuration.items import validate_items


def without(item, field):
    return {**item, "spec": {name: value for name, value in item["spec"].items() if name != field}}


INVALID = [
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


@pytest.mark.parametrize(("item", "path"), INVALID)
def test_an_error_is_reported_with_its_path(item, path):
    errors = validate_items([service("desk"), item])
    assert [error.partition(":")[0] for error in errors] == [f"items.1.{path}"]


def test_all_errors_are_reported_at_once_and_none_for_valid_items():
    invalid = [item for item, _ in INVALID]
    assert len(validate_items(invalid)) == len(invalid)
    valid = [service("desk", beyond=1), route("r", split=[["desk", 0], ["desk", 0.5]]), limits()]
    assert validate_items([*valid, removed_item(route("x"), 3)]) == []
    assert validate_items([7, None]) == ["items.0: no item", "items.1: no item"]


def test_a_repeated_item_is_invalid_only_if_its_content_differs():
    repeated = [service("s", 3), service("s", 3)]
    assert validate_items(repeated) == []
    assert validate_items([service("s", 3), service("s", 4, health="/h")]) == []
    assert "given twice" in validate_items([service("s", 3), service("s", 3, health="/h")])[0]
    assert "given twice" in validate_items([service("s", 3), removed_item(service("s"), 3)])[0]
