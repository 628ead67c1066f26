"""Packed chunks: how a chunk travels between processes. A checksum, then the body under zlib.

Two forms of one chunk: COMPLETE_FORM is its body as stored; ROUTING_FORM leaves out what no proxy
needs: the operators' verbatim text of each item, what is remembered of its former versions, and
dropped items. Both are deterministic, so parts of one chunk may come from several members.

>>> from meadowdock.configuration.chunks import encode_chunk
>>> item = {"kind": "service", "name": "a", "version": 1, "spec": {}, "source": "{ }"}
>>> name, body = encode_chunk("items", [item])
>>> unpack_chunk(name, pack_chunk(name, body, COMPLETE_FORM), COMPLETE_FORM) == body
True
>>> routing = unpack_chunk(name, pack_chunk(name, body, ROUTING_FORM), ROUTING_FORM)
>>> ormsgpack.unpackb(routing)[1][0].keys()
dict_keys(['kind', 'name', 'spec', 'version'])
"""

from __future__ import annotations

import zlib

import ormsgpack

from meadowdock.configuration.chunks import ITEMS_SECTION
from meadowdock.configuration.exceptions import CorruptChunk
from meadowdock.runtime import fingerprint

COMPLETE_FORM, ROUTING_FORM = "whole", "routing"  # as on the wire
ROUTING_FIELDS = ("kind", "name", "spec", "version")
CHECKSUM_BYTES = 16
MAX_BODY_BYTES = 32 << 20


def checksum(name: str, body: bytes, form: str) -> bytes:
    """What a packed chunk begins with. It covers the chunk's name and form too."""
    return bytes.fromhex(fingerprint(body, key=f"{form} {name}".encode()))


def pack_chunk(name: str, body: bytes, form: str) -> bytes:
    """The packed form of a chunk, given its complete body."""
    if form == ROUTING_FORM:
        body = routing_body(body)
    return checksum(name, body, form) + zlib.compress(body)


def unpack_chunk(name: str, packed: bytes, form: str) -> bytes:
    """The body of a packed chunk in that form.

    :raises CorruptChunk: it is damaged, too large, or another chunk.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed[CHECKSUM_BYTES:], MAX_BODY_BYTES)
    except zlib.error as cause:
        raise CorruptChunk(name) from cause
    if not decompressor.eof or packed[:CHECKSUM_BYTES] != checksum(name, body, form):
        raise CorruptChunk(name)
    if form == COMPLETE_FORM and fingerprint(body) != name:
        raise CorruptChunk(name)
    return body


def routing_body(body: bytes) -> bytes:
    """The body with what a proxy needs of it."""
    section, items = ormsgpack.unpackb(body)
    if section != ITEMS_SECTION:
        return body
    needed = [
        {field: item[field] for field in ROUTING_FIELDS}
        for item in items
        if item["spec"] is not None
    ]
    return ormsgpack.packb([section, needed], option=ormsgpack.OPT_SORT_KEYS)
