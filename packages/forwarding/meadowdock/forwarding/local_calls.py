"""Runs calls at the endpoints on this machine: their slots and their results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, OutcomeUnknown, Served
from meadowdock.forwarding.outcome_codes import CANCELLED, CONNECT_FAILED
from meadowdock.forwarding.upstream import UpstreamPool
from meadowdock.logs import events as log_events
from meadowdock.runtime import monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dispatcher import Dispatcher
    from meadowdock.forwarding.interfaces import Endpoint


class LocalCalls:
    """Runs calls at local endpoints and reports their outcomes to the dispatcher.

    Invariant: a call whose endpoint is not None holds one slot of it.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.registry = dispatcher, dispatcher.registry
        self.admission, self.call_statistics = dispatcher.admission, dispatcher.call_statistics
        self.counts, self.log = dispatcher.counts, dispatcher.log
        self.pools: dict[int, UpstreamPool] = {}  # by id() of the endpoint's registration

    def start(self, call: Call, endpoint: Endpoint) -> None:
        """Run a call at an endpoint that has a free slot."""
        call.endpoint = endpoint
        now = monotonic_us()
        self.call_statistics.count_start(call, now)
        self.admission.slot_acquired(call, now)
        self.registry.acquire_slot(endpoint, now)
        self.pool(endpoint).run(call, now)

    def pool(self, endpoint: Endpoint) -> UpstreamPool:
        """Return the connection pool of an endpoint.

        Each registration has its own pool: an instance that was removed and registers again is
        another endpoint here.
        """
        pool = self.pools.get(id(endpoint))
        if pool is None:
            pool = self.pools[id(endpoint)] = UpstreamPool(self, endpoint)
        return pool

    def free_slot(self, call: Call, now: int) -> None:
        """Release the slot of a call that has left its endpoint."""
        endpoint, call.endpoint = call.endpoint, None
        call.stop_timer()
        if endpoint is not None:
            self.admission.slot_released(call, now)
            self.registry.release_slot(endpoint, now)

    def on_answered(self, call: Call, served: Served) -> None:
        """Finish a call with the response of its endpoint."""
        now = monotonic_us()
        self.admission.observe(call, now - call.dispatched_at)
        self.call_statistics.count_end(call, now)
        self.free_slot(call, now)
        self.dispatcher.finish(call, served)

    def on_stream_ended(self, call: Call, cause: str) -> None:
        """Release the slot of a call whose answer was passed on while it arrived.

        :param cause: why it broke off, "" if it arrived to its end.
        """
        now = monotonic_us()
        if not cause:
            self.admission.observe(call, now - call.dispatched_at)
        self.call_statistics.count_end(call, now)
        self.free_slot(call, now)
        self.dispatcher.end_answer(call, cause)

    def on_connect_failed(self, call: Call, endpoint: Endpoint) -> None:
        """Retry or reject a call after no connection to its endpoint could be opened.

        No byte of the call was sent.
        """
        self.registry.mark_unreachable(endpoint)
        self.free_slot(call, monotonic_us())
        self.dispatcher.on_not_run(call, CONNECT_FAILED)

    def on_other_instance(self, endpoint: Endpoint) -> None:
        """Remove an endpoint whose address belongs to another instance now."""
        self.log(
            log_events.ENDPOINT_CHECK_FAILED,
            address=endpoint.address,
            why="another instance answers",
        )
        self.registry.remove(endpoint, "another instance answers")

    def on_not_run(self, call: Call, code: str) -> None:
        """Retry or reject a call that certainly did not run."""
        if call.on_outcome is None:
            return
        self.free_slot(call, monotonic_us())
        self.counts[f"endpoint.{code}"] += 1
        self.dispatcher.on_not_run(call, code)

    def cancel(self, call: Call, endpoint: Endpoint) -> None:
        """Abort a call whose caller has disconnected, if it is idempotent."""
        if call.idempotent:
            self.pool(endpoint).abort(call)
            self.free_slot(call, monotonic_us())
            self.dispatcher.finish(call, OutcomeUnknown(CANCELLED))

    def abandon(self, call: Call, endpoint: Endpoint) -> bool:
        """Close the connection of a call; return whether the call was sent to the endpoint."""
        sent = self.pool(endpoint).abort(call)
        self.free_slot(call, monotonic_us())
        return sent

    def close_expired(self, now: int) -> None:
        """Close expired idle connections and the pools of removed endpoints."""
        for key, pool in list(self.pools.items()):
            pool.close_expired(now)
            if pool.endpoint.removed and not pool.connections and not pool.opening:
                del self.pools[key]
