"""The permission to take part in the bootstrap, kept on disk until the bootstrap.

A platform gives it at the first start alone. A process that ends before the bootstrap finds it on
its disk when it comes back; a disk that was lost, and may have held votes, doesn't have it.
"""

from __future__ import annotations

from dataclasses import dataclass

import ormsgpack

from meadowdock.runtime import DataFolder, add_checksum, verify_checksum

FILE_NAME = "bootstrap"


@dataclass(frozen=True)
class BootstrapGrant:
    """The permission to fix the first members together with the others of a list.

    :ivar members: the rpc addresses of all of them, this process included, sorted.
    """

    members: tuple[str, ...]

    async def save(self, disk: DataFolder) -> None:
        """Write the grant.

        :raises OSError: the disk can't be written.
        """
        record = ormsgpack.packb({"members": self.members})
        await disk.write(FILE_NAME, add_checksum(record))

    @classmethod
    async def load(cls, disk: DataFolder) -> BootstrapGrant | None:
        """Read the grant; None if there is none, or it is damaged.

        :raises OSError: the disk can't be read.
        """
        record = verify_checksum(await disk.read(FILE_NAME))
        return None if record is None else cls(tuple(ormsgpack.unpackb(record)["members"]))
