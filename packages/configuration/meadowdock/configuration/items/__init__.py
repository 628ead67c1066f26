"""Configuration by items: each has a version of its own, and the highest holds for its name.

An item is {"kind": "route" | "service" | "limits", "name": str, "version": int, "spec": dict or
None when dropped, "source": str}. source is the text it came as, kept verbatim and never read.
"""

from meadowdock.configuration.items.check import Invalid, check, clean
from meadowdock.configuration.items.merge import (
    ItemVersion,
    VersionConflict,
    as_sent,
    key_of,
    merge,
    standing,
)
from meadowdock.configuration.items.table import (
    DEFAULT_LIMITS,
    Limits,
    ParsedChunk,
    Route,
    Table,
    parse_chunk,
)

__all__ = [
    "DEFAULT_LIMITS",
    "Invalid",
    "ItemVersion",
    "Limits",
    "ParsedChunk",
    "Route",
    "Table",
    "VersionConflict",
    "as_sent",
    "check",
    "clean",
    "key_of",
    "merge",
    "parse_chunk",
    "standing",
]
