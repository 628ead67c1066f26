"""Calls that are at endpoints on this machine: their slots, and what the endpoints say of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowdock.forwarding.call import Call, OutcomeUnknown, Served
from meadowdock.forwarding.outcome_codes import CANCELLED, UNREACHED
from meadowdock.forwarding.upstream import UpstreamPool
from meadowdock.runtime import monotonic_us

if TYPE_CHECKING:
    from meadowdock.forwarding.dispatcher import Dispatcher
    from meadowdock.forwarding.interfaces import Endpoint


class LocalCalls:
    """Runs calls at endpoints here, and reports their outcomes to the dispatcher.

    Invariant: a call whose endpoint is not None holds one slot of it.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.registry = dispatcher, dispatcher.registry
        self.admission, self.figures = dispatcher.admission, dispatcher.figures
        self.counts, self.log = dispatcher.counts, dispatcher.log
        self.pools: dict[int, UpstreamPool] = {}  # by the identity of the endpoint's enrolment

    def start(self, call: Call, endpoint: Endpoint) -> None:
        """Run a call at an endpoint that has a slot free."""
        call.endpoint = endpoint
        at = monotonic_us()
        self.figures.started(call, at)
        self.admission.started(call, at)
        self.registry.acquire_slot(endpoint, at)
        self.pool(endpoint).run(call, at)

    def pool(self, endpoint: Endpoint) -> UpstreamPool:
        """The connections to an endpoint. The key is its enrolment: an instance that was lost and
        comes back is another endpoint here."""
        pool = self.pools.get(id(endpoint))
        if pool is None:
            pool = self.pools[id(endpoint)] = UpstreamPool(self, endpoint)
        return pool

    def free_slot(self, call: Call, at: int) -> None:
        """The call is at its endpoint no more, from a time on."""
        endpoint, call.endpoint = call.endpoint, None
        call.stop_timer()
        if endpoint is not None:
            self.admission.freed(call, at)
            self.registry.release_slot(endpoint, at)

    # ------------------------------------------------------------ what endpoints say

    def answered(self, call: Call, served: Served) -> None:
        """An endpoint answered."""
        at = monotonic_us()
        self.admission.learn(call, at - call.dispatched_at)
        self.figures.ended(call, at)
        self.free_slot(call, at)
        self.dispatcher.finish(call, served)

    def no_connection(self, call: Call, endpoint: Endpoint) -> None:
        """An endpoint took no connection: no byte of the call left."""
        self.registry.mark_unreachable(endpoint)
        self.free_slot(call, monotonic_us())
        self.dispatcher.after_not_run(call, UNREACHED)

    def other_instance(self, endpoint: Endpoint) -> None:
        """Another endpoint has this address now."""
        self.log(405, address=endpoint.address, why="another instance answers")
        self.registry.remove(endpoint, "another instance answers")

    def not_run(self, call: Call, code: str) -> None:
        """The endpoint says, or it is certain, that the call did not run."""
        if call.on_outcome is None:
            return
        self.free_slot(call, monotonic_us())
        self.counts[f"endpoint.{code}"] += 1
        self.dispatcher.after_not_run(call, code)

    # ------------------------------------------------------------ cancelling and upkeep

    def cancel(self, call: Call, endpoint: Endpoint) -> None:
        """Nobody needs an answer any more: break the call off, if it is idempotent."""
        if call.idempotent:
            self.pool(endpoint).abandon(call)
            self.free_slot(call, monotonic_us())
            self.dispatcher.finish(call, OutcomeUnknown(CANCELLED))

    def close_expired(self, at: int) -> None:
        """Close idle connections in time, and forget endpoints that are gone."""
        for key, pool in list(self.pools.items()):
            pool.close_expired(at)
            if pool.endpoint.removed and not pool.connections and not pool.opening:
                del self.pools[key]
