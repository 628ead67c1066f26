"""Callers that use each connection, with several requests under way, until it is closed."""

from __future__ import annotations

import trio

from meadowdock.forwarding import Reactor, SocketNetwork
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.standin import SentRequest, StandInCaller
from meadowdock.soak.fleet import GATEWAY_PORT, SERVICE
from meadowdock.soak.traffic import DEADLINE_MS, Traffic

MAX_UNDER_WAY = 4  # requests on one connection
REQUEST_INTERVAL_US = 40 * MILLISECOND
RECONNECT_INTERVAL_US = 50 * MILLISECOND
CONNECT_TIMEOUT_US = SECOND


class PersistentCallers:
    """Callers that send idempotent requests without waiting for the earlier answers.

    Invariant: requests holds all of their requests, in the order in which they were sent.
    """

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic
        self.requests: list[SentRequest] = []

    async def run(self, host: str, nursery: trio.Nursery) -> None:
        """Use one connection after another at a host, until the traffic stops."""
        reactor = Reactor()
        nursery.start_soon(reactor.run)
        network = SocketNetwork(host, nursery, reactor)
        audit = self.traffic.request_audit
        while not self.traffic.stopping.is_set():
            caller = StandInCaller(audit, host, SERVICE)
            network.dial(f"{host}:{GATEWAY_PORT}", monotonic_us() + CONNECT_TIMEOUT_US, caller)
            await caller.opened.wait()
            if caller.failed is None:
                audit.callers.append(caller)
                await self.use(caller)
            await sleep_us(RECONNECT_INTERVAL_US)

    async def use(self, caller: StandInCaller) -> None:
        """Send requests until the connection is closed, whatever its answers say, or traffic ends."""
        while not caller.closed_at and not self.traffic.stopping.is_set():
            if len(caller.asked) < MAX_UNDER_WAY:
                target = b"/safe/%d" % len(self.requests)
                self.requests.append(caller.ask(target, due_ms=DEADLINE_MS * MILLISECOND))
            await sleep_us(REQUEST_INTERVAL_US)
        for request in list(caller.asked):
            await request.done.wait()
        if caller.wire is not None:
            caller.wire.close()
