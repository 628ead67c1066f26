"""The difference between two configurations, as shown to an operator who plans a change."""

from __future__ import annotations

from typing import Any

from meadowdock.configuration.schema import ConfigurationMap

NAMED_SECTIONS = ("services", "budgets", "ways")


def configuration_difference(old: ConfigurationMap, new: ConfigurationMap) -> dict[str, Any]:
    """Return what differs between two configurations.

    Each section has the names of its added, removed and changed entries; "load" has the changed
    settings as {setting: [old, new]}.

    >>> configuration_difference({"ways": [{"name": "a"}]}, {"ways": [{"name": "b"}]})["ways"]
    {'added': ['b'], 'removed': ['a'], 'changed': []}
    """
    sections: dict[str, Any] = {
        section: section_difference(old, new, section) for section in NAMED_SECTIONS
    }
    return sections | {"load": load_difference(old.get("load", {}), new.get("load", {}))}


def section_difference(
    old: ConfigurationMap, new: ConfigurationMap, section: str
) -> dict[str, list[str]]:
    """Return the names of the added, removed and changed entries of a section."""
    before, after = entries_by_name(old, section), entries_by_name(new, section)
    common = before.keys() & after.keys()
    return {
        "added": sorted(after.keys() - before.keys()),
        "removed": sorted(before.keys() - after.keys()),
        "changed": sorted(name for name in common if before[name] != after[name]),
    }


def entries_by_name(configuration: ConfigurationMap, section: str) -> dict[str, Any]:
    """Return the entries of a section by name."""
    return {entry["name"]: entry for entry in configuration.get(section, [])}


def load_difference(old: dict[str, Any], new: dict[str, Any]) -> dict[str, list[Any]]:
    """Return the changed settings of load sharing as {setting: [old, new]}."""
    return {key: [old.get(key), value] for key, value in new.items() if old.get(key) != value}
