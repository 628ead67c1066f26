"""Graceful shutdown of a node, from the first signal to the end of its process.

The node reports itself not ready, notifies its peers, keeps serving until load balancers and
callers have noticed, waits for the requests in flight, and closes its listeners. All this is
limited by a deadline; an interrupt after the first signal ends it immediately.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from meadowdock.logs import events as log_events
from meadowdock.runtime import MILLISECOND, deadline_scope, monotonic_us, sleep_us

if TYPE_CHECKING:
    from meadowdock.process.node import Node

# How long a node keeps serving first; the platform checks readiness only once a second.
DEFAULT_LINGER_US = 1_200 * MILLISECOND
# The platform kills a process after about 6 s, and a stop within 5 s is guaranteed.
DEFAULT_TIMEOUT_US = 4_700 * MILLISECOND
# Listeners stay open until no request has arrived for this long, for callers that ignore readiness.
QUIET_PERIOD_US = 200 * MILLISECOND
# Listeners are closed this long after the linger at the latest, even if requests still arrive, and
# leave this part of the time limit for the requests that were taken last.
QUIET_TIMEOUT_US = 600 * MILLISECOND
DRAIN_RESERVE = 0.4
# Extra time after the deadline for requests that arrived just before the listeners were closed.
LAST_REQUESTS_US = 400 * MILLISECOND


class GracefulShutdown:
    """The shutdown of one node.

    Invariant: started_at, deadline and close_by are None until the shutdown begins, and then
    monotonic times in microseconds.

    :ivar close_by: when no new request is taken any more, at the latest
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.linger_us = getattr(node.settings, "linger_us", DEFAULT_LINGER_US)
        self.timeout_us = getattr(node.settings, "stop_us", DEFAULT_TIMEOUT_US)
        self.started_at: int | None = None
        self.deadline: int | None = None
        self.close_by: int | None = None
        self.requested, self.abort_requested = trio.Event(), trio.Event()

    def on_signal(self, number: int) -> None:
        """Request a graceful shutdown at the first signal, and an end at once at a later SIGINT.

        A repeated SIGTERM changes nothing, since a supervisor may send it again during a planned stop.
        """
        if self.requested.is_set() and number == signal.SIGINT:
            self.abort_requested.set()
        self.requested.set()

    async def run(self) -> None:
        """Shut the node down, then cancel its nursery."""
        node = self.node
        node.log(log_events.STOPPING, requests_in_flight=node.listeners.requests_in_flight())
        node.stopping = True
        node.listeners.end_connections()
        self.started_at = monotonic_us()
        self.deadline = self.started_at + self.timeout_us
        self.close_by = min(
            self.started_at + self.linger_us + QUIET_TIMEOUT_US,
            self.deadline - int(DRAIN_RESERVE * self.timeout_us),
        )
        with deadline_scope(self.deadline):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.abort_when_requested, nursery.cancel_scope)
                await self.linger()
                await self.wait_for_quiet(self.close_by)
                await node.daemon.drain()
                node.listeners.closing.set()
                await node.listeners.closed.wait()
                nursery.cancel_scope.cancel()
        node.daemon.report_unanswered()
        node.daemon.abort_requests()
        node.listeners.closing.set()
        with deadline_scope(max(self.deadline, monotonic_us()) + LAST_REQUESTS_US):
            await node.daemon.flush()
            await node.listeners.closed.wait()
        node.log(log_events.STOPPED, requests_in_flight=node.listeners.requests_in_flight())
        node.nursery.cancel_scope.cancel()

    async def abort_when_requested(self, scope: trio.CancelScope) -> None:
        """Wait for the request to end at once, then end the drain."""
        await self.abort_requested.wait()
        self.node.log(log_events.SHUTDOWN_ABORTED)
        scope.cancel()

    async def linger(self) -> None:
        """Notify peers, and keep serving until readiness checks have noticed the shutdown."""
        linger_until_us = monotonic_us() + self.linger_us
        await self.node.daemon.announce_shutdown()
        await self.node.membership.announce_leaving()
        await sleep_us(linger_until_us - monotonic_us())

    async def wait_for_quiet(self, latest_us: int) -> None:
        """Keep the listeners open until no more requests arrive, or until `latest_us`."""
        while (
            monotonic_us() - self.node.listeners.last_request_us() < QUIET_PERIOD_US
            and monotonic_us() < latest_us
        ):
            await sleep_us(QUIET_PERIOD_US // 4)
