"""Splitting a configuration into immutable chunks, each named by the hash of its content.

Chunk boundaries depend only on the names of the entries (content-defined chunking). A change thus
affects only the chunks that contain it, and equal configurations yield equal chunks. The section
"items" (configuration by items, `meadowdock.configuration.items`) is split separately, and its
chunks come after those of the operators' configuration.
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
BOUNDARY_DIGEST_BYTES = 2

Entry = Mapping[str, Any]


class Chunk(NamedTuple):
    """One chunk as it is stored."""

    name: str  # the fingerprint of the body
    body: bytes


def encode_chunk(section: str, entries: list[Any]) -> Chunk:
    """Encode entries of one section as a chunk."""
    body = ormsgpack.packb([section, entries], option=ormsgpack.OPT_SORT_KEYS)
    return Chunk(fingerprint(body), body)


def split_configuration(configuration: ConfigurationMap) -> list[Chunk]:
    """Split an operators' configuration into chunks, in the order of SECTIONS.

    :param configuration: its entries are already sorted by name.
    """
    chunks = []
    for section in SECTIONS:
        if section == LOAD_SECTION:
            chunks.append(encode_chunk(section, [configuration[section]]))
        else:
            chunks += split_section(section, configuration[section], lambda entry: entry["name"])
    return chunks


def split_items(items: Mapping[tuple[str, str], Entry]) -> list[Chunk]:
    """Split items into chunks.

    :param items: by kind and name; dropped items are included.
    """
    sorted_items = [items[key] for key in sorted(items)]
    return split_section(ITEMS_SECTION, sorted_items, lambda item: f"{item['kind']}/{item['name']}")


def split_section(
    section: str, entries: Iterable[Entry], name_of: Callable[[Entry], str]
) -> list[Chunk]:
    """Split one section into chunks."""
    chunks = []
    pending: list[Entry] = []
    for entry in entries:
        pending.append(entry)
        if is_chunk_boundary(name_of(entry)):
            chunks.append(encode_chunk(section, pending))
            pending = []
    if pending:
        chunks.append(encode_chunk(section, pending))
    return chunks


def is_chunk_boundary(name: str) -> bool:
    """Return whether a chunk ends after the entry with this name."""
    digest = hashlib.blake2b(name.encode(), digest_size=BOUNDARY_DIGEST_BYTES).digest()
    return digest[0] % MEAN_CHUNK_LENGTH == 0


def assemble_configuration(bodies: Iterable[bytes]) -> ConfigurationMap:
    """Return the configuration that these chunks contain.

    It has the section "items" only if one of the chunks belongs to that section.

    >>> configuration = {
    ...     "services": [{"name": "a"}], "budgets": [], "load": {"omega": 0.9}, "ways": []
    ... }
    >>> bodies = [chunk.body for chunk in split_configuration(configuration)]
    >>> assemble_configuration(bodies) == configuration
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
