"""Listening on an address that another socket may hold for a while."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from meadowdock.logs import Log
from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, sleep_us

RETRY_DELAY_US = 100 * MILLISECOND


@dataclass(frozen=True)
class ListenStatus:
    """Notes that an address is listened on; used as the task status of the listening task."""

    addresses: AddressQueue
    address: str

    def started(self, value: object = None) -> None:
        """Note that the listener is open."""
        self.addresses.waiting.pop(self.address, None)


class AddressQueue:
    """The addresses of a process that can't be listened on yet.

    Invariant: waiting holds the cause for each address that is tried again.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.waiting: dict[str, str] = {}

    async def listen(self, address: str, listen: Callable[[], Awaitable[object]]) -> None:
        """Call `listen` until it doesn't raise OSError; log each cause once."""
        while not await self.try_to_listen(address, listen):
            await sleep_us(RETRY_DELAY_US)

    async def try_to_listen(self, address: str, listen: Callable[[], Awaitable[object]]) -> bool:
        """Call `listen` once, and return whether it succeeded."""
        try:
            await listen()
        except OSError as error:
            cause = str(error)
            if self.waiting.get(address) != cause:
                self.waiting[address] = cause
                self.log(log_events.LISTENER_WAITING, address=address, cause=cause)
            return False
        self.waiting.pop(address, None)
        return True

    def status_of(self, address: str) -> ListenStatus:
        """Return a task status for a `listen` that goes on until the listener is closed."""
        return ListenStatus(self, address)

    def unready_reasons(self) -> list[str]:
        """Return why the process is not ready."""
        return [f"can't listen on {address}" for address in self.waiting]
