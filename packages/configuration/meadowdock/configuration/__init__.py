"""Configurations: validation, chunks and their transfer, comparison, and route lookup."""

from meadowdock.configuration.chunk_codec import (
    COMPLETE_FORM,
    ROUTING_FORM,
    pack_chunk,
    unpack_chunk,
)
from meadowdock.configuration.chunks import (
    Chunk,
    assemble_configuration,
    encode_chunk,
    split_configuration,
    split_items,
)
from meadowdock.configuration.difference import configuration_difference
from meadowdock.configuration.exceptions import CorruptChunk, EmptyResponse, InvalidJson
from meadowdock.configuration.routing_table import (
    Route,
    RouteLookup,
    RoutingTable,
    Stage,
)
from meadowdock.configuration.schema import (
    ANONYMOUS_CALLER,
    DEFAULT_LOAD,
    MAX_CONFIGURATION_BYTES,
    MAX_TOTAL_WAIT_US,
)
from meadowdock.configuration.validation import (
    parse_json,
    validate_configuration,
    with_defaults,
)

__all__ = [
    "ANONYMOUS_CALLER",
    "COMPLETE_FORM",
    "DEFAULT_LOAD",
    "MAX_CONFIGURATION_BYTES",
    "MAX_TOTAL_WAIT_US",
    "ROUTING_FORM",
    "Chunk",
    "CorruptChunk",
    "EmptyResponse",
    "InvalidJson",
    "Route",
    "RouteLookup",
    "RoutingTable",
    "Stage",
    "assemble_configuration",
    "configuration_difference",
    "encode_chunk",
    "pack_chunk",
    "parse_json",
    "split_configuration",
    "split_items",
    "unpack_chunk",
    "validate_configuration",
    "with_defaults",
]
