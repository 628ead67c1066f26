"""mdproxy with a gate: calls come by host and prefix, endpoints tell everything in their beats."""

from __future__ import annotations

from collections import OrderedDict

import trio

from meadowdock.configuration.check import LOAD
from meadowdock.forwarding import Gateway, Reactor, SocketNetwork
from meadowdock.proxy.endpoints import Endpoint, RegistrationDenied
from meadowdock.proxy.part import Part
from meadowdock.proxy.retry_budget import RetryBudget
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    HttpConnectionFailed,
    deadline_scope,
    monotonic_us,
    sleep_us,
)

LEFT_MAX = (
    1_000  # instances that left and are remembered, so that a late beat can't bring them back
)
BEATS = 3  # so many missed, an endpoint is gone
# where no operator's manifest says otherwise: chosen by measurement on calls by host and prefix
GATE_LOAD = {"omega": 0.8, "phi": 0.7, "interval_us": 250 * MILLISECOND}
QUIET = 200 * MILLISECOND
LOOK, LOOK_WAIT = 60 * MILLISECOND, 300 * MILLISECOND
FLUSH = 50 * MILLISECOND
SAFE = (
    0.6  # of the fleet's second tries: windows of nodes don't begin together, and repeats call on
)


class GatewayProxy(Part):
    """Invariants: gate.table is delivery's active items; sequences holds the highest beat's number of
    each instance enrolled here; left holds instances that left, the oldest first."""

    dialect = None  # of the platform, by a subclass

    def __init__(self, node):
        super().__init__(node)
        settings = node.settings
        self.reactor = Reactor(node.log)
        make = getattr(node.runtime.net, "wires", None)
        self.wires = (
            make(node.nursery, self.reactor)
            if make
            else SocketNetwork(settings.host, node.nursery, self.reactor)
        )
        self.gate = Gateway(
            self.wires,
            self.reactor,
            self.endpoints,
            self.dialect,
            settings,
            node.runtime.rng,
            node.log,
            self,
        )
        self.forwarder.use_load_list = self.listed
        self.endpoints.heartbeat_timeout_us = (
            BEATS * settings.heartbeat_us + settings.heartbeat_us // 3
        )
        self.sequences, self.left = {}, OrderedDict()
        self.closing = trio.Event()
        self.leaves = False  # the doors are about to close
        self.listening = 0

    def background_tasks(self):
        return super().background_tasks() | {
            "reactor": self.reactor.run,
            "arrivals": self.serve_arrivals,
            "neighbours": self.serve_neighbours,
            "beside": self.look_beside,
        }

    @property
    def out(self):
        # while its doors are open a stopping node serves, and its endpoint is not lost to others
        return self.leaves

    async def serve_arrivals(self):
        self.listening += 1
        await self.wires.listen(self.node.settings.gate_address, self.gate.accept, self.closing)

    async def serve_neighbours(self):
        settings = self.node.settings
        self.listening += 1
        await self.wires.listen(f"{settings.host}:{settings.gate_port}", self.gate.peers.accept)

    async def tidy(self):
        await super().tidy()
        self.gate.tidy(monotonic_us())

    def put_in_force(self, routing_table):
        if routing_table.load is LOAD:  # no operator has said anything of it
            routing_table.load = {**LOAD, **GATE_LOAD}
        super().put_in_force(routing_table)
        self.gate.apply_configuration(routing_table.items, routing_table.load)

    def listed(self, lists, told_nodes):
        type(self.forwarder).use_load_list(self.forwarder, lists, told_nodes)
        self.gate.update_loads(lists, told_nodes)
        self.reactor.end_turn()

    def measure(self):
        """As the paper's level, grown by how slow the endpoint here is; with zone and mean time."""
        told, at = super().measure(), monotonic_us()
        for service, line in told.items():
            occupation = self.endpoints.service_loads[service]
            occupation.rho = min(1.0, occupation.rho * self.gate.slowness.factor(service, at))
            line[0] = occupation.rho
            line += [self.node.settings.zone, self.gate.slowness.hold_us(service)]
        return told

    def new_retry_budget(self, gate):
        """A new service's second tries."""
        terms = self.node.settings.retry_budget
        ratio, reserve = SAFE * terms.ratio, int(SAFE * terms.reserve)
        return RetryBudget(gate.peer_count(), self.born, ratio, reserve, terms.window_us)

    def settings_changed(self, settings):
        """New settings of a running process: the service beside, and the bounds of second tries."""
        self.gate.caller_name = (settings.service or "guest").encode()
        self.gate.retries.budgets = {
            service: self.new_retry_budget(self.gate).carry_over(old)
            for service, old in self.gate.retries.budgets.items()
        }

    def unready_reasons(self):
        why = super().unready_reasons()
        return [*why, *([] if self.listening >= 2 else ["the doors are not open yet"])]

    # ------------------------------------------------------------ endpoints

    async def look_beside(self):
        """A process that has just started asks the endpoint beside who it is, since its next beat
        may be a whole interval away."""
        settings, words = self.node.settings, self.dialect
        while (
            settings.app_address
            and monotonic_us() - self.born < settings.heartbeat_us
            and not self.endpoints.by_address
        ):
            await sleep_us(LOOK)
            service = self.gate.table.services.get(settings.service) if self.gate.table else None
            if not service or not service.get("health"):
                continue
            at = monotonic_us()
            try:
                with deadline_scope(at + LOOK_WAIT):
                    connection = self.node.runtime.net.http(settings.app_address)
                    status, lines, _ = await connection.request("GET", service["health"], [], b"")
                    await connection.close()
                    self.found_beside(status, {n.lower(): v for n, v in lines}, words)
            except HttpConnectionFailed:
                pass

    def found_beside(self, status, facts, words):
        instance = facts.get(words.health_instance.lower(), b"").decode("latin-1")
        slots = facts.get(words.load.lower(), b"").split(b",")[-1]
        settings = self.node.settings
        well = status == 200 and instance and slots.isdigit() and int(slots)
        if well and not self.endpoints.by_address and instance not in self.left:
            at = monotonic_us()
            self.endpoints.add(
                Endpoint(settings.service, settings.app_address, instance, int(slots), at, at)
            )
            self.reactor.end_turn()

    def endpoint_heartbeat(self, facts):
        """One beat of the endpoint beside. facts: service, address, instance, capacity (calls at
        once), draining, warm_us (how much longer it is slow), sequence. Raises Denied."""
        instance, sequence, at = facts["instance"], facts["sequence"], monotonic_us()
        if instance in self.left or sequence <= self.sequences.get(instance, -1):
            return  # late: something newer is known
        held = self.endpoints.by_address.get(facts["address"])
        if held is None or held.incarnation != instance:
            if facts["address"].rpartition(":")[0] not in self.node.settings.local_addresses:
                raise RegistrationDenied(
                    403, "not_local", "the endpoint's address is of another machine"
                )
            if held is not None:
                self.forget(held.incarnation)  # a late beat of it doesn't take the address back
            held = Endpoint(
                facts["service"],
                facts["address"],
                instance,
                facts["capacity"],
                at,
                at,
                draining=facts["draining"],  # who waits must not start there meanwhile
            )
            self.endpoints.add(held)
        self.sequences[instance] = sequence
        held.heartbeat_at, held.capacity, held.unreachable = at, facts["capacity"], False
        held.slow_start_until = at + facts["warm_us"]
        if facts["draining"]:
            self.endpoints.start_draining(held)
        self.endpoints.notify_waiters(held.service)
        self.reactor.end_turn()

    def deregister_endpoint(self, instance):
        """The endpoint ends; nothing of it is used again."""
        self.forget(instance)
        for endpoint in list(self.endpoints.by_address.values()):
            if endpoint.incarnation == instance:
                self.endpoints.remove(endpoint, "left")
        self.reactor.end_turn()

    def forget(self, instance):
        """Its beats count no more."""
        self.left[instance] = True
        while len(self.left) > LEFT_MAX:
            self.left.popitem(last=False)
        self.sequences.pop(instance, None)

    # ------------------------------------------------------------ stop

    async def announce_shutdown(self):
        self.gate.closing = True

    async def drain(self):
        gate, last = self.gate, self.node.shutdown.deadline - SECOND
        self.leaves = True
        await self.tell_core()
        while monotonic_us() - gate.last_arrival_at < QUIET and monotonic_us() < last:
            await sleep_us(QUIET // 4)
        self.closing.set()
        await sleep_us(QUIET // 4)
        gate.close_idle_connections()
        while gate.in_use():
            gate.close_idle_connections()
            await sleep_us(10 * MILLISECOND)
        await sleep_us(FLUSH)
        await super().drain()
