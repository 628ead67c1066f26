"""Calls that wait here for a slot, or for a peer that has one: timers and wake-ups.

`admission` decides who may wait and until when; `wait_queue` keeps the order.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, Rejected
from meadowdock.forwarding.outcome_codes import BUSY, GONE
from meadowdock.forwarding.wait_estimates import misses_target
from meadowdock.load_sharing import FORWARD
from meadowdock.runtime import monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dispatcher import Dispatcher


class Queueing:
    """Puts calls into the queues of `admission` and takes them out again.

    Invariant: a call in a queue has a timer that ends its waiting.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.registry = dispatcher, dispatcher.registry
        self.reactor, self.admission = dispatcher.reactor, dispatcher.admission
        self.figures, self.invariants = dispatcher.figures, dispatcher.invariants

    def admit(self, call: Call) -> None:
        """Into the queue, as one that will likely be served in time."""
        call.admitted = not misses_target(call.urgency)
        self.join(call)

    def join(self, call: Call) -> None:
        """Into the queue."""
        service = call.service
        self.registry.slot_waiters.setdefault(service, partial(self.wake, service))
        self.admission.queue(service).join(call)
        call.position_until = self.admission.position_until(call)
        call.timer = self.reactor.at(call.position_until, lambda: self.position_timer(call))

    def position_timer(self, call: Call) -> None:
        """The time of the call's position is over."""
        if call.queue is not None:
            call.queue.leave(call)
            self.position_lost(call)

    def position_lost(self, call: Call) -> None:
        """The call goes behind those that can still meet their target, or is rejected."""
        endpoint = self.registry.local_endpoint(call.service)
        if endpoint is not None and self.admission.may_wait_on(
            call, endpoint.capacity, monotonic_us()
        ):
            self.join(call)
        else:
            self.figures.not_served(call)
            self.dispatcher.give_up(call, BUSY)

    def wake(self, service: str) -> None:
        """The endpoint here may have slots free: the first in the queue start."""
        queue = self.admission.queue(service)
        while len(queue):
            endpoint = self.registry.local_endpoint(service)
            if endpoint is None or not endpoint.has_capacity:
                break
            call = queue.next()
            assert call is not None
            call.stop_timer()
            at = monotonic_us()
            if at > call.position_until:  # its timer comes late: this process was paused
                self.position_lost(call)
                continue
            self.invariants.check_start(call, self.admission, at)
            self.dispatcher.local_calls.start(call, endpoint)
        endpoint = self.registry.local_endpoint(service)
        has_room = endpoint is not None and endpoint.has_capacity
        self.invariants.check_idle_capacity(service, len(queue), has_room, monotonic_us())
        if len(queue) and endpoint is None:
            self.place_waiting(service)

    def place_waiting(self, service: str) -> None:
        """Peers may have capacity now: calls in the queue that may go there, go."""
        queue = self.admission.queue(service)
        for call in queue.in_order():
            if call.queue is not queue:
                continue  # one before it made room for it
            no_endpoint = self.registry.local_endpoint(service) is None
            if call.from_peer:  # it is never relocated again: its own node looks further
                if no_endpoint:
                    self.take_out(call)
                    self.dispatcher.finish(call, Rejected(GONE, 0))
                continue
            call.tried_peers.clear()
            call.asked_peers.clear()
            if no_endpoint or self.dispatcher.choose(call, monotonic_us())[0].placement is FORWARD:
                self.take_out(call)
                self.dispatcher.place(call)

    def take_out(self, call: Call) -> None:
        """Out of its queue, from whatever position."""
        assert call.queue is not None
        call.queue.leave(call)
        call.stop_timer()
