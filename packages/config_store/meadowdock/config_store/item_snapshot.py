"""The items of a revision, decoded from its chunks.

State: the decoded items of the newest revision that was requested. A read of an unchanged revision
therefore decodes nothing, and a read of its successor only the chunks that changed.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

import ormsgpack

from meadowdock.config_store.revision import Revision
from meadowdock.configuration import items as config_items
from meadowdock.consensus import NoQuorum

if TYPE_CHECKING:
    from meadowdock.config_store.chunks import ChunkService

Item = dict[str, Any]
ItemsByKey = Mapping[tuple[str, str], Item]  # (kind, name) -> item, including dropped ones


class ItemSnapshot:
    """Decoded items.

    Invariant: `items` is the decoded content of the chunks `names`, which are those of `version`.
    """

    def __init__(self, chunks: ChunkService) -> None:
        self.chunks = chunks
        self.version = 0
        self.names: tuple[str, ...] = ()
        self.items_by_chunk: dict[str, list[Item]] = {}
        self.items: ItemsByKey = {}

    async def items_of(self, revision: Revision, deadline: int) -> ItemsByKey:
        """Return all items of a revision, including dropped ones.

        Only chunks that are not decoded yet are fetched.

        :raises NoQuorum: a chunk could not be fetched
        """
        names = revision.item_chunks
        if names == self.names:
            return self.items
        items_by_chunk = {
            name: self.items_by_chunk[name] for name in names if name in self.items_by_chunk
        }
        unknown = [name for name in names if name not in items_by_chunk]
        items_by_chunk |= await self.fetch_decoded(unknown, deadline)
        items = {
            config_items.item_key(item): item for name in names for item in items_by_chunk[name]
        }
        if revision.version >= self.version:
            self.version, self.names = revision.version, names
            self.items_by_chunk, self.items = items_by_chunk, items
        return items

    async def fetch_decoded(self, names: Sequence[str], deadline: int) -> dict[str, list[Item]]:
        """Fetch and decode all these chunks: {name: its items}. Raises NoQuorum."""
        bodies = await self.chunks.fetch(names, deadline)
        if len(bodies) < len(names):
            raise NoQuorum("item chunks")
        return {name: ormsgpack.unpackb(body)[1] for name, body in bodies.items()}
