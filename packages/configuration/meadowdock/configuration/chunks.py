"""A configuration as a list of immutable chunks, each named by the hash of its content.

Where chunks begin and end depends on the names of the entries alone (content-defined chunking), so
a change touches only the chunks that hold it, and equal configurations give equal chunks. The
section "items" (configuration by items, `meadowdock.configuration.items`) is split by itself and
comes after the operators' configuration.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import ormsgpack

from meadowdock.configuration.schema import ConfigurationMap
from meadowdock.runtime import fingerprint

LOAD_SECTION = "load"
ITEMS_SECTION = "items"
SECTIONS = ("services", "budgets", LOAD_SECTION, "ways")
MEAN_CHUNK_LENGTH = 64  # entries
DIGEST_BYTES = 2

Entry = Mapping[str, Any]


class Chunk(NamedTuple):
    """One chunk as it is stored."""

    name: str  # the fingerprint of the body
    body: bytes


def encode_chunk(section: str, entries: list[Any]) -> Chunk:
    """The chunk of these entries."""
    body = ormsgpack.packb([section, entries], option=ormsgpack.OPT_SORT_KEYS)
    return Chunk(fingerprint(body), body)


def split_configuration(configuration: ConfigurationMap) -> list[Chunk]:
    """The chunks of an operators' configuration, in order. Entries are sorted by name already."""
    chunks = []
    for section in SECTIONS:
        if section == LOAD_SECTION:
            chunks.append(encode_chunk(section, [configuration[section]]))
        else:
            chunks += split_section(section, configuration[section], lambda entry: entry["name"])
    return chunks


def split_items(items: Mapping[tuple[str, str], Entry]) -> list[Chunk]:
    """The chunks of {(kind, name): item}, dropped ones included."""
    in_order = [items[key] for key in sorted(items)]
    return split_section(ITEMS_SECTION, in_order, lambda item: f"{item['kind']}/{item['name']}")


def split_section(
    section: str, entries: Iterable[Entry], name_of: Callable[[Entry], str]
) -> list[Chunk]:
    """The chunks of one section."""
    chunks = []
    pending: list[Entry] = []
    for entry in entries:
        pending.append(entry)
        if ends_chunk(name_of(entry)):
            chunks.append(encode_chunk(section, pending))
            pending = []
    if pending:
        chunks.append(encode_chunk(section, pending))
    return chunks


def ends_chunk(name: str) -> bool:
    """Whether a chunk ends after the entry of this name."""
    digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()
    return digest[0] % MEAN_CHUNK_LENGTH == 0


def assemble(bodies: Iterable[bytes]) -> ConfigurationMap:
    """The configuration of these chunks; with its "items" if it has any.

    >>> configuration = {
    ...     "services": [{"name": "a"}], "budgets": [], "load": {"omega": 0.9}, "ways": []
    ... }
    >>> assemble(chunk.body for chunk in split_configuration(configuration)) == configuration
    True
    """
    configuration: ConfigurationMap = {"services": [], "budgets": [], LOAD_SECTION: {}, "ways": []}
    for body in bodies:
        section, entries = ormsgpack.unpackb(body)
        if section == LOAD_SECTION:
            configuration[section] = entries[0]
        elif section == ITEMS_SECTION:
            configuration.setdefault(section, []).extend(entries)
        else:
            configuration[section] += entries
    return configuration
