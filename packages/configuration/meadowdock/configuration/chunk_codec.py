"""The packed format in which chunks are sent: a checksum, then the body compressed with zlib.

A chunk can be packed in two forms. COMPLETE_FORM is the body as stored. ROUTING_FORM omits what
proxies don't need: the verbatim source of each item, the digests of its superseded versions, and
dropped items. Packing is deterministic, so parts of one chunk may be fetched from several members.

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

COMPLETE_FORM, ROUTING_FORM = "whole", "routing"  # values on the wire
ROUTING_FIELDS = ("kind", "name", "spec", "version")
CHECKSUM_BYTES = 16
MAX_BODY_BYTES = 32 << 20  # of an unpacked chunk


def checksum(name: str, body: bytes, form: str) -> bytes:
    """Return the checksum with which a packed chunk begins; it covers name and form as well."""
    return bytes.fromhex(fingerprint(body, key=f"{form} {name}".encode()))


def pack_chunk(name: str, body: bytes, form: str) -> bytes:
    """Pack a chunk.

    :param body: the complete body, whatever the form.
    """
    if form == ROUTING_FORM:
        body = routing_body(body)
    return checksum(name, body, form) + zlib.compress(body)


def unpack_chunk(name: str, packed: bytes, form: str) -> bytes:
    """Return the body of a packed chunk in the given form.

    :raises CorruptChunk: the data is damaged, too large, or belongs to another chunk.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed[CHECKSUM_BYTES:], MAX_BODY_BYTES)
    except zlib.error as cause:
        raise CorruptChunk(f"chunk {name}: can't be decompressed") from cause
    if not decompressor.eof or packed[:CHECKSUM_BYTES] != checksum(name, body, form):
        raise CorruptChunk(f"chunk {name}: truncated, too large, or wrong checksum")
    if form == COMPLETE_FORM and fingerprint(body) != name:
        raise CorruptChunk(f"chunk {name}: the body has the fingerprint {fingerprint(body)}")
    return body


def routing_body(body: bytes) -> bytes:
    """Return the body reduced to the items and fields that proxies need."""
    section, items = ormsgpack.unpackb(body)
    if section != ITEMS_SECTION:
        return body
    needed = [
        {field: item[field] for field in ROUTING_FIELDS}
        for item in items
        if item["spec"] is not None
    ]
    return ormsgpack.packb([section, needed], option=ormsgpack.OPT_SORT_KEYS)
