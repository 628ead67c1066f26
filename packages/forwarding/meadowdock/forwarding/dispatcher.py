"""Drives each call from its arrival to its one outcome.

The decisions are made in modules without I/O: where it goes in `placement`, whether it waits in
`admission`, whether it is sent again in `retries`. They are carried out at the place where the call
then is: `local_calls`, `peer_calls`, `queueing`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from meadowdock.forwarding.admission import Admission
from meadowdock.forwarding.call import Call, Outcome, OutcomeUnknown, Rejected, Served
from meadowdock.forwarding.figures import FiguresLog
from meadowdock.forwarding.invariants import Invariants
from meadowdock.forwarding.local_calls import LocalCalls
from meadowdock.forwarding.outcome_codes import (
    BUSY,
    CANCELLED,
    GONE,
    LATE,
    LOST,
    NO_ANSWER,
)
from meadowdock.forwarding.peer_calls import PeerCalls
from meadowdock.forwarding.peer_frames import CALL_SIZE_MAX
from meadowdock.forwarding.placement import Thresholds, ZonePlacement, local_state
from meadowdock.forwarding.queueing import Queueing
from meadowdock.forwarding.retries import RetryPolicy, final_rejection, rejection_of_relocated
from meadowdock.load_sharing import LOCAL, Choice
from meadowdock.runtime import monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dialect import Dialect
    from meadowdock.forwarding.interfaces import Endpoint, EndpointRegistry, Logger, Network
    from meadowdock.forwarding.reactor import Reactor

QUEUE_PEERS_MAX = 2  # peers without capacity that are asked to let a call wait there
TRIED_PEERS_MAX = 3  # peers without capacity, after which the call waits or is rejected


class Dispatcher:
    """All calls of this node, of its callers and of its peers.

    Invariants: calls holds every call that arrived here or was relocated here and has no outcome
    yet; a call is in one place at a time: in a queue, at an endpoint here, or at a peer.
    """

    def __init__(
        self,
        network: Network,
        reactor: Reactor,
        registry: EndpointRegistry,
        dialect: Dialect,
        placement: ZonePlacement,
        retries: RetryPolicy,
        log: Logger,
    ) -> None:
        self.network, self.reactor, self.registry = network, reactor, registry
        self.dialect, self.log = dialect, log
        self.placement, self.loads, self.retries = placement, placement.loads, retries
        self.thresholds = Thresholds(0.0, 0.0, 0)  # until a configuration is in force
        self.admission = Admission()
        self.figures = FiguresLog(log)
        self.invariants = Invariants(log)
        self.counts: Counter[str] = Counter()
        self.calls: set[Call] = set()
        self.queueing = Queueing(self)
        self.local_calls = LocalCalls(self)
        self.peer_calls = PeerCalls(self)

    # ------------------------------------------------------------ arrival

    def dispatch(self, call: Call, at: int) -> None:
        """A call of a caller on this machine."""
        self.admission.estimate(call, at)
        self.counts["calls"] += 1
        self.figures.arrived(call)
        self.retries.budget(call.service).deposit(at)
        self.calls.add(call)
        self.place(call)

    def relocated_here(self, call: Call) -> None:
        """A call of a peer's caller: capacity, incarnation and deadline are looked at here again."""
        self.calls.add(call)
        self.counts["taken"] += 1
        self.figures.arrived(call)
        if monotonic_us() >= call.deadline:
            self.finish(call, Rejected(LATE, 0))
            return
        endpoint = self.endpoint_for(call)
        if endpoint is None:
            self.finish(call, Rejected(GONE, 0))
            return
        at = monotonic_us()
        self.admission.estimate(call, at)
        if endpoint.has_capacity:  # then nobody is in the queue
            self.local_calls.start(call, endpoint)
            return
        call.retry_after_us = self.admission.wait_us(call, endpoint.capacity, at)
        if self.admission.may_join(call, call.retry_after_us, at):
            self.queueing.admit(call)
            return
        self.finish(call, Rejected(BUSY, call.retry_after_us))

    def endpoint_for(self, call: Call) -> Endpoint | None:
        """The endpoint here that its peer meant, or the one that takes the next call."""
        endpoint = self.registry.local_endpoint(call.service)
        if endpoint is None or not call.incarnation or endpoint.incarnation == call.incarnation:
            return endpoint
        for other in self.registry.available_endpoints(call.service):
            if other.incarnation == call.incarnation:
                return other
        return endpoint

    # ------------------------------------------------------------ placement

    def choose(self, call: Call, at: int) -> tuple[Choice, Endpoint | None]:
        """Where a call goes at a time, and the endpoint here that takes the service's next call."""
        service = call.service
        endpoint = self.registry.local_endpoint(service)
        local = local_state(endpoint, self.registry.service_loads.get(service))
        choice = self.placement.choose(service, local, self.thresholds, call.tried_peers, at)
        return choice, endpoint

    def place(self, call: Call) -> None:
        """Send a call to where it goes now, or let it wait; it is in no place yet."""
        if call.abandoned:
            self.finish(call, Rejected(CANCELLED, 0))
            return
        at = monotonic_us()
        if at >= call.deadline:
            late = OutcomeUnknown(NO_ANSWER) if call.may_have_run else Rejected(LATE, 0)
            self.finish(call, late)
            return
        while True:
            choice, endpoint = self.choose(call, at)
            self.counts[f"rule.{choice.rule}"] += 1
            if choice.placement is LOCAL and endpoint is not None:
                self.local_calls.start(call, endpoint)
                return
            node = choice.target
            if node is None or len(call.tried_peers) >= TRIED_PEERS_MAX:
                self.queue_or_reject(call, endpoint)
                return
            if call.size > CALL_SIZE_MAX:  # no link takes it
                self.queue_or_reject(call, endpoint)
                return
            if self.peer_calls.relocate(call, node):
                return

    def queue_or_reject(self, call: Call, endpoint: Endpoint | None) -> None:
        """No peer is known to have capacity. The call waits here if that will likely be in time;
        else, or without an endpoint here, at a peer that lets it."""
        at = monotonic_us()
        if endpoint is not None:
            if endpoint.has_capacity:
                self.local_calls.start(call, endpoint)
                return
            call.retry_after_us = self.admission.wait_us(call, endpoint.capacity, at)
            if self.admission.may_join(call, call.retry_after_us, at):
                self.queueing.admit(call)
                return
        if self.queue_at_peer(call, at):
            return
        if endpoint is None and at < call.early_deadline:
            # an endpoint, or a load list, may come any moment
            call.wait_deadline = min(call.wait_deadline, call.early_deadline)
            self.queueing.join(call)
            return
        self.give_up(call, BUSY if endpoint is not None or call.asked_peers else GONE)

    def queue_at_peer(self, call: Call, at: int) -> bool:
        """Whether the call is on its way to a peer in whose queue it may wait."""
        while len(call.asked_peers) < QUEUE_PEERS_MAX and at < call.join_deadline:
            node = self.placement.peer_to_queue_at(call.service, call.asked_peers)
            if node is None or call.size > CALL_SIZE_MAX:
                return False
            call.asked_peers.add(node.address)
            if self.peer_calls.relocate(call, node, True):
                return True
        return False

    def place_queued(self) -> None:
        """A new load list came: peers may have capacity for the calls that wait here."""
        for service in list(self.admission.queues):
            self.queueing.place_waiting(service)

    # ------------------------------------------------------------ retries and outcomes

    def after_not_run(self, call: Call, code: str) -> None:
        """Place the call again, or reject it."""
        if call.from_peer:
            self.finish(call, rejection_of_relocated(call, code))
        elif self.retries.after_not_run(call, monotonic_us()):
            self.place(call)
        else:
            self.give_up(call, code)

    def outcome_unknown(self, call: Call, code: str) -> None:
        """The call may have run: place it again if it is idempotent and may be retried."""
        if call.on_outcome is None:
            return
        self.peer_calls.leave(call)
        if code == NO_ANSWER and call.endpoint is not None:
            # it would have held the slot that long at least
            self.admission.learn(call, monotonic_us() - call.dispatched_at)
        self.local_calls.free_slot(call, monotonic_us())
        self.counts[f"unknown.{code}"] += 1
        call.may_have_run = True
        if self.retries.after_unknown(call, code, monotonic_us()):
            self.counts["second_try"] += 1
            self.place(call)
        else:
            self.finish(call, OutcomeUnknown(code))

    def cancelled(self, call: Call) -> None:
        """Nobody needs an answer any more: what has not begun does not begin, and what is idempotent
        is broken off; anything else that was begun is finished."""
        if call.on_outcome is None:
            return
        call.abandoned = True
        if call.queue is not None:
            call.queue.leave(call)
            self.finish(call, Rejected(CANCELLED, 0))
        elif call.peer_link is not None:
            self.peer_calls.cancel(call, call.peer_link)
        elif call.endpoint is not None:
            self.local_calls.cancel(call, call.endpoint)

    def give_up(self, call: Call, code: str) -> None:
        """No capacity in time: the final outcome, at once."""
        self.finish(call, final_rejection(call, code, monotonic_us()))

    def finish(self, call: Call, outcome: Outcome) -> None:
        """Report the outcome; a second one is passed over."""
        on_outcome, call.on_outcome = call.on_outcome, None
        if on_outcome is None:
            return
        call.stop_timer()
        self.calls.discard(call)
        if isinstance(outcome, Rejected) and call.may_have_run:
            outcome = OutcomeUnknown(LOST)
        if isinstance(outcome, Served):
            self.counts[f"answer.{outcome.status // 100}xx"] += 1
        else:
            self.count_failure(call, outcome)
        on_outcome(outcome)

    def count_failure(self, call: Call, outcome: Rejected | OutcomeUnknown) -> None:
        """Count a call that got no endpoint's answer."""
        rejected = isinstance(outcome, Rejected)
        if rejected:
            self.figures.rejected(call, outcome.code)
        if not call.from_peer:
            self.counts[f"{'refused' if rejected else 'unknown'}.{outcome.code}"] += 1

    # ------------------------------------------------------------ upkeep

    def report(self, at: int, log_fields: Callable[[str], dict[str, object]]) -> None:
        """Log and check what happened since the last report.

        :param log_fields: what is known of a service, as fields of a log event
        """
        self.figures.report(at, log_fields, self.invariants.check_queue)
        self.invariants.check_slots(self.admission, self.calls, at)
