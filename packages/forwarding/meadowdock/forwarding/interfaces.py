"""What forwarding needs of its surroundings, as types alone: no module imports this one at run time.

`meadowdock.proxy` has the registry of endpoints and the retry budgets; `sockets` has connections
over the kernel, the simulator has the same in memory.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol


class Logger(Protocol):
    """Writes one event with its fields."""

    def __call__(self, number: int, /, **fields: Any) -> None:
        """Write an event of the catalogue in `meadowdock.logs`."""


class RandomSource(Protocol):
    """The part of random.Random that is used here."""

    def choice(self, values: str, /) -> str:
        """One character."""

    def randbytes(self, size: int, /) -> bytes:
        """So many random bytes."""


class Endpoint(Protocol):
    """One instance of a service on this machine."""

    service: str
    address: str
    incarnation: str
    capacity: int  # requests at once
    in_flight: int
    draining: bool
    removed: bool
    reported_load: float | None  # its load as it reported it, 0 to 1
    reported_load_at: int
    slow_start_until: int

    @property
    def has_capacity(self) -> bool:
        """Whether it takes a request now."""


class ServiceOccupation(Protocol):
    """How busy a service is at this node."""

    rho: float  # its load, 0 to 1


class EndpointRegistry(Protocol):
    """The endpoints on this machine, and their slots."""

    service_loads: Mapping[str, ServiceOccupation]
    slot_waiters: dict[
        str, Callable[[], None]
    ]  # called when a service's endpoint may have a free slot

    def local_endpoint(self, service: str) -> Endpoint | None:
        """The endpoint here that takes the service's next request, or None."""

    def available_endpoints(self, service: str) -> Iterable[Endpoint]:
        """All endpoints of a service here that take requests."""

    def acquire_slot(self, endpoint: Endpoint, at: int) -> None:
        """A request takes a slot."""

    def release_slot(self, endpoint: Endpoint, at: int) -> None:
        """A request gives its slot back."""

    def adjust_forwarded(self, service: str, change: int, at: int) -> None:
        """So many more requests of the service are at peers."""

    def mark_unreachable(self, endpoint: Endpoint) -> None:
        """The endpoint took no connection."""

    def remove(self, endpoint: Endpoint, why: str) -> None:
        """The endpoint is not there any more."""


class RetryBudget(Protocol):
    """The bound on retries of one service."""

    def deposit(self, at: int) -> None:
        """Count a request."""

    def try_withdraw(self, at: int) -> bool:
        """Count a retry, if the budget allows it."""

    def share_between(self, nodes: int) -> None:
        """So many nodes share the fleet's reserve."""


class RetryBudgets(Protocol):
    """Makes the retry budget of a service."""

    def new_retry_budget(self, gate: Any) -> RetryBudget:
        """A new budget."""


class Connection(Protocol):
    """A stream of bytes to another process."""

    owner: Any
    closed: bool
    unsent_size: int  # bytes that were not taken by the other side yet
    blocked_since: int  # when the other side stopped taking bytes, 0 if it takes them
    read_paused: Any  # not None while reading is paused

    def send(self, data: bytes) -> None:
        """Send now, or as soon as the other side takes it."""

    def pause(self) -> None:
        """Read nothing for now."""

    def resume(self) -> None:
        """Read again."""

    def finish(self) -> None:
        """Close once everything is sent."""

    def close(self) -> None:
        """Close now."""


class Network(Protocol):
    """Opens connections."""

    def dial(self, address: str, deadline: int, owner: Any, /) -> None:
        """Connect; the owner's on_open(connection) or on_fail(cause) says how it went."""
