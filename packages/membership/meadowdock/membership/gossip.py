"""Gossip: random peers exchange samples of their membership views.

In each interval a process exchanges samples with one peer, as in the peer sampling service of
Jelasity et al. ("Gossip-based peer sampling", ACM TOCS 2007). Only the member itself increments the
heartbeat in its entry, so a heartbeat that no longer increases means that the process is dead.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from meadowdock.membership.entry import MemberEntry
from meadowdock.membership.peers import PeerSelector
from meadowdock.membership.view import MembershipView
from meadowdock.rpc import ConnectionFailed, Handlers, PeriodicSchedule, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.rpc import ConnectionPool, Peer

EXCHANGE_METHOD = "view.shuffle"  # name on the wire

# Durations are in microseconds.
GOSSIP_INTERVAL = 500 * MILLISECOND
FAST_GOSSIP_INTERVAL = GOSSIP_INTERVAL // 5  # until the view has converged, and after a time-out
EXCHANGE_TIMEOUT = GOSSIP_INTERVAL // 2
STARTUP_DURATION = SECOND  # minimum of fast gossip, since other processes may have just started too
CORE_DISCOVERY_TIMEOUT = 5 * SECOND  # limit of fast gossip while a core role has no known member
MEMBERS_MIN = 3  # a view with fewer members has not converged
LEAVE_FANOUT = 6  # members that a process notifies when it leaves
LEAVE_TIMEOUT = 300 * MILLISECOND


class GossipMembership(MembershipView):
    """The membership view of a process and the gossip that keeps it current."""

    handlers = Handlers()

    def __init__(
        self,
        own_entry: MemberEntry,
        seeds: tuple[str, ...],
        rng: random.Random,
        rpc: ConnectionPool,
        log: Callable[..., None],
    ) -> None:
        super().__init__(own_entry, seeds, rng, log)
        self.rpc = rpc
        self.peers = PeerSelector(self)
        self.schedule = PeriodicSchedule(own_entry.address)

    async def run(self) -> None:
        """Exchange samples until cancelled."""
        started = self.pause_detector.last_measured_us = monotonic_us()
        while True:
            answered = await self.exchange()
            converged = answered and self.has_converged(monotonic_us() - started)
            await self.schedule.sleep(GOSSIP_INTERVAL if converged else FAST_GOSSIP_INTERVAL)

    def has_converged(self, uptime: int) -> bool:
        """Return whether the view is complete enough for the normal gossip interval.

        :param uptime: us since the start of the process.
        """
        if len(self.entries) < MEMBERS_MIN or uptime <= STARTUP_DURATION:
            return False
        return uptime > CORE_DISCOVERY_TIMEOUT or self.is_complete()

    async def exchange(self) -> bool:
        """Perform one gossip exchange with a random peer.

        :returns: False if the peer didn't answer.
        """
        self.advance_heartbeat()
        self.expire(monotonic_us())
        peer = self.peers.select(monotonic_us())
        if peer is None:
            return True
        message = [entry.to_wire() for entry in self.sample()]
        try:
            answer = await self.rpc.call(
                peer, EXCHANGE_METHOD, message, monotonic_us() + EXCHANGE_TIMEOUT
            )
        except (ConnectionFailed, Rejected):
            self.peers.record_failure(peer, monotonic_us())
            return False
        self.peers.record_success(peer)
        self.merge(map(MemberEntry.from_wire, answer), monotonic_us())
        return True

    @handlers.on(EXCHANGE_METHOD)
    async def on_exchange(self, peer: Peer, sent: list[list[Any]]) -> list[list[Any]]:
        """Merge a peer's sample, and answer with a sample that was drawn before the merge."""
        answer = self.sample()
        self.merge(map(MemberEntry.from_wire, sent), monotonic_us())
        return [entry.to_wire() for entry in answer]

    async def announce_leaving(self) -> None:
        """Notify some members that this process is shutting down."""
        self.advance_heartbeat(leaving=True)
        members = sorted(self.entries)
        chosen = self.rng.sample(members, min(LEAVE_FANOUT, len(members)))
        message = [self.own_entry.to_wire()]
        await self.rpc.call_all(
            {
                address: (address, EXCHANGE_METHOD, message)
                for address in {*chosen, *self.core_members("mdreg")}
            },
            monotonic_us() + LEAVE_TIMEOUT,
        )
