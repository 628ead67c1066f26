"""Gossip: samples of the membership views are exchanged between random peers.

Each process exchanges a sample with one peer an interval, as in the peer sampling of Jelasity et al.
("Gossip-based peer sampling", ACM TOCS 2007). Only a member itself raises the heartbeat of its
entry, so an entry whose heartbeat no longer rises is that of a dead process.
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
GOSSIP_INTERVAL = 500 * MILLISECOND
FAST_GOSSIP_INTERVAL = GOSSIP_INTERVAL // 5  # while the view fills, and after a peer's silence
EXCHANGE_TIMEOUT = GOSSIP_INTERVAL // 2
STARTUP_DURATION = SECOND  # at least so long a view fills: others may have just started too
CORE_DISCOVERY_TIMEOUT = 5 * SECOND  # and so long while no member of some core role is known
MEMBERS_MIN = 3  # fewer members are a view that still fills
LEAVE_FANOUT = 6  # members that are notified by a process that leaves
LEAVE_TIMEOUT = 300 * MILLISECOND


class GossipMembership(MembershipView):
    """The membership view of a process and the gossip that keeps it current."""

    handlers = Handlers()

    def __init__(
        self,
        me: MemberEntry,
        seeds: tuple[str, ...],
        rng: random.Random,
        rpc: ConnectionPool,
        log: Callable[..., None],
    ) -> None:
        super().__init__(me, seeds, rng, log)
        self.rpc = rpc
        self.peers = PeerSelector(self)
        self.schedule = PeriodicSchedule(me.address)

    async def run(self) -> None:
        """Exchange samples until cancelled."""
        started = self.pause_detector.last_look_us = monotonic_us()
        while True:
            answered = await self.exchange()
            settled = answered and self.is_settled(monotonic_us() - started)
            await self.schedule.sleep(GOSSIP_INTERVAL if settled else FAST_GOSSIP_INTERVAL)

    def is_settled(self, age: int) -> bool:
        """Whether the view need not be filled fast any more. age: us since the process started."""
        if len(self.entries) < MEMBERS_MIN or age <= STARTUP_DURATION:
            return False
        return age > CORE_DISCOVERY_TIMEOUT or self.is_complete()

    async def exchange(self) -> bool:
        """One gossip exchange with a random peer.

        :returns: False if the peer didn't answer.
        """
        self.advance_heartbeat()
        self.expire(monotonic_us())
        peer = self.peers.choose(monotonic_us())
        if peer is None:
            return True
        message = [entry.to_wire() for entry in self.sample()]
        try:
            answer = await self.rpc.call(
                peer, EXCHANGE_METHOD, message, monotonic_us() + EXCHANGE_TIMEOUT
            )
        except (ConnectionFailed, Rejected):
            self.peers.note_failure(peer, monotonic_us())
            return False
        self.peers.note_success(peer)
        self.merge(map(MemberEntry.from_wire, answer), monotonic_us())
        return True

    @handlers.on(EXCHANGE_METHOD)
    async def on_exchange(self, peer: Peer, sent: list[list[Any]]) -> list[list[Any]]:
        """Answer a peer's sample with one of this view, drawn before the peer's is merged."""
        answer = self.sample()
        self.merge(map(MemberEntry.from_wire, sent), monotonic_us())
        return [entry.to_wire() for entry in answer]

    async def announce_leaving(self) -> None:
        """Notify some members that this process is shutting down."""
        self.advance_heartbeat(leaving=True)
        members = sorted(self.entries)
        chosen = self.rng.sample(members, min(LEAVE_FANOUT, len(members)))
        message = [self.me.to_wire()]
        await self.rpc.call_all(
            {
                address: (address, EXCHANGE_METHOD, message)
                for address in {*chosen, *self.core_members("mdreg")}
            },
            monotonic_us() + LEAVE_TIMEOUT,
        )
