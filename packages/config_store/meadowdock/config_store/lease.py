"""Leases: acquired, renewed and released by a consensus change of the lease's record.

Clocks of different machines are never compared. The holder counts its lease from before it sent the
request. Another process may acquire the lease only after the record has stayed unchanged for the
lease's duration plus a margin for clocks that run at different rates. The configuration store that
handles the request measures this on its own clock, from when it first saw that very record. A
record is written after its request was sent, so it is first seen after the moment from which the
holder counts. The change itself is a compare-and-swap: a renewal that was written in between has a
higher ballot, and the acquisition is evaluated again on the renewed record.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from meadowdock.config_store.lease_messages import (
    ACQUIRE,
    COLLECTOR_KEY,
    LEASE_HELD,
    LEASE_LOST,
    NO_MAJORITY,
    RELEASE,
    RENEW,
    AcquireLease,
    LeaseGranted,
    LeaseRecord,
    ReleaseLease,
    RenewLease,
)
from meadowdock.consensus import KeyStateLost, NoQuorum, OutcomeUnknown
from meadowdock.rpc import Handlers, Rejected
from meadowdock.runtime import MILLISECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

Request = AcquireLease | RenewLease | ReleaseLease

CLOCK_DRIFT_DIVISOR = 16  # the clock rates of two machines differ by less than 1/16
CHANGE_TIMEOUT_US = 900 * MILLISECOND


class FirstSeenTimes:
    """When this process first saw each of the newest records of a key.

    >>> seen = FirstSeenTimes()
    >>> seen.observe("k", "a", 10), seen.observe("k", "b", 20), seen.observe("k", "a", 30)
    (10, 20, 10)
    """

    # More than one, because a record that too few members accepted may be seen next to the
    # current one.
    MAX_RECORDS_PER_KEY = 8

    def __init__(self) -> None:
        self.times: dict[str, dict[Hashable, int]] = {}  # key -> {record: time}, oldest first

    def observe(self, key: str, record: Hashable, now_us: int) -> int:
        """Return when the record was first seen; if it is new, register it as seen now."""
        times = self.times.setdefault(key, {})
        first_seen_at = times.setdefault(record, now_us)
        if len(times) > self.MAX_RECORDS_PER_KEY:
            del times[next(iter(times))]
        return first_seen_at


class LeaseService:
    """Serves the requests of lease holders, at one configuration store."""

    handlers = Handlers()

    def __init__(self, server: ConfigStore) -> None:
        self.server = server
        self.first_seen = FirstSeenTimes()

    def start(self) -> None:
        """Observe each record as soon as this member accepts it.

        Called once the acceptor is loaded.
        """
        acceptor = self.server.store.acceptor
        acceptor.on_accepted = self.on_accepted
        self.on_accepted(COLLECTOR_KEY, self.accepted_value(COLLECTOR_KEY))

    def on_accepted(self, key: str, value: Any) -> None:
        """Note when the lease record in an accepted value was first seen."""
        if key == COLLECTOR_KEY and value is not None:
            self.first_seen.observe(key, LeaseRecord.decode(value), monotonic_us())

    def accepted_value(self, key: str) -> Any:
        """Return the value that this member accepted for a key, or None."""
        try:
            return self.server.store.acceptor.read(key)[1]
        except KeyStateLost:
            return None

    @handlers.on(ACQUIRE)
    async def on_acquire(self, peer: object, message: dict[str, Any]) -> dict[str, Any]:
        """Grant the lease if no other process may still hold it.

        :raises Rejected: LEASE_HELD, with the remaining time; or NO_MAJORITY.
        """
        request = AcquireLease.decode(message)
        accepted = self.accepted_value(request.key)
        if accepted is not None:
            # Reject without a ballot if the value accepted here shows a valid lease.
            self.reject_if_leased(LeaseRecord.decode(accepted), request)
        return await self.change(request, self.acquired)

    @handlers.on(RENEW)
    async def on_renew(self, peer: object, message: dict[str, Any]) -> dict[str, Any]:
        """Renew the lease for its holder.

        :raises Rejected: LEASE_LOST or NO_MAJORITY.
        """
        return await self.change(RenewLease.decode(message), self.renewed)

    @handlers.on(RELEASE)
    async def on_release(self, peer: object, message: dict[str, Any]) -> dict[str, Any]:
        """Release the lease for its holder.

        :raises Rejected: LEASE_LOST or NO_MAJORITY.
        """
        return await self.change(ReleaseLease.decode(message), self.released)

    async def change(
        self,
        request: Request,
        transition: Callable[[LeaseRecord | None, Any], LeaseRecord],
    ) -> dict[str, Any]:
        """Change the lease's record to transition(record or None, request).

        The transition may raise Rejected, which leaves the record unchanged.

        :raises Rejected: by the transition; or NO_MAJORITY, if no quorum confirmed the change in
            time.
        """

        def update(old: Any) -> dict[str, Any]:
            record = None if old is None else LeaseRecord.decode(old)
            return transition(record, request).encode()

        if not self.server.store.membership:
            raise Rejected(NO_MAJORITY)
        try:
            value = await self.server.proposer.change(
                request.key, update, monotonic_us() + CHANGE_TIMEOUT_US
            )
        except (NoQuorum, OutcomeUnknown):
            raise Rejected(NO_MAJORITY) from None
        record = LeaseRecord.decode(value)
        return LeaseGranted(record.epoch, record.sequence).encode()

    def acquired(self, old: LeaseRecord | None, request: AcquireLease) -> LeaseRecord:
        """Return the record after an acquisition.

        :raises Rejected: another process may hold the lease.
        """
        if old is not None and old.holder == request.holder and request.sequence <= old.sequence:
            return old  # this very request, or a later one, was applied already
        if old is not None:
            self.reject_if_leased(old, request)
        epoch = max(old.epoch if old else 0, request.epoch_floor) + 1
        return LeaseRecord(request.holder, epoch, request.sequence, request.duration_us)

    def renewed(self, old: LeaseRecord | None, request: RenewLease) -> LeaseRecord:
        """Return the record after a renewal.

        :raises Rejected: the requester no longer holds the lease.
        """
        old = self.checked_holder(old, request)
        if request.sequence <= old.sequence:
            return old
        return replace(old, sequence=request.sequence)

    def released(self, old: LeaseRecord | None, request: ReleaseLease) -> LeaseRecord:
        """Return the record after a release.

        :raises Rejected: the requester no longer holds the lease.
        """
        old = self.checked_holder(old, request)
        return replace(old, sequence=max(old.sequence, request.sequence), released=True)

    def reject_if_leased(self, record: LeaseRecord, request: AcquireLease) -> None:
        """Reject an acquisition while the lease of another holder may be valid.

        A record of an older release has no duration; the requester's duration is used instead.

        :raises Rejected: LEASE_HELD, with the remaining time.
        """
        first_seen_at = self.first_seen.observe(request.key, record, monotonic_us())
        if record.released or record.holder == request.holder:
            return
        duration = record.duration_us or request.duration_us
        remaining = first_seen_at + duration + duration // CLOCK_DRIFT_DIVISOR - monotonic_us()
        if remaining >= 0:
            raise Rejected(LEASE_HELD, epoch=record.epoch, remaining_us=remaining)

    def checked_holder(
        self, record: LeaseRecord | None, request: RenewLease | ReleaseLease
    ) -> LeaseRecord:
        """Return the record if the requester holds the lease under the epoch that it names.

        :raises Rejected: LEASE_LOST, with the current epoch.
        """
        if record is None:
            raise Rejected(LEASE_LOST, epoch=0)
        is_holder = (record.holder, record.epoch) == (request.holder, request.epoch)
        if not is_holder or (record.released and not isinstance(request, ReleaseLease)):
            raise Rejected(LEASE_LOST, epoch=record.epoch)
        return record
