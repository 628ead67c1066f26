"""A manifest as a list of immutable ranges, each known by its fingerprint.

Cuts depend on the items' own names, so a change touches only the ranges that hold it. The section
"items" (configuration by items, `meadowdock.configuration.items`) is cut by itself and comes after the manifest's own.
"""

from __future__ import annotations

import hashlib

import ormsgpack

from meadowdock.runtime import fingerprint

SECTIONS = ("services", "budgets", "load", "ways")
ITEMS = "items"
MEAN_RANGE = 64


def ends_range(name):
    return hashlib.blake2b(name.encode(), digest_size=2).digest()[0] % MEAN_RANGE == 0


def seal_range(section, items):
    body = ormsgpack.packb([section, items], option=ormsgpack.OPT_SORT_KEYS)
    return fingerprint(body), body


def cut(facts):
    """[(fingerprint, body)] in order. The names are sorted, so equal manifests cut equally."""
    ranges = []
    for section in SECTIONS:
        if section == "load":
            ranges.append(seal_range(section, [facts["load"]]))
        else:
            ranges += cut_section(section, facts[section], lambda item: item["name"])
    return ranges


def cut_section(section, items, name_of):
    ranges, held = [], []
    for item in items:
        held.append(item)
        if ends_range(name_of(item)):
            ranges.append(seal_range(section, held))
            held = []
    if held:
        ranges.append(seal_range(section, held))
    return ranges


def cut_items(held):
    """[(fingerprint, body)] of {(kind, name): item}, drops included."""
    items = [held[key] for key in sorted(held)]
    return cut_section(ITEMS, items, lambda item: f"{item['kind']}/{item['name']}")


def assemble(bodies):
    """The manifest again; with its "items" if it has any.

    >>> facts = {"services": [{"name": "a"}], "budgets": [], "load": {"omega": 0.9}, "ways": []}
    >>> assemble(body for _, body in cut(facts)) == facts
    True
    """
    facts = {"services": [], "budgets": [], "load": {}, "ways": []}
    for body in bodies:
        section, items = ormsgpack.unpackb(body)
        if section == "load":
            facts["load"] = items[0]
        elif section == ITEMS:
            facts.setdefault(ITEMS, []).extend(items)
        else:
            facts[section] += items
    return facts


def difference(old, new):
    """What changes, per section: added, removed and changed names.

    >>> difference({"ways": [{"name": "a"}]}, {"ways": [{"name": "b"}]})["ways"]
    {'added': ['b'], 'removed': ['a'], 'changed': []}
    """

    def by_name(facts, section):
        return {item["name"]: item for item in facts.get(section, [])}

    def section_difference(section):
        before, after = by_name(old, section), by_name(new, section)
        return {
            "added": sorted(after.keys() - before.keys()),
            "removed": sorted(before.keys() - after.keys()),
            "changed": sorted(n for n in before.keys() & after.keys() if before[n] != after[n]),
        }

    load = {
        key: [old.get("load", {}).get(key), value]
        for key, value in new.get("load", {}).items()
        if old.get("load", {}).get(key) != value
    }
    return {s: section_difference(s) for s in ("services", "budgets", "ways")} | {"load": load}
