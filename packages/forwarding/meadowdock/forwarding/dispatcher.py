"""Drives each call from its arrival to its single outcome.

Decisions are made in modules without I/O: `placement` chooses the node, `admission` decides whether
a call may wait, and `retries` whether it is sent again. They are carried out by `local_calls`,
`peer_calls` and `queueing`, depending on where the call is.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from meadowdock.forwarding.admission import Admission
from meadowdock.forwarding.call import Call, Outcome, OutcomeUnknown, Rejected, Served
from meadowdock.forwarding.call_statistics import CallStatisticsLog
from meadowdock.forwarding.invariants import Invariants
from meadowdock.forwarding.local_calls import LocalCalls
from meadowdock.forwarding.outcome_codes import (
    BUSY,
    CANCELLED,
    CONNECTION_LOST,
    DEADLINE_PASSED,
    NO_ANSWER,
    NO_ENDPOINT,
    STOPPING,
)
from meadowdock.forwarding.peer_calls import PeerCalls
from meadowdock.forwarding.placement import Thresholds, ZonePlacement, local_state
from meadowdock.forwarding.queueing import Queueing
from meadowdock.forwarding.reactor import NEVER_US
from meadowdock.forwarding.retries import RetryPolicy, final_outcome, rejection_for_peer
from meadowdock.load_sharing import LOCAL, Choice
from meadowdock.logs import events as log_events
from meadowdock.logs.counted_event import CountedEvent
from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.runtime.client_memory import ClientMemory

if TYPE_CHECKING:
    from meadowdock.forwarding.dialect import Dialect
    from meadowdock.forwarding.interfaces import Endpoint, EndpointRegistry, Logger, Network
    from meadowdock.forwarding.reactor import Reactor

QUEUE_PEERS_MAX = 2  # how many peers at most are asked to queue a call
REFUSAL_LOG_INTERVAL_US = SECOND
TRIED_PEERS_MAX = 3  # after this many peers without capacity a call is queued or rejected


class Dispatcher:
    """Handles all calls of this node, those of local callers and those that peers relocated here.

    Invariants: calls holds every call that arrived or was relocated here and has no outcome yet, or
    whose answer is still passed on; a call is in one place at a time: in a queue, at a local endpoint,
    or at a peer; once `taking` is False, calls only shrinks.

    :ivar taking: whether new calls are taken, of callers and of peers
    :ivar last_peer_deadline: us, monotonic clock; new calls of peers with a later deadline are rejected
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
        memory: ClientMemory | None = None,
    ) -> None:
        self.memory = memory or ClientMemory(None)
        self.log_refusal = CountedEvent(
            log, log_events.ENDPOINT_ANSWER_REFUSED, REFUSAL_LOG_INTERVAL_US
        )
        self.network, self.reactor, self.registry = network, reactor, registry
        self.dialect, self.log = dialect, log
        self.placement, self.loads, self.retries = placement, placement.loads, retries
        self.thresholds = Thresholds(0.0, 0.0, 0)  # until a configuration is active
        self.admission = Admission()
        self.call_statistics = CallStatisticsLog(log)
        self.invariants = Invariants(log)
        self.counts: Counter[str] = Counter()
        self.calls: set[Call] = set()
        self.taking = True
        self.last_peer_deadline = NEVER_US
        self.queueing = Queueing(self)
        self.local_calls = LocalCalls(self)
        self.peer_calls = PeerCalls(self)

    def dispatch(self, call: Call, now: int) -> None:
        """Handle a new call of a local caller."""
        self.admission.estimate(call, now)
        self.counts["calls"] += 1
        self.call_statistics.count_arrival(call)
        self.retries.budget(call.service).deposit(now)
        self.calls.add(call)
        if not self.taking:
            self.reject(call, STOPPING)
            return
        self.place(call)

    def dispatch_relocated(self, call: Call) -> None:
        """Handle a call that a peer relocated here.

        The endpoint, its capacity and the deadline are checked again, since they may have changed.
        """
        self.calls.add(call)
        self.counts["taken"] += 1
        self.call_statistics.count_arrival(call)
        rejected = self.rejection_at_head(call)
        if rejected is not None:
            self.finish(call, rejected)
            return
        endpoint = self.endpoint_for(call)
        assert endpoint is not None
        now = monotonic_us()
        self.admission.estimate(call, now)
        if endpoint.has_capacity:  # then the queue is empty: queued calls take free slots at once
            self.local_calls.start(call, endpoint)
            return
        call.retry_after_us = self.admission.wait_us(call, endpoint.capacity, now)
        if self.admission.may_join(call, call.retry_after_us, now):
            self.queueing.admit(call)
            return
        self.finish(call, Rejected(BUSY, call.retry_after_us))

    def rejection_at_head(self, call: Call) -> Rejected | None:
        """Return why a call that a peer relocates here can't run, whatever its body is; None if it may."""
        if monotonic_us() >= call.deadline:
            return Rejected(DEADLINE_PASSED, 0)
        if not self.taking or call.deadline > self.last_peer_deadline:
            return Rejected(STOPPING, 0)
        if self.endpoint_for(call) is None:
            return Rejected(NO_ENDPOINT, 0)
        return None

    def endpoint_for(self, call: Call) -> Endpoint | None:
        """Return the local endpoint that the peer selected, or the one that gets the next call."""
        endpoint = self.registry.local_endpoint(call.service)
        if endpoint is None or not call.incarnation or endpoint.incarnation == call.incarnation:
            return endpoint
        for other in self.registry.available_endpoints(call.service):
            if other.incarnation == call.incarnation:
                return other
        return endpoint

    def choose(self, call: Call, now: int) -> tuple[Choice, Endpoint | None]:
        """Return where a call goes now, and the local endpoint that gets the service's next call."""
        service = call.service
        endpoint = self.registry.local_endpoint(service)
        local = local_state(endpoint, self.registry.service_loads.get(service))
        choice = self.placement.choose(service, local, self.thresholds, call.tried_peers, now)
        return choice, endpoint

    def place(self, call: Call) -> None:
        """Send a call to an endpoint or a peer, or queue or reject it."""
        if call.cancelled:
            self.finish(call, Rejected(CANCELLED, 0))
            return
        now = monotonic_us()
        if now >= call.deadline:
            late = OutcomeUnknown(NO_ANSWER) if call.may_have_run else Rejected(DEADLINE_PASSED, 0)
            self.finish(call, late)
            return
        while True:
            choice, endpoint = self.choose(call, now)
            self.counts[f"rule.{choice.rule}"] += 1
            if choice.placement is LOCAL and endpoint is not None:
                self.local_calls.start(call, endpoint)
                return
            node = choice.target
            if node is None or len(call.tried_peers) >= TRIED_PEERS_MAX:
                self.queue_or_reject(call, endpoint)
                return
            if self.peer_calls.relocate(call, node):
                return

    def queue_or_reject(self, call: Call, endpoint: Endpoint | None) -> None:
        """Queue a call for which no peer is known to have capacity, or reject it.

        It is queued here if it will likely be served in time. If not, or if there is no endpoint
        here, it is queued at a peer that accepts it.
        """
        now = monotonic_us()
        if endpoint is not None:
            if endpoint.has_capacity:
                self.local_calls.start(call, endpoint)
                return
            call.retry_after_us = self.admission.wait_us(call, endpoint.capacity, now)
            if self.admission.may_join(call, call.retry_after_us, now):
                self.queueing.admit(call)
                return
        if self.queue_at_peer(call, now):
            return
        if endpoint is None and now < call.no_endpoint_deadline:
            # an endpoint may register, or a load list arrive, at any moment
            call.wait_deadline = min(call.wait_deadline, call.no_endpoint_deadline)
            self.queueing.join(call)
            return
        self.reject(call, BUSY if endpoint is not None or call.queue_peers_tried else NO_ENDPOINT)

    def queue_at_peer(self, call: Call, now: int) -> bool:
        """Send the call to a peer that may queue it; return whether there is such a peer."""
        while len(call.queue_peers_tried) < QUEUE_PEERS_MAX and now < call.join_deadline:
            node = self.placement.peer_to_queue_at(call.service, call.queue_peers_tried)
            if node is None:
                return False
            call.queue_peers_tried.add(node.address)
            if self.peer_calls.relocate(call, node, True):
                return True
        return False

    def place_queued(self) -> None:
        """Place queued calls at peers that have capacity according to the new load list."""
        for service in list(self.admission.queues):
            self.queueing.place_queued_calls(service)

    def on_not_run(self, call: Call, code: str) -> None:
        """Retry a call that did not run, or reject it."""
        if call.from_peer:
            self.finish(call, rejection_for_peer(call, code))
        elif self.retries.may_retry_not_run(call, monotonic_us()):
            self.place(call)
        else:
            self.reject(call, code)

    def on_outcome_unknown(self, call: Call, code: str) -> None:
        """Retry a call that may have run if that is allowed, else report its outcome as unknown."""
        if call.on_outcome is None:
            return
        self.peer_calls.detach(call)
        if code == NO_ANSWER and call.endpoint is not None:
            # without its deadline the call would have held the slot for at least this long
            self.admission.observe(call, monotonic_us() - call.dispatched_at)
        self.local_calls.free_slot(call, monotonic_us())
        self.counts[f"unknown.{code}"] += 1
        call.may_have_run = True
        if self.retries.may_retry_unknown(call, code, monotonic_us()):
            self.counts["second_try"] += 1
            self.place(call)
        else:
            self.finish(call, OutcomeUnknown(code))

    def cancel(self, call: Call) -> None:
        """Cancel a call whose caller has disconnected.

        A call that has not started is dropped, and an idempotent one is aborted. Any other call runs to
        its end.
        """
        if call.stream is not None:
            call.stream.cancel()
        if call.on_outcome is None:
            return
        call.cancelled = True
        if call.queue is not None:
            call.queue.leave(call)
            self.finish(call, Rejected(CANCELLED, 0))
        elif call.peer_link is not None:
            self.peer_calls.cancel(call, call.peer_link)
        elif call.endpoint is not None:
            self.local_calls.cancel(call, call.endpoint)

    def end_calls(self) -> None:
        """Give every call an outcome now, because the process ends.

        Calls that wait come first, so that none of them starts in a slot that another call frees.
        """
        self.taking = False
        for call in sorted(self.calls, key=lambda each: each.queue is None):
            if call.stream is not None:
                call.stream.abort(STOPPING)
            elif call.on_outcome is not None:
                self.end(call)

    def end(self, call: Call) -> None:
        """End a call wherever it is: rejected if it was never sent, else with an unknown outcome."""
        sent = False
        if call.queue is not None:
            self.queueing.remove(call)
        elif call.peer_link is not None:
            sent = self.peer_calls.abandon(call, call.peer_link)
        elif call.endpoint is not None:
            sent = self.local_calls.abandon(call, call.endpoint)
        if sent:
            self.finish(call, OutcomeUnknown(STOPPING))
        else:
            self.reject(call, STOPPING)

    def reject(self, call: Call, code: str) -> None:
        """Reject a call for which there is no capacity in time."""
        self.finish(call, final_outcome(call, code, monotonic_us()))

    def finish(self, call: Call, outcome: Outcome) -> None:
        """Report the outcome of a call, unless it already has one."""
        on_outcome, call.on_outcome = call.on_outcome, None
        if on_outcome is None:
            return
        call.stop_timer()
        call.body = b""  # it is not sent again
        self.calls.discard(call)
        if isinstance(outcome, Rejected) and call.may_have_run:
            outcome = OutcomeUnknown(CONNECTION_LOST)
        if isinstance(outcome, Served):
            self.counts[f"answer.{outcome.status // 100}xx"] += 1
        else:
            self.count_failure(call, outcome)
        on_outcome(outcome)

    def begin_answer(self, call: Call, served: Served) -> None:
        """Report an answer whose rest is still arriving; the call stays where it is until then."""
        assert served.rest is not None
        on_outcome, call.on_outcome = call.on_outcome, None
        if on_outcome is None:
            served.rest.cancel()
            return
        call.stream = served.rest
        call.body = b""  # it is not sent again
        self.counts[f"answer.{served.status // 100}xx"] += 1
        self.counts["answer.streamed"] += 1
        on_outcome(served)

    def end_answer(self, call: Call, cause: str = "") -> None:
        """Forget a call whose answer was passed on to its end, or has broken off for a cause."""
        call.stream = None
        call.stop_timer()
        self.calls.discard(call)
        if cause:
            self.counts[f"answer.broken.{cause}"] += 1

    def count_failure(self, call: Call, outcome: Rejected | OutcomeUnknown) -> None:
        """Count a call that got no response of an endpoint."""
        rejected = isinstance(outcome, Rejected)
        if rejected:
            self.call_statistics.count_rejection(call, outcome.code)
        if not call.from_peer:
            self.counts[f"{'refused' if rejected else 'unknown'}.{outcome.code}"] += 1

    def report(self, now: int, log_fields: Callable[[str], dict[str, object]]) -> None:
        """Log statistics since the last report and check invariants.

        :param log_fields: returns the state of a service as fields of a log event
        """
        self.call_statistics.report(now, log_fields, self.invariants.check_queue)
        self.invariants.check_slots(self.admission, self.calls, now)
