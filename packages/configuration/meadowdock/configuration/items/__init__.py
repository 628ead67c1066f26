"""Configuration by items: each item has a version of its own, and its highest version is current.

An item is {"kind": "route" | "service" | "limits", "name": str, "version": int, "spec": dict or
None when dropped, "source": str}. The source is the text it came as, kept verbatim and never read.
Stored items also have "superseded", what is remembered of former versions (`merge.py`).
"""

from meadowdock.configuration.items.exceptions import InvalidItems, ItemVersion, VersionConflict
from meadowdock.configuration.items.item_table import (
    DEFAULT_LIMITS,
    ItemRoute,
    ItemTable,
    Limits,
    ParsedChunk,
    parse_chunk,
)
from meadowdock.configuration.items.merge import (
    Merged,
    current_items,
    item_key,
    merge,
    without_history,
)
from meadowdock.configuration.items.validation import normalize, validate_items

__all__ = [
    "DEFAULT_LIMITS",
    "InvalidItems",
    "ItemRoute",
    "ItemTable",
    "ItemVersion",
    "Limits",
    "Merged",
    "ParsedChunk",
    "VersionConflict",
    "current_items",
    "item_key",
    "merge",
    "normalize",
    "parse_chunk",
    "validate_items",
    "without_history",
]
