"""Messages between a lease holder and the configuration store, and the stored record of a lease.

All are encoded in this module alone, as maps of their fields.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass, fields
from typing import Any, Self

ACQUIRE, RENEW, RELEASE = "lease.acquire", "lease.renew", "lease.release"
LEASE_HELD = "lease_held"  # another holder's lease may still be valid
LEASE_LOST = "lease_lost"  # the lease to renew or release is no longer the requester's
NO_MAJORITY = "no_majority"
COLLECTOR_KEY = "duty/collector"  # the key of the load collector's lease; as stored since release 1


@dataclass(frozen=True)
class Message:
    """A frozen dataclass that travels as a map. Unknown fields are of a later version: ignored."""

    def encode(self) -> dict[str, Any]:
        """As sent on a link: the fields in order."""
        return asdict(self)

    @classmethod
    def decode(cls, facts: Mapping[str, Any]) -> Self:
        """From what came over a link."""
        known = {field.name for field in fields(cls)}
        return cls(**{name: value for name, value in facts.items() if name in known})


@dataclass(frozen=True)
class LeaseRecord(Message):
    """The stored record of a lease.

    Invariants: epoch goes up with each acquisition; (holder, epoch, sequence) belongs to one
    request of the holder, so nobody saw it before the holder sent that request.

    >>> LeaseRecord.decode({"epoch": 3, "holder": "10.0.0.1:7411/17"}).sequence
    0
    """

    holder: str
    epoch: int  # the fencing token
    sequence: int = 0  # of the request that acquired or last renewed it; 0 in a former version's
    duration_us: int = 0  # counted by the holder from before it sent that request
    released: bool = False


@dataclass(frozen=True)
class AcquireLease(Message):
    """Invariant of all requests: a holder numbers them upwards and uses each number once."""

    key: str
    holder: str
    sequence: int
    duration_us: int
    epoch_floor: int  # the highest epoch that the requester has seen; the new one is above


@dataclass(frozen=True)
class RenewLease(Message):
    """The holder asks to go on under the same epoch."""

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
    """The lease after a request. The request was granted iff sequence is its own."""

    epoch: int
    sequence: int
