"""Packed chunks: how a chunk travels between processes. A checksum, then the body under zlib.

Two forms of one chunk: WHOLE is its body as stored; ROUTING leaves out what no proxy needs: the
operators' verbatim text of each item, what is remembered of its former versions, and dropped items. Both are deterministic, so pieces
of one chunk may come from several members.

>>> from meadowdock.configuration.ranges import seal_range
>>> item = {"kind": "service", "name": "a", "version": 1, "spec": {}, "source": "{ }"}
>>> name, body = seal_range("items", [item])
>>> unpack_chunk(name, pack_chunk(name, body, WHOLE), WHOLE) == body
True
>>> ormsgpack.unpackb(unpack_chunk(name, pack_chunk(name, body, ROUTING), ROUTING))[1][0].keys()
dict_keys(['kind', 'name', 'spec', 'version'])
"""

from __future__ import annotations

import zlib

import ormsgpack

from meadowdock.configuration.ranges import ITEMS
from meadowdock.runtime import fingerprint

WHOLE, ROUTING = "whole", "routing"
ROUTING_FIELDS = ("kind", "name", "spec", "version")
CHECKSUM = 16  # bytes
BODY_MAX = 32 << 20


class CorruptChunk(ValueError):
    """Not what its name and checksum say."""


def checksum(name, body, form):
    return bytes.fromhex(fingerprint(body, key=f"{form} {name}".encode()))


def pack_chunk(name, body, form):
    """The packed form of a chunk whose body is whole."""
    if form == ROUTING:
        body = routing_body(body)
    return checksum(name, body, form) + zlib.compress(body)


def unpack_chunk(name, packed, form):
    """The body. Raises CorruptChunk."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed[CHECKSUM:], BODY_MAX)
    except zlib.error as cause:
        raise CorruptChunk(name) from cause
    if not decompressor.eof or packed[:CHECKSUM] != checksum(name, body, form):
        raise CorruptChunk(name)
    if form == WHOLE and fingerprint(body) != name:
        raise CorruptChunk(name)
    return body


def routing_body(body):
    section, items = ormsgpack.unpackb(body)
    if section != ITEMS:
        return body
    needed = [
        {field: item[field] for field in ROUTING_FIELDS}
        for item in items
        if item["spec"] is not None
    ]
    return ormsgpack.packb([section, needed], option=ormsgpack.OPT_SORT_KEYS)
