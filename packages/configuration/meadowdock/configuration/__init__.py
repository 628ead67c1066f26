"""Operators' manifests: read, checked, cut into ranges, compared, and looked up."""

from meadowdock.configuration.check import (
    SIZE_MAX,
    TOTAL_WAIT_MAX,
    Bad,
    checked,
    parse,
    with_defaults,
)
from meadowdock.configuration.packed import ROUTING, WHOLE, CorruptChunk, pack_chunk, unpack_chunk
from meadowdock.configuration.ranges import assemble, cut, cut_items, difference, seal_range
from meadowdock.configuration.routing_table import GUEST, Route, RoutingTable, Stage

__all__ = [
    "unpack_chunk",
    "pack_chunk",
    "WHOLE",
    "ROUTING",
    "CorruptChunk",
    "GUEST",
    "SIZE_MAX",
    "TOTAL_WAIT_MAX",
    "Bad",
    "RoutingTable",
    "Stage",
    "Route",
    "assemble",
    "checked",
    "cut",
    "cut_items",
    "difference",
    "parse",
    "seal_range",
    "with_defaults",
]
