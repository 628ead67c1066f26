"""The client side of a lease that the config stores grant (server side: `config_store/lease.py`).

Trade-off of the duration. It is the longest that nobody holds the lease after its holder died, on
top of nothing else: while it runs out, the other registries notice the silence (1.25 s) and wait
for their rank (0.5 s). With 2 s, renewed each second, a dead holder's lease has 1 to 2 s left, so
that a takeover is hardly later than without a lease, and load lists are stale after 2 s anyway.
Shorter costs more writes (each renewal is a prepare and a write, two synced files at each voter),
and a lease lost whenever the store is slow for a moment; longer leaves the mesh without lists.
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
MAX_DURATION_US = 2 * SECOND  # load lists are stale after it
ACQUIRE_TIMEOUT_US = SECOND
RELEASE_TIMEOUT_US = 400 * MILLISECOND
HEDGES_PER_DURATION = 12  # a further config store is asked each time such a part has passed
STORE_ROLE = "mdconf"

LeaseMessage = AcquireLease | RenewLease | ReleaseLease
Answer = LeaseGranted | Rejected


def lease_duration(contact_us: int) -> int:
    """The duration in us: two thirds of the time within which processes reach each other again
    after a fault.

    >>> lease_duration(3_000_000), lease_duration(600_000), lease_duration(30_000_000)
    (2000000, 1000000, 2000000)
    """
    return min(max(contact_us * 2 // 3, MIN_DURATION_US), MAX_DURATION_US)


@dataclass(frozen=True)
class GrantedLease:
    """A lease as granted. Invariant: times count from before the request was sent, on the monotonic
    clock in us, so that it ends here before it ends at the config stores."""

    epoch: int
    renew_at: int
    expires_at: int


@dataclass
class LeaseRequest:
    """One request and what has come of it. Several config stores are asked; each request has a
    sequence number of its own, so that being done twice makes no difference."""

    method: str
    message: LeaseMessage
    deadline: int
    answer: Answer | None = None
    may_have_run: bool = False  # a store that didn't answer may have done it


class LeaseClient:
    """Acquires, renews and releases one lease, of which this process is a candidate holder.

    Invariants: the epoch is used only while `granted.expires_at` lies ahead, checked at each use on
    the monotonic clock, so that a process that was paused finds its lease expired; the sequence
    number only goes up.
    """

    def __init__(self, node: Node, key: str, duration_us: int) -> None:
        self.node = node
        self.key = key
        self.duration_us = duration_us
        # a random number: a restarted process is another holder, whatever the wall clock says
        self.holder = f"{node.settings.link}/{node.runtime.rng.getrandbits(64):016x}"
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
        """False for a while after a request that may have been done without an answer: each such
        acquisition would make the others wait for another full duration that nobody uses."""
        return monotonic_us() >= self.acquire_not_before

    @property
    def should_renew(self) -> bool:
        """Whether it is time to renew the lease."""
        return self.granted is not None and monotonic_us() >= self.granted.renew_at

    def drop(self) -> None:
        """Use the lease no more, without releasing it at the config stores."""
        self.granted = None

    async def acquire(self, epoch_floor: int) -> Rejected | None:
        """Ask for the lease, under an epoch above the floor. Whether it is held then, `epoch` says.

        :returns: the refusal, if a config store refused.
        """
        message = AcquireLease(
            self.key, self.holder, self.next_sequence(), self.duration_us, epoch_floor
        )
        asked_at = monotonic_us()
        answer = await self.send(ACQUIRE, message, asked_at + ACQUIRE_TIMEOUT_US)
        if not isinstance(answer, LeaseGranted):
            return answer
        self.grant(answer.epoch, asked_at)
        return None

    async def renew(self) -> Rejected | None:
        """Ask for another duration of the granted lease. One that was dropped or replaced while the
        request was in flight stays as it is.

        :returns: the refusal, if a config store refused.
        """
        granted, asked_at = self.granted, monotonic_us()
        if granted is None:
            return None
        message = RenewLease(self.key, self.holder, self.next_sequence(), granted.epoch)
        deadline = min(asked_at + self.duration_us // 4, granted.expires_at)
        answer = await self.send(RENEW, message, deadline)
        if not isinstance(answer, LeaseGranted):
            return answer
        if self.granted is granted:
            self.grant(granted.epoch, asked_at)
        return None

    async def release(self) -> None:
        """End the lease here, then at the config stores, so that others need not wait for it."""
        granted, self.granted = self.granted, None
        if granted is None:
            return
        message = ReleaseLease(self.key, self.holder, self.next_sequence(), granted.epoch)
        await self.send(RELEASE, message, monotonic_us() + RELEASE_TIMEOUT_US)

    def grant(self, epoch: int, asked_at: int) -> None:
        """Take a granted lease, counted from before it was asked for."""
        duration = self.duration_us
        self.granted = GrantedLease(epoch, asked_at + duration // 2, asked_at + duration)

    def next_sequence(self) -> int:
        """The number of the next request."""
        self.sequence += 1
        return self.sequence

    def stores(self) -> list[str]:
        """All known config stores in random order, but the preferred one first."""
        addresses = self.node.view.core_members(STORE_ROLE)
        self.node.runtime.rng.shuffle(addresses)
        return sorted(addresses, key=lambda address: address != self.preferred_store)

    async def send(self, method: str, message: LeaseMessage, deadline: int) -> Answer | None:
        """Ask one config store, and a further one each time that the last refused, failed or has
        been silent for a while.

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
        """Ask one config store. An answer that settles the request cancels all attempts."""
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
            if refusal.code in (LEASE_HELD, LEASE_LOST):  # the others know no better
                self.preferred_store = None  # but one may have seen the record earlier
                all_attempts.cancel()
        attempt_over.set()
