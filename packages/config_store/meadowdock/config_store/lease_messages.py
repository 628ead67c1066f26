"""Messages between a lease holder and the configuration store, and the stored record of a lease.

All are encoded only here, as maps of their fields.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass, fields
from typing import Any, Self

ACQUIRE, RENEW, RELEASE = "lease.acquire", "lease.renew", "lease.release"
LEASE_HELD = "lease_held"  # another holder's lease may still be valid
LEASE_LOST = "lease_lost"  # a renewal or release by a process that no longer holds the lease
NO_MAJORITY = "no_majority"
# Consensus key of the load collector's lease; stored since release 1, so it must not change.
COLLECTOR_KEY = "duty/collector"


@dataclass(frozen=True)
class Message:
    """A frozen dataclass that is sent as a map.

    Unknown fields come from a newer release and are ignored.
    """

    def encode(self) -> dict[str, Any]:
        """Encode as sent over a link: the fields in order."""
        return asdict(self)

    @classmethod
    def decode(cls, message: Mapping[str, Any]) -> Self:
        """Decode a message received over a link."""
        known = {field.name for field in fields(cls)}
        return cls(**{name: value for name, value in message.items() if name in known})


@dataclass(frozen=True)
class LeaseRecord(Message):
    """The stored record of a lease.

    Invariants: the epoch increases with each acquisition; (holder, epoch, sequence) belongs to one
    request of the holder, so no other process saw it before the holder sent that request.

    >>> LeaseRecord.decode({"epoch": 3, "holder": "10.0.0.1:7411/17"}).sequence
    0
    """

    holder: str
    epoch: int  # the fencing token
    # the number of the request that last changed the record; 0 in a record of an older release
    sequence: int = 0
    duration_us: int = 0  # the holder counts it from before it sent that request
    released: bool = False


@dataclass(frozen=True)
class AcquireLease(Message):
    """A process asks for the lease.

    Invariant of all requests: a holder numbers them in increasing order and uses each number once.
    """

    key: str
    holder: str
    sequence: int
    duration_us: int
    epoch_floor: int  # the highest epoch that the requester has seen; the new epoch is greater


@dataclass(frozen=True)
class RenewLease(Message):
    """The holder asks to extend its lease under the same epoch."""

    key: str
    holder: str
    sequence: int
    epoch: int


@dataclass(frozen=True)
class ReleaseLease(Message):
    """The holder ends its lease."""

    key: str
    holder: str
    sequence: int
    epoch: int


@dataclass(frozen=True)
class LeaseGranted(Message):
    """The lease after a request. The request was granted iff the sequence is its own."""

    epoch: int
    sequence: int
