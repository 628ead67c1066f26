"""The holder's side of a lease that the register grants (meadowdock/config_store/lease.py).

Trade-off of the duration. It is the longest that nobody holds the lease after the holder died, on
top of nothing else: while it runs out, the other registries notice the silence (1.25 s) and settle
(0.5 s). With 2 s, renewed each second, a dead holder's lease has 1 to 2 s left, so that a takeover
is hardly later than without a lease, and load lists are stale after 2 s anyway. Shorter costs more
writes (each renewal is a prepare and a write, two synced files at each voter), and a lease lost
whenever the register is slow for a moment; longer leaves the mesh without lists.
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
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us

SHORTEST, LONGEST = SECOND, 2 * SECOND  # a lease; load lists are stale after the longest
ASK_WAIT = SECOND
RELEASE_WAIT = 400 * MILLISECOND
HEDGES = 12  # another mdconf is asked too after one part in so many of the duration


def duration_of(contact_us):
    """Two thirds of the time within which processes are in touch again after a trouble.

    >>> duration_of(3_000_000), duration_of(600_000), duration_of(30_000_000)
    (2000000, 1000000, 2000000)
    """
    return min(max(contact_us * 2 // 3, SHORTEST), LONGEST)


@dataclass(frozen=True)
class Held:
    """A lease as granted. Invariant: expires_at counts from before the request was sent."""

    epoch: int
    renew_at: int
    expires_at: int


class Lease:
    """Invariants: held.epoch is used only while held.expires_at lies ahead, checked at each use on
    the monotonic clock, so that a process that stood still finds its lease ended; sequence only
    goes up, and each number is of one request, asked of several mdconfs."""

    def __init__(self, node, key, duration_us):
        self.node, self.key, self.duration_us = node, key, duration_us
        # a random number: a restarted process is another holder, whatever the wall clock says
        self.holder = f"{node.settings.link}/{node.runtime.rng.getrandbits(64):016x}"
        self.sequence = 0
        self.held = None
        self.preferred = None  # the mdconf that answered last
        self.unheard_until = 0

    @property
    def epoch(self):
        """The fencing token, or None without a valid lease."""
        held = self.held
        return held.epoch if held is not None and monotonic_us() < held.expires_at else None

    @property
    def expired(self):
        """Whether a lease was held and has run out."""
        return self.held is not None and self.epoch is None

    @property
    def may_acquire(self):
        """Not right after a request that may have been done without an answer coming back: each
        such acquisition would make the others wait for another whole lease that nobody uses."""
        return monotonic_us() >= self.unheard_until

    @property
    def should_renew(self):
        """Whether the held lease has come to the time of its renewal."""
        return self.held is not None and monotonic_us() >= self.held.renew_at

    def drop(self):
        """Use it no more; the register is not told."""
        self.held = None

    async def acquire(self, epoch_floor):
        """Gives the refusal, if an mdconf refused; whether it is held, epoch tells."""
        request = AcquireLease(
            self.key, self.holder, self.next_sequence(), self.duration_us, epoch_floor
        )
        asked_at = monotonic_us()
        answer = await self.ask(ACQUIRE, request, asked_at + ASK_WAIT)
        if not isinstance(answer, LeaseGranted):
            return answer
        self.hold(answer.epoch, asked_at)
        return None

    async def renew(self):
        """As acquire. A lease that was dropped or changed meanwhile stays as it is."""
        held, asked_at = self.held, monotonic_us()
        request = RenewLease(self.key, self.holder, self.next_sequence(), held.epoch)
        answer = await self.ask(
            RENEW, request, min(asked_at + self.duration_us // 4, held.expires_at)
        )
        if not isinstance(answer, LeaseGranted):
            return answer
        if self.held is held:
            self.hold(held.epoch, asked_at)
        return None

    async def release(self):
        """Ends the lease here, then in the register, so that others need not wait."""
        held, self.held = self.held, None
        if held is None:
            return
        request = ReleaseLease(self.key, self.holder, self.next_sequence(), held.epoch)
        await self.ask(RELEASE, request, monotonic_us() + RELEASE_WAIT)

    def hold(self, epoch, asked_at):
        """Take a granted lease, counted from before it was asked for."""
        duration = self.duration_us
        self.held = Held(epoch, asked_at + duration // 2, asked_at + duration)

    def next_sequence(self):
        """The number of the next request."""
        self.sequence += 1
        return self.sequence

    def members(self):
        """All mdconfs known, the one that answered last first."""
        members = self.node.view.core("mdconf")
        self.node.runtime.rng.shuffle(members)
        return sorted(members, key=lambda address: address != self.preferred)

    async def ask(self, method, request, deadline):
        """Ask one mdconf, and a further one each time that the last refused, broke or stays
        silent: LeaseGranted, a Rejected, or None if nobody answered by the deadline."""
        answer, unclear = None, False

        async def one(address, over):
            nonlocal answer, unclear
            try:
                facts = await self.node.rpc.call(address, method, request.encode(), deadline)
                granted = LeaseGranted.decode(facts)
                if granted.sequence == request.sequence:
                    answer, self.preferred = granted, address
                    nursery.cancel_scope.cancel()
            except ConnectionFailed as cause:
                unclear |= cause.sent
            except Rejected as refusal:
                if not isinstance(answer, LeaseGranted):
                    answer = refusal
                if refusal.code in (LEASE_HELD, LEASE_LOST):  # the others know no better
                    self.preferred = None  # but one may have seen the record earlier
                    nursery.cancel_scope.cancel()
            over.set()

        async with trio.open_nursery() as nursery:  # each call ends by the deadline
            for address in self.members():
                over = trio.Event()
                nursery.start_soon(one, address, over)
                with deadline_scope(min(deadline, monotonic_us() + self.duration_us // HEDGES)):
                    await over.wait()
                if monotonic_us() >= deadline:
                    break
        silent = answer is None and unclear
        self.unheard_until = monotonic_us() + 2 * self.duration_us if silent else 0
        return answer
