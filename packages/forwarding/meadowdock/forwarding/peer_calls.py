"""Relocates calls of this node to peers and handles the outcomes that the peers report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.answer_stream import LATE_READER_CHECK_US
from meadowdock.forwarding.call import Call, OutcomeUnknown, Rejected, Served
from meadowdock.forwarding.outcome_codes import (
    BUSY,
    CANCELLED,
    DEADLINE_PASSED,
    NO_ANSWER,
    NO_MEMORY,
    REJECTED_BY_ENDPOINT,
)
from meadowdock.load_sharing import NodeLoad
from meadowdock.runtime import MILLISECOND, monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dispatcher import Dispatcher
    from meadowdock.forwarding.peer_link import OutgoingLink
    from meadowdock.forwarding.peers import Peers

GRACE_US = 60 * MILLISECOND  # how long after the deadline a peer's answer may still arrive


class PeerCalls:
    """Relocates calls and reports their outcomes to the dispatcher.

    Invariant: a call whose peer_link is not None has a timer that limits the wait for the peer, and
    is counted as forwarded in the endpoint registry.
    """

    peers: Peers  # set by the gateway

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.registry = dispatcher, dispatcher.registry
        self.reactor, self.loads = dispatcher.reactor, dispatcher.loads
        self.counts = dispatcher.counts

    def relocate(self, call: Call, node: NodeLoad, may_queue: bool = False) -> bool:
        """Send a call to a peer.

        :param may_queue: the call may wait in the peer's queue
        :returns: whether the call was passed to a link; if not, the peer is excluded for it
        """
        link = self.peers.link(self.peers.link_address(node.address))
        if link is None:
            self.exclude(call, node.address)
            return False
        self.counts["spilled"] += 1
        now = monotonic_us()
        call.peer_link, call.incarnation, call.dispatched_at = link, node.incarnation, now
        self.registry.adjust_forwarded(call.service, 1, now)
        call.timer = self.reactor.call_at(call.deadline + GRACE_US, lambda: self.on_deadline(call))
        link.submit(call, may_queue)
        return True

    def exclude(self, call: Call, address: str) -> None:
        """Exclude a peer for a call, and for the call's service until the next load list."""
        call.tried_peers.add(address)
        self.loads.exclude(call.service, address)

    def on_sent(self, call: Call) -> None:
        """Count an attempt for a call whose frame, or head, is sent at the end of this turn."""
        call.attempts += 1

    def detach(self, call: Call) -> OutgoingLink | None:
        """Detach a call from its peer; return the link that it was on, if any."""
        link, call.peer_link = call.peer_link, None
        if link is not None:
            self.registry.adjust_forwarded(call.service, -1, monotonic_us())
        call.stop_timer()
        return link

    def on_answered(self, call: Call, served: Served) -> None:
        """Finish a call with the response of the peer's endpoint."""
        self.detach(call)
        self.dispatcher.finish(call, served)

    def on_rejected(self, call: Call, address: str, rejected: Rejected) -> None:
        """Place a call again after a peer has guaranteed that it did not run, or reject it."""
        self.detach(call)
        if rejected.code == NO_MEMORY:  # for this body: the peer takes calls of others
            call.tried_peers.add(address)
        else:
            self.exclude(call, address)
        retry_after_us = rejected.retry_after_us
        if retry_after_us:
            call.retry_after_us = min(call.retry_after_us or retry_after_us, retry_after_us)
        self.counts[f"spill.refused.{rejected.code}"] += 1
        if rejected.code == REJECTED_BY_ENDPOINT:
            self.dispatcher.on_not_run(call, BUSY)
        else:
            call.attempts -= 1
            self.dispatcher.place(call)

    def on_unreached(self, call: Call, address: str) -> None:
        """Place a call again because none of its bytes were sent to the peer."""
        self.detach(call)
        self.exclude(call, address)
        self.counts["spill.unreached"] += 1
        self.dispatcher.place(call)

    def on_too_large(self, call: Call, address: str) -> None:
        """Place a call again because the peer reads no calls of its size."""
        self.detach(call)
        call.tried_peers.add(address)
        self.counts["spill.too_large"] += 1
        self.dispatcher.place(call)

    def on_deadline(self, call: Call) -> None:
        """Give up waiting for the peer's answer after the deadline."""
        link, stream = call.peer_link, call.stream
        if stream is not None and stream.waits_for_reader(monotonic_us()):
            call.timer = self.reactor.call_at(
                monotonic_us() + LATE_READER_CHECK_US, lambda: self.on_deadline(call)
            )
        elif stream is not None:
            stream.abort(NO_ANSWER)
        elif link is not None and link.is_sending(call):
            self.abandon(call, link)
            self.dispatcher.reject(call, DEADLINE_PASSED)
        elif link is not None:
            link.abandon(call)
            self.dispatcher.on_outcome_unknown(call, NO_ANSWER)

    def on_stream_ended(self, call: Call, cause: str) -> None:
        """Forget a call whose answer was passed on to its end, or broke off for a cause."""
        self.detach(call)
        self.dispatcher.end_answer(call, cause)

    def abandon(self, call: Call, link: OutgoingLink) -> bool:
        """Stop waiting for a peer's answer; return whether the call was sent to the peer."""
        sent = not link.is_unsent(call)
        self.detach(call)
        link.abandon(call)
        return sent

    def cancel(self, call: Call, link: OutgoingLink) -> None:
        """Cancel a call whose caller has disconnected.

        If the call may have started and is not idempotent, its outcome is still awaited.
        """
        if call.idempotent:
            self.detach(call)
            link.abandon(call)
            self.dispatcher.finish(call, OutcomeUnknown(CANCELLED))
        elif link.cancel(call):
            self.detach(call)
            self.dispatcher.finish(call, Rejected(CANCELLED, 0))
