"""Sets timers for calls that wait here and starts them once they get a slot, here or at a peer.

`admission` decides which calls may wait and until when; `wait_queue` keeps their order.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, Rejected
from meadowdock.forwarding.outcome_codes import BUSY, NO_ENDPOINT
from meadowdock.forwarding.wait_estimates import misses_target
from meadowdock.load_sharing import FORWARD
from meadowdock.runtime import monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dispatcher import Dispatcher


class Queueing:
    """Adds calls to the queues of `admission` and removes them.

    Invariant: each call in a queue has a timer that limits its wait.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.registry = dispatcher, dispatcher.registry
        self.reactor, self.admission = dispatcher.reactor, dispatcher.admission
        self.call_statistics, self.invariants = dispatcher.call_statistics, dispatcher.invariants

    def admit(self, call: Call) -> None:
        """Queue a call that will likely be served in time."""
        call.admitted = not misses_target(call.urgency)
        self.join(call)

    def join(self, call: Call) -> None:
        """Queue a call."""
        service = call.service
        self.registry.slot_waiters.setdefault(service, partial(self.wake, service))
        self.admission.queue(service).join(call)
        call.position_deadline = self.admission.position_deadline(call)
        call.timer = self.reactor.call_at(
            call.position_deadline, lambda: self.on_position_timeout(call)
        )

    def on_position_timeout(self, call: Call) -> None:
        """Handle the end of the time for which a call keeps its position."""
        if call.queue is not None:
            call.queue.leave(call)
            self.on_position_lost(call)

    def on_position_lost(self, call: Call) -> None:
        """Queue a call behind those that can still meet their target, or reject it."""
        endpoint = self.registry.local_endpoint(call.service)
        if endpoint is not None and self.admission.try_demote(
            call, endpoint.capacity, monotonic_us()
        ):
            self.join(call)
        else:
            self.call_statistics.count_unserved(call)
            self.dispatcher.reject(call, BUSY)

    def wake(self, service: str) -> None:
        """Start the first calls in the queue if the local endpoint has free slots."""
        queue = self.admission.queue(service)
        while len(queue):
            endpoint = self.registry.local_endpoint(service)
            if endpoint is None or not endpoint.has_capacity:
                break
            call = queue.pop()
            assert call is not None
            call.stop_timer()
            now = monotonic_us()
            if now > call.position_deadline:  # its timer is late because this process was paused
                self.on_position_lost(call)
                continue
            self.invariants.check_start(call, self.admission, now)
            self.dispatcher.local_calls.start(call, endpoint)
        endpoint = self.registry.local_endpoint(service)
        has_capacity = endpoint is not None and endpoint.has_capacity
        self.invariants.check_idle_capacity(service, len(queue), has_capacity, monotonic_us())
        if len(queue) and endpoint is None:
            self.place_queued_calls(service)

    def place_queued_calls(self, service: str) -> None:
        """Place queued calls at peers that may have capacity now."""
        queue = self.admission.queue(service)
        for call in queue.in_order():
            if call.queue is not queue:
                continue  # it has left the queue: placing an earlier call freed a slot for it
            no_endpoint = self.registry.local_endpoint(service) is None
            if call.from_peer:  # never relocated twice: the node where it arrived tries other peers
                if no_endpoint:
                    self.remove(call)
                    self.dispatcher.finish(call, Rejected(NO_ENDPOINT, 0))
                continue
            call.tried_peers.clear()
            call.queue_peers_tried.clear()
            if no_endpoint or self.dispatcher.choose(call, monotonic_us())[0].placement is FORWARD:
                self.remove(call)
                self.dispatcher.place(call)

    def remove(self, call: Call) -> None:
        """Remove a call from its queue, whatever its position is."""
        assert call.queue is not None
        call.queue.leave(call)
        call.stop_timer()
