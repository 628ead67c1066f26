"""The interfaces that forwarding requires; used for type checking only, never imported at run time.

`meadowdock.proxy` implements the endpoint registry and the retry budgets. `sockets` implements
connections over the kernel, and the simulator implements them in memory.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from meadowdock.forwarding.byte_parts import Bytes


class Logger(Protocol):
    """Writes one log event with its fields."""

    def __call__(self, number: int, /, **fields: Any) -> None:
        """Write an event of the catalogue in `meadowdock.logs`, identified by its number."""


class RandomSource(Protocol):
    """The methods of random.Random that are used here."""

    def choice(self, values: str, /) -> str:
        """Return one random character of a string."""

    def randbytes(self, size: int, /) -> bytes:
        """Return a number of random bytes."""


class Endpoint(Protocol):
    """One instance of a service on this machine."""

    service: str
    address: str
    incarnation: str
    capacity: int  # concurrent requests
    in_flight: int
    draining: bool
    removed: bool
    reported_load: float | None  # the load that it reported itself, 0 to 1
    reported_load_at: int
    slow_start_until: int

    @property
    def has_capacity(self) -> bool:
        """Whether it has a free slot for a request now."""


class ServiceOccupation(Protocol):
    """The load of a service at this node."""

    rho: float  # 0 to 1


class EndpointRegistry(Protocol):
    """The endpoints on this machine and their slots."""

    service_loads: Mapping[str, ServiceOccupation]
    # by service: called when one of its endpoints may have a free slot
    slot_waiters: dict[str, Callable[[], None]]

    def local_endpoint(self, service: str) -> Endpoint | None:
        """Return the local endpoint that gets the service's next request, or None."""

    def available_endpoints(self, service: str) -> Iterable[Endpoint]:
        """Return all local endpoints of a service that accept requests."""

    def acquire_slot(self, endpoint: Endpoint, now: int) -> None:
        """Reserve a slot for a request."""

    def release_slot(self, endpoint: Endpoint, now: int) -> None:
        """Release the slot of a request."""

    def adjust_forwarded(self, service: str, change: int, now: int) -> None:
        """Add a change, which may be negative, to the number of requests that are at peers."""

    def mark_unreachable(self, endpoint: Endpoint) -> None:
        """Record that no connection to the endpoint could be opened."""

    def remove(self, endpoint: Endpoint, reason: str) -> None:
        """Remove an endpoint that no longer exists."""


class RetryBudget(Protocol):
    """Limits the retries of one service."""

    def deposit(self, now: int) -> None:
        """Count a request."""

    def try_withdraw(self, now: int) -> bool:
        """Count a retry, if the budget allows it."""

    def set_node_count(self, nodes: int) -> None:
        """Set the number of nodes that share the fleet's reserve of retries."""


class RetryBudgets(Protocol):
    """Creates the retry budgets of services."""

    def new_retry_budget(self, gateway: Any) -> RetryBudget:
        """Return a new budget for one service of a gateway."""


class Connection(Protocol):
    """A stream of bytes to another process."""

    owner: Any
    closed: bool
    unsent_size: int  # bytes that are buffered because the other side does not read
    blocked_since: int  # since when no byte could be sent, 0 if nothing is buffered
    read_paused: Any  # not None while reading is paused
    on_drained: Callable[[], object] | None  # called whenever buffered bytes could be sent

    def send(self, data: Bytes) -> None:
        """Send data now, or buffer it until the other side reads."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Continue reading."""

    def finish(self) -> None:
        """Close the connection once all buffered data is sent."""

    def close(self) -> None:
        """Close the connection now."""


class Network(Protocol):
    """Opens connections."""

    def dial(self, address: str, deadline: int, owner: Any, /) -> None:
        """Connect and call the owner's on_open(connection) or on_fail(cause)."""

    def has_unsent_output(self) -> bool:
        """Return whether an open connection has buffered bytes that the other side has not taken."""
