"""Configuration by items: each item has its own version, and the highest version is current.

An item is {"kind": "route" | "service" | "limits", "name": str, "version": int, "spec": dict or
None if dropped, "source": str}. The source is the text in which the operator submitted the item; it
is stored verbatim and never parsed. Stored items also have the field "superseded", with digests of
earlier versions (`merge.py`).
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
    MergeResult,
    current_items,
    item_key,
    merge_items,
    without_history,
)
from meadowdock.configuration.items.validation import normalize_item, validate_items

__all__ = [
    "DEFAULT_LIMITS",
    "InvalidItems",
    "ItemRoute",
    "ItemTable",
    "ItemVersion",
    "Limits",
    "MergeResult",
    "ParsedChunk",
    "VersionConflict",
    "current_items",
    "item_key",
    "merge_items",
    "normalize_item",
    "parse_chunk",
    "validate_items",
    "without_history",
]
