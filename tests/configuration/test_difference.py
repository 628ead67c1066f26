"""What an operator is shown of a planned change."""

from __future__ import annotations

import pytest

from meadowdock.configuration import difference

NOTHING = {"added": [], "removed": [], "changed": []}
EMPTY = {"services": [], "budgets": [], "ways": [], "load": {}}


def named(*names, **fields):
    return [{"name": name, **fields} for name in names]


@pytest.mark.parametrize("section", ["services", "budgets", "ways"])
def test_names_are_given_by_section_in_order(section):
    old = {**EMPTY, section: named("kept", "z", "a") + named("changed", version=1)}
    new = {**EMPTY, section: named("kept", "y", "b") + named("changed", version=2)}
    changes = difference(old, new)
    assert changes.pop(section) == {
        "added": ["b", "y"],
        "removed": ["a", "z"],
        "changed": ["changed"],
    }
    assert changes.pop("load") == {}
    assert list(changes.values()) == [NOTHING, NOTHING]


def test_changed_settings_of_load_are_given_with_both_values():
    old = {**EMPTY, "load": {"phi": 0.8, "omega": 0.9}}
    new = {**EMPTY, "load": {"phi": 0.7, "omega": 0.9, "share": 0.1}}
    assert difference(old, new)["load"] == {"phi": [0.8, 0.7], "share": [None, 0.1]}


def test_against_no_configuration_everything_is_added():
    new = {**EMPTY, "services": named("a"), "load": {"phi": 0.8}}
    changes = difference({}, new)
    assert changes["services"] == {"added": ["a"], "removed": [], "changed": []}
    assert changes["load"] == {"phi": [None, 0.8]}
