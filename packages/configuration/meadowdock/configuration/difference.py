"""What an operator is shown of a planned change: names by section, and values of load sharing."""

from __future__ import annotations

from typing import Any

from meadowdock.configuration.schema import ConfigurationMap

NAMED_SECTIONS = ("services", "budgets", "ways")


def difference(old: ConfigurationMap, new: ConfigurationMap) -> dict[str, Any]:
    """What changes: per section the added, removed and changed names; of "load" the changed values
    as {setting: [old, new]}.

    >>> difference({"ways": [{"name": "a"}]}, {"ways": [{"name": "b"}]})["ways"]
    {'added': ['b'], 'removed': ['a'], 'changed': []}
    """
    sections: dict[str, Any] = {
        section: section_difference(old, new, section) for section in NAMED_SECTIONS
    }
    return sections | {"load": load_difference(old.get("load", {}), new.get("load", {}))}


def section_difference(
    old: ConfigurationMap, new: ConfigurationMap, section: str
) -> dict[str, list[str]]:
    """The added, removed and changed names of a section."""
    before, after = by_name(old, section), by_name(new, section)
    common = before.keys() & after.keys()
    return {
        "added": sorted(after.keys() - before.keys()),
        "removed": sorted(before.keys() - after.keys()),
        "changed": sorted(name for name in common if before[name] != after[name]),
    }


def by_name(configuration: ConfigurationMap, section: str) -> dict[str, Any]:
    """{name: entry} of a section."""
    return {entry["name"]: entry for entry in configuration.get(section, [])}


def load_difference(old: dict[str, Any], new: dict[str, Any]) -> dict[str, list[Any]]:
    """{setting: [old, new]} of the settings that change."""
    return {key: [old.get(key), value] for key, value in new.items() if old.get(key) != value}
