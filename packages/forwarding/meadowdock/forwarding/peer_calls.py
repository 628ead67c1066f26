"""Calls of this node that are at peers: sending them there, and what the peers say of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, OutcomeUnknown, Rejected, Served
from meadowdock.forwarding.outcome_codes import BUSY, CANCELLED, NO_ANSWER, REJECTED_BY_ENDPOINT
from meadowdock.load_sharing import NodeLoad
from meadowdock.runtime import MILLISECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dispatcher import Dispatcher
    from meadowdock.forwarding.peer_link import OutgoingLink
    from meadowdock.forwarding.peers import Peers

GRACE_US = 60 * MILLISECOND  # after the deadline, a peer's answer is no longer waited for


class PeerCalls:
    """Relocates calls, and reports their outcomes to the dispatcher.

    Invariant: a call whose peer_link is not None has a timer that ends the waiting for the peer, and
    is counted as relocated in the registry of endpoints.
    """

    peers: Peers  # set by the gateway

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.registry = dispatcher, dispatcher.registry
        self.reactor, self.loads = dispatcher.reactor, dispatcher.loads
        self.counts = dispatcher.counts

    # ------------------------------------------------------------ sending

    def relocate(self, call: Call, node: NodeLoad, may_queue: bool = False) -> bool:
        """Send a call to a peer.

        :param may_queue: it may wait in the peer's queue
        :returns: whether it is on its way; if not, the peer is not chosen for it again
        """
        link = self.peers.link(self.peers.link_address(node.address))
        if link is None:
            self.exclude(call, node.address)
            return False
        self.counts["spilled"] += 1
        at = monotonic_us()
        call.peer_link, call.incarnation, call.dispatched_at = link, node.incarnation, at
        self.registry.adjust_forwarded(call.service, 1, at)
        call.timer = self.reactor.at(call.deadline + GRACE_US, lambda: self.overdue(call))
        link.run(call, may_queue)
        return True

    def exclude(self, call: Call, address: str) -> None:
        """A peer has no capacity: not for this call, and for the service until the next list."""
        call.tried_peers.add(address)
        self.loads.exclude(call.service, address)

    def sent(self, call: Call) -> None:
        """The call's frame goes out with the end of this turn."""
        call.attempts += 1

    def leave(self, call: Call) -> OutgoingLink | None:
        """The call is at its peer no more; gives the link on which it was."""
        link, call.peer_link = call.peer_link, None
        if link is not None:
            self.registry.adjust_forwarded(call.service, -1, monotonic_us())
        call.stop_timer()
        return link

    # ------------------------------------------------------------ what peers say

    def answered(self, call: Call, served: Served) -> None:
        """An endpoint of the peer answered."""
        self.leave(call)
        self.dispatcher.finish(call, served)

    def rejected(self, call: Call, address: str, rejected: Rejected) -> None:
        """A peer promises that it did not run the call."""
        self.leave(call)
        self.exclude(call, address)
        retry_after_us = rejected.retry_after_us
        if retry_after_us:
            call.retry_after_us = min(call.retry_after_us or retry_after_us, retry_after_us)
        self.counts[f"spill.refused.{rejected.code}"] += 1
        if rejected.code == REJECTED_BY_ENDPOINT:
            self.dispatcher.after_not_run(call, BUSY)
        else:
            call.attempts -= 1
            self.dispatcher.place(call)

    def unreached(self, call: Call, address: str) -> None:
        """No byte of the call left for the peer."""
        self.leave(call)
        self.exclude(call, address)
        self.counts["spill.unreached"] += 1
        self.dispatcher.place(call)

    def overdue(self, call: Call) -> None:
        """A peer says nothing by the deadline."""
        link = call.peer_link
        if link is not None:
            link.give_up(call)
            self.dispatcher.outcome_unknown(call, NO_ANSWER)

    # ------------------------------------------------------------ cancelling

    def cancel(self, call: Call, link: OutgoingLink) -> None:
        """Nobody needs an answer any more. What may have begun and can't be repeated is waited for."""
        if call.idempotent:
            self.leave(call)
            link.give_up(call)
            self.dispatcher.finish(call, OutcomeUnknown(CANCELLED))
        elif link.cancel(call):
            self.leave(call)
            self.dispatcher.finish(call, Rejected(CANCELLED, 0))
