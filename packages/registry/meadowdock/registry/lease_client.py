"""The client side of a lease that the config stores grant (server side: `config_store/lease.py`).

The lease duration is a trade-off. It bounds the time without a holder after the holder has died;
the other delays of a takeover run in parallel: the other registries detect the missing heartbeats
after 1.25 s and then wait according to their rank (0.5 s). With a duration of 2 s and a renewal
each second, a dead holder's lease has 1 to 2 s left, so a takeover happens hardly later than it
would without a lease, and load lists are stale after 2 s in any case. A shorter duration costs more
writes (each renewal is a prepare and a write, with two synced files at each voter) and loses the
lease whenever the store is briefly slow. A longer one leaves the mesh without load lists.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from meadowdock.config_store.lease_messages import (
    ACQUIRE,
    LEASE_HELD,
    LEASE_LOST,
    RELEASE,
    RENEW,
    AcquireLease,
    LeaseGranted,
    ReleaseLease,
    RenewLease,
)
from meadowdock.process import Node
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us

MIN_DURATION_US = SECOND
MAX_DURATION_US = 2 * SECOND  # load lists become stale after this time
ACQUIRE_TIMEOUT_US = SECOND
RELEASE_TIMEOUT_US = 400 * MILLISECOND
HEDGES_PER_DURATION = 12  # another config store is asked each time 1/12 of the duration has passed
STORE_ROLE = "mdconf"

LeaseMessage = AcquireLease | RenewLease | ReleaseLease
Answer = LeaseGranted | Rejected


def lease_duration(contact_us: int) -> int:
    """Return the lease duration in microseconds, between its bounds.

    It is two thirds of `contact_us`, the time within which processes reach each other again after a
    fault.

    >>> lease_duration(3_000_000), lease_duration(600_000), lease_duration(30_000_000)
    (2000000, 1000000, 2000000)
    """
    return min(max(contact_us * 2 // 3, MIN_DURATION_US), MAX_DURATION_US)


@dataclass(frozen=True)
class GrantedLease:
    """A granted lease; times are in microseconds of the monotonic clock.

    Invariant: times are measured from before the request was sent, so that the lease expires at its
    holder before it expires at the config stores.
    """

    epoch: int
    renew_at: int
    expires_at: int


@dataclass
class LeaseRequest:
    """One request, which may be sent to several config stores, and its result.

    Each request has its own sequence number, so running it at several config stores has the same
    effect as running it once.
    """

    method: str
    message: LeaseMessage
    deadline: int
    answer: Answer | None = None
    may_have_run: bool = False  # a store that didn't answer may have executed it


class LeaseClient:
    """Acquires, renews and releases one lease, of which this process is a candidate holder.

    Invariants: the epoch is valid only before `granted.expires_at`, which is compared with the
    monotonic clock at each use, so that a process that was paused finds its lease expired; the
    sequence number only increases.
    """

    def __init__(self, node: Node, key: str, duration_us: int) -> None:
        self.node = node
        self.key = key
        self.duration_us = duration_us
        # the random part makes a restarted process a different holder, whatever the wall clock says
        self.holder = f"{node.settings.rpc_address}/{node.runtime.rng.getrandbits(64):016x}"
        self.sequence = 0
        self.granted: GrantedLease | None = None
        self.preferred_store: str | None = None  # the config store that granted the last request
        self.acquire_not_before = 0

    @property
    def epoch(self) -> int | None:
        """The fencing token, or None without a valid lease."""
        granted = self.granted
        return (
            granted.epoch if granted is not None and monotonic_us() < granted.expires_at else None
        )

    @property
    def expired(self) -> bool:
        """Whether a lease was granted and has run out."""
        return self.granted is not None and self.epoch is None

    @property
    def may_acquire(self) -> bool:
        """Whether an acquisition may be attempted now.

        It may not be for some time after a request that may have been executed but was not
        answered: a lease granted that way is used by nobody, and the other candidates have to wait
        for its full duration.
        """
        return monotonic_us() >= self.acquire_not_before

    @property
    def should_renew(self) -> bool:
        """Whether it is time to renew the lease."""
        return self.granted is not None and monotonic_us() >= self.granted.renew_at

    def drop(self) -> None:
        """Stop using the lease, without releasing it at the config stores."""
        self.granted = None

    async def acquire(self, epoch_floor: int) -> Rejected | None:
        """Request the lease under an epoch above the floor; `epoch` is set if it was granted.

        :returns: the refusal, if a config store refused.
        """
        message = AcquireLease(
            self.key, self.holder, self.next_sequence(), self.duration_us, epoch_floor
        )
        requested_at = monotonic_us()
        answer = await self.send(ACQUIRE, message, requested_at + ACQUIRE_TIMEOUT_US)
        if not isinstance(answer, LeaseGranted):
            return answer
        self.record_grant(answer.epoch, requested_at)
        return None

    async def renew(self) -> Rejected | None:
        """Extend the granted lease by another duration.

        A lease that was dropped or replaced while the request was in flight is left unchanged.

        :returns: the refusal, if a config store refused.
        """
        granted, requested_at = self.granted, monotonic_us()
        if granted is None:
            return None
        message = RenewLease(self.key, self.holder, self.next_sequence(), granted.epoch)
        deadline = min(requested_at + self.duration_us // 4, granted.expires_at)
        answer = await self.send(RENEW, message, deadline)
        if not isinstance(answer, LeaseGranted):
            return answer
        if self.granted is granted:
            self.record_grant(granted.epoch, requested_at)
        return None

    async def release(self) -> None:
        """Drop the lease, and release it at the config stores so that nobody waits for its expiry.

        It is dropped first, so that this process is no holder any more once others can acquire it.
        """
        granted, self.granted = self.granted, None
        if granted is None:
            return
        message = ReleaseLease(self.key, self.holder, self.next_sequence(), granted.epoch)
        await self.send(RELEASE, message, monotonic_us() + RELEASE_TIMEOUT_US)

    def record_grant(self, epoch: int, requested_at: int) -> None:
        """Record a granted lease, whose times are measured from when it was requested."""
        duration = self.duration_us
        self.granted = GrantedLease(epoch, requested_at + duration // 2, requested_at + duration)

    def next_sequence(self) -> int:
        """Return the sequence number of the next request."""
        self.sequence += 1
        return self.sequence

    def stores(self) -> list[str]:
        """Return the known config stores in random order, with the preferred one first."""
        addresses = self.node.membership.core_members(STORE_ROLE)
        self.node.runtime.rng.shuffle(addresses)
        return sorted(addresses, key=lambda address: address != self.preferred_store)

    async def send(self, method: str, message: LeaseMessage, deadline: int) -> Answer | None:
        """Send a request to one config store, and hedge it to the others one by one.

        The next config store is asked once the previous one refused, failed, or has not answered
        for 1/HEDGES_PER_DURATION of the lease duration.

        :returns: the grant, a refusal, or None if nobody answered by the deadline.
        """
        request = LeaseRequest(method, message, deadline)
        async with trio.open_nursery() as nursery:  # each attempt ends by the deadline
            for address in self.stores():
                attempt_over = trio.Event()
                nursery.start_soon(
                    self.attempt, request, address, attempt_over, nursery.cancel_scope
                )
                with deadline_scope(
                    min(deadline, monotonic_us() + self.duration_us // HEDGES_PER_DURATION)
                ):
                    await attempt_over.wait()
                if monotonic_us() >= deadline:
                    break
        is_unknown = request.answer is None and request.may_have_run
        self.acquire_not_before = monotonic_us() + 2 * self.duration_us if is_unknown else 0
        return request.answer

    async def attempt(
        self,
        request: LeaseRequest,
        address: str,
        attempt_over: trio.Event,
        all_attempts: trio.CancelScope,
    ) -> None:
        """Send a request to one config store; a decisive answer cancels the other attempts."""
        try:
            wire = await self.node.rpc.call(
                address, request.method, request.message.encode(), request.deadline
            )
            granted = LeaseGranted.decode(wire)
            if granted.sequence == request.message.sequence:
                request.answer, self.preferred_store = granted, address
                all_attempts.cancel()
        except ConnectionFailed as failure:
            request.may_have_run |= failure.sent
        except Rejected as refusal:
            if not isinstance(request.answer, LeaseGranted):
                request.answer = refusal
            if refusal.code in (LEASE_HELD, LEASE_LOST):
                # The other stores would refuse this request as well. The next request may begin
                # with another store, which may have seen the lease record earlier and grant sooner.
                self.preferred_store = None
                all_attempts.cancel()
        attempt_over.set()
