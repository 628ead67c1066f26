"""Leases in the register: acquired, renewed and released by a change on a quorum.

No clocks of two machines are compared. The holder counts its lease from before it sent the
request. Another may acquire only after the register's record stood unchanged, on the clock of the
mdconf that answers and since it first saw that very record, for the lease's duration and a margin
for clocks that run at different rates. A record is written after its request was sent, so it is
first seen after the moment from which the holder counts. The change itself compares and swaps:
a renewal that came in between has a higher ballot, and the acquirer starts again from it.
"""

from __future__ import annotations

from dataclasses import replace

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

DRIFT = 16  # clocks of two machines differ in rate by less than one part in so many
CHANGE_WAIT = 900 * MILLISECOND


class FirstSeen:
    """When this process first saw each of the newest records of a key.

    >>> seen = FirstSeen()
    >>> seen.at("k", "a", 10), seen.at("k", "b", 20), seen.at("k", "a", 30)
    (10, 20, 10)
    """

    KEPT = 8  # a few: a record that too few members hold may be seen beside the one that stands

    def __init__(self):
        self.times = {}  # key -> {record: first seen}, the oldest first

    def at(self, key, record, at):
        """When the record was first seen; now, if it is new."""
        times = self.times.setdefault(key, {})
        first = times.setdefault(record, at)
        if len(times) > self.KEPT:
            del times[next(iter(times))]
        return first


class LeaseService:
    """The register's side of leases, at one mdconf."""

    handlers = Handlers()

    def __init__(self, daemon):
        self.daemon = daemon
        self.first_seen = FirstSeen()

    def begin(self):
        """Once the acceptor is loaded: sees each record as soon as this member accepts it."""
        acceptor = self.daemon.store.acceptor
        acceptor.on_accepted = self.note
        self.note(COLLECTOR_KEY, self.accepted_here(COLLECTOR_KEY))

    def note(self, key, value):
        """A value was accepted here: remember when its lease record was first seen."""
        if key == COLLECTOR_KEY and value is not None:
            self.first_seen.at(key, LeaseRecord.decode(value), monotonic_us())

    def accepted_here(self, key):
        """The value that this member accepted for a key, or None."""
        try:
            return self.daemon.store.acceptor.read(key)[1]
        except KeyStateLost:
            return None

    # ------------------------------------------------------------ requests

    @handlers.on(ACQUIRE)
    async def on_acquire(self, peer, facts):
        """Grant the lease if nobody may still hold it."""
        request = AcquireLease.decode(facts)
        here = self.accepted_here(request.key)
        if here is not None:
            self.refuse_while_held(LeaseRecord.decode(here), request)  # spares a ballot
        return await self.change(request, self.acquired)

    @handlers.on(RENEW)
    async def on_renew(self, peer, facts):
        """Renew the lease of its holder."""
        return await self.change(RenewLease.decode(facts), self.renewed)

    @handlers.on(RELEASE)
    async def on_release(self, peer, facts):
        """End the lease of its holder."""
        return await self.change(ReleaseLease.decode(facts), self.released)

    async def change(self, request, transition):
        """transition(record or None, request) -> the new record, or raises Rejected."""

        def make(old):
            record = None if old is None else LeaseRecord.decode(old)
            return transition(record, request).encode()

        if not self.daemon.store.membership:
            raise Rejected(NO_MAJORITY)
        try:
            value = await self.daemon.proposer.change(
                request.key, make, monotonic_us() + CHANGE_WAIT
            )
        except (NoQuorum, OutcomeUnknown):
            raise Rejected(NO_MAJORITY) from None
        record = LeaseRecord.decode(value)
        return LeaseGranted(record.epoch, record.sequence).encode()

    # ------------------------------------------------------------ transitions of a record

    def acquired(self, old, request):
        """The record after an acquisition. Raises Rejected while another may hold it."""
        if old is not None and old.holder == request.holder and request.sequence <= old.sequence:
            return old  # this very request was done already, or a later one was
        if old is not None:
            self.refuse_while_held(old, request)
        epoch = max(old.epoch if old else 0, request.epoch_floor) + 1
        return LeaseRecord(request.holder, epoch, request.sequence, request.duration_us)

    def renewed(self, old, request):
        """The record after a renewal. Raises Rejected unless the requester's lease stands."""
        self.refuse_unless_held_by(old, request)
        if request.sequence <= old.sequence:
            return old
        return replace(old, sequence=request.sequence)

    def released(self, old, request):
        """The record after a release. Raises Rejected unless the requester's lease stands."""
        self.refuse_unless_held_by(old, request)
        return replace(old, sequence=max(old.sequence, request.sequence), released=True)

    def refuse_while_held(self, record, request):
        """Raises Rejected while a holder that is not the requester may believe in its lease. A
        record of a former version has no duration: the requester's is taken."""
        first = self.first_seen.at(request.key, record, monotonic_us())
        if record.released or record.holder == request.holder:
            return
        duration = record.duration_us or request.duration_us
        remaining = first + duration + duration // DRIFT - monotonic_us()
        if remaining >= 0:
            raise Rejected(LEASE_HELD, epoch=record.epoch, remaining_us=remaining)

    def refuse_unless_held_by(self, record, request):
        """Raises Rejected unless the requester's lease, of the same acquisition, stands."""
        held = record is not None and (record.holder, record.epoch) == (
            request.holder,
            request.epoch,
        )
        if not held or (record.released and not isinstance(request, ReleaseLease)):
            raise Rejected(LEASE_LOST, epoch=record.epoch if record else 0)
