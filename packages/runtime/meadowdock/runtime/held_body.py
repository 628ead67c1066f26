"""Bodies that are in the account of a process until the last reference to them goes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from meadowdock.runtime.client_memory import ClientMemory


class HeldBody(bytearray):
    """A body of a request, counted from `hold` on for as long as it exists.

    A view of it, such as the part that a connection has not sent yet, keeps it and so its count: whoever
    holds a body needn't say so, and nobody can forget to release it.

    :ivar memory: the account, None until the body is held.
    :ivar counted_bytes: what it takes of the account.
    """

    memory: ClientMemory | None = None
    counted_bytes = 0

    def hold(self, memory: ClientMemory, size: int | None = None) -> None:
        """Enter the body into the account, once.

        :param size: bytes that it will have; by default those that it has.
        """
        assert self.memory is None
        self.memory = memory
        self.counted_bytes = len(self) if size is None else size
        memory.total += self.counted_bytes

    def __del__(self) -> None:
        if self.memory is not None:
            self.memory.total -= self.counted_bytes


def held(body: bytes | bytearray, memory: ClientMemory) -> bytes | bytearray:
    """Return a body that is in the account; one that is empty takes nothing."""
    if not body:
        return b""
    held_body = body if isinstance(body, HeldBody) else HeldBody(body)
    held_body.hold(memory)
    return held_body
