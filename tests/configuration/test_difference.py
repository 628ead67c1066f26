"""The difference between configurations that is shown to an operator."""

from __future__ import annotations

import pytest

from meadowdock.configuration import configuration_difference

NO_CHANGES = {"added": [], "removed": [], "changed": []}
EMPTY_CONFIGURATION = {"services": [], "budgets": [], "ways": [], "load": {}}


def entries(*names, **fields):
    return [{"name": name, **fields} for name in names]


@pytest.mark.parametrize("section", ["services", "budgets", "ways"])
def test_changed_names_are_listed_by_section_and_sorted(section):
    old = {
        **EMPTY_CONFIGURATION,
        section: entries("kept", "z", "a") + entries("changed", version=1),
    }
    new = {
        **EMPTY_CONFIGURATION,
        section: entries("kept", "y", "b") + entries("changed", version=2),
    }
    changes = configuration_difference(old, new)
    assert changes.pop(section) == {
        "added": ["b", "y"],
        "removed": ["a", "z"],
        "changed": ["changed"],
    }
    assert changes.pop("load") == {}
    assert list(changes.values()) == [NO_CHANGES, NO_CHANGES]


def test_changed_load_settings_have_both_values():
    old = {**EMPTY_CONFIGURATION, "load": {"phi": 0.8, "omega": 0.9}}
    new = {**EMPTY_CONFIGURATION, "load": {"phi": 0.7, "omega": 0.9, "share": 0.1}}
    assert configuration_difference(old, new)["load"] == {"phi": [0.8, 0.7], "share": [None, 0.1]}


def test_compared_with_no_configuration_every_entry_is_added():
    new = {**EMPTY_CONFIGURATION, "services": entries("a"), "load": {"phi": 0.8}}
    changes = configuration_difference({}, new)
    assert changes["services"] == {"added": ["a"], "removed": [], "changed": []}
    assert changes["load"] == {"phi": [None, 0.8]}
