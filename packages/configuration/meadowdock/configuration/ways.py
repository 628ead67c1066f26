"""Looking up the way of a request: caller, method, path. The longest path wins."""

from __future__ import annotations

import re
from copy import copy
from typing import NamedTuple

import immutables

from meadowdock.configuration import items as config_items
from meadowdock.configuration.check import LOAD

GUEST = "guest"  # the name of callers that hold no token
CLEAN = re.compile(r"^(/[A-Za-z0-9_~:@!$&'()*+,;=-][A-Za-z0-9._~:@!$&'()*+,;=-]*)+/?$")


class Way(NamedTuple):
    name: str
    service: str
    path: str
    safe: bool  # safe to repeat; else run-once
    arrival: tuple  # (wait_us, tries) of each stage
    spill: tuple
    endpoint: tuple

    @property
    def total_us(self):
        return self.arrival[0] + self.spill[0] + self.endpoint[0]


class Ways:
    """A manifest in force. Invariant: never changed once made; a new version is a new object."""

    def __init__(self, version, facts):
        self.version = version
        self.load = facts["load"] or LOAD  # none before the first manifest by operators
        self.items = config_items.Table(version, facts.get("items", ()))
        self.services = immutables.Map({s["name"]: s for s in facts["services"]})
        stages = {
            b["name"]: [(b[s]["wait_us"], b[s]["tries"]) for s in ("arrival", "spill", "endpoint")]
            for b in facts["budgets"]
        }
        table, paths = {}, {}
        for way in facts["ways"]:
            path = way["path"]
            safe = way["repeat"] == "safe"
            made = Way(way["name"], way["service"], path, safe, *stages[way["budget"]])
            paths[path] = True
            for caller in way["callers"]:
                for method in way["methods"]:
                    table[caller, method, path] = made
        self.table, self.paths = table, paths

    def with_chunks(self, version, chunks):
        """The same manifest under another version, with the items of these parsed chunks."""
        made = copy(self)
        made.version = version
        made.items = self.items.with_chunks(version, chunks)
        return made

    def way(self, caller, method, path):
        """(the way, None), or (None, the rejection's code)."""
        if not CLEAN.match(path):
            return None, "malformed"
        # the longest path that any way has decides; a caller without it falls to no shorter one
        prefix = path.rstrip("/")
        while prefix:
            if prefix in self.paths:
                way = self.table.get((caller, method, prefix))
                return (way, None) if way else (None, "way_forbidden")
            prefix = prefix.rpartition("/")[0]
        return None, "way_unknown"
