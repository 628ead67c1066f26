"""Validation of operators' configurations: every error is reported with its path."""

from __future__ import annotations

import json

import pytest
from manifests import budget, manifest, manifest_route
from returns.pipeline import is_successful

from meadowdock.configuration import MAX_CONFIGURATION_BYTES, validate_configuration


def errors_of(configuration):
    result = validate_configuration(
        configuration if isinstance(configuration, bytes) else json.dumps(configuration).encode()
    )
    return result.failure() if not is_successful(result) else []


INVALID = [
    (lambda m: m["ways"][0].update(service="nowhere"), ["no service 'nowhere'"]),
    (lambda m: m["ways"][0].update(budget="none"), ["no budget 'none'"]),
    (lambda m: m["ways"][0].update(callers=["stranger"]), ["caller 'stranger'"]),
    (
        lambda m: m["ways"].append(manifest_route("balances", "/other")),
        ["name 'balances' is given 2 times"],
    ),
    (
        lambda m: m["ways"].append(manifest_route("again", "/balances")),
        ["2 ways overlap at guest GET /balances"],
    ),
    (lambda m: m["budgets"][0]["endpoint"].update(wait_us=3_800_000), ["over 3900000"]),
    (lambda m: m["ways"][0].update(path="/a/../b"), ["does not match"]),
    (lambda m: m["ways"][0].update(path="/md/x"), ["mesh's own"]),
    (lambda m: m.update(zone=1), ["'zone' was unexpected"]),
    (lambda m: m["load"].update(phi=0.97), ["phi is above omega"]),
    (
        lambda m: (m["ways"][0].update(service="nowhere"), m["ways"][1].update(budget="none")),
        ["no service 'nowhere'", "no budget 'none'"],
    ),
]


@pytest.mark.parametrize(("invalidate", "expected"), INVALID)
def test_every_error_is_reported_with_its_path(invalidate, expected):
    configuration = manifest()
    invalidate(configuration)
    errors = errors_of(configuration)
    assert all(any(text in error for error in errors) for text in expected), errors
    assert all(error.startswith("manifest") for error in errors)


@pytest.mark.parametrize(
    "data", [b"{", b'{"services": [], "services": []}', b'{"a": NaN}', b"[" * 100_000, b"\xff"]
)
def test_invalid_json_is_rejected(data):
    assert errors_of(data)


def test_a_valid_configuration_has_no_errors():
    assert errors_of(manifest()) == []


def test_a_configuration_over_the_size_limit_is_rejected():
    assert errors_of(b" " * (MAX_CONFIGURATION_BYTES + 1)) == [
        f"manifest is over {MAX_CONFIGURATION_BYTES} bytes"
    ]


def test_a_budget_over_the_maximum_total_wait_is_reported_by_name():
    configuration = manifest()
    configuration["budgets"].append(budget("long", endpoint=3_600_000))
    assert any("'long'" in error and "4100000" in error for error in errors_of(configuration))


@pytest.mark.parametrize(
    "fault",
    [
        {"path": "/a//b"},
        {"name": "Bad"},
        {"extra": 1},
        {"methods": []},
        {"path": 7},
        {"name": None},
    ],
)
def test_one_invalid_route_among_many_similar_ones_is_found(fault):
    routes = [manifest_route(f"w{n}", f"/p/q{n}") for n in range(200)]
    routes[150] |= fault
    errors = errors_of(manifest(routes))
    assert errors
    assert all(error.startswith("manifest.ways.150") for error in errors)
