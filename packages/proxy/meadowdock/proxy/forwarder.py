"""A call's walk: arrival, (one) spill, endpoint. Each step gives the next, or None at the end."""

from __future__ import annotations

import json
from collections import deque

import trio

from meadowdock.load_sharing import (
    FORWARD,
    LOCAL,
    Choice,
    LoadList,
    LocalEndpointState,
    RoundRobin,
    choose,
)
from meadowdock.outcome import NOT_RUN, REJECTION_CODES
from meadowdock.proxy.call import EndpointResponse, passed_on
from meadowdock.proxy.endpoints import InvalidEndpointResponse, check_endpoint_response, told_load
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, HttpConnectionFailed, deadline_scope, monotonic_us
from meadowdock.runtime.slab import Slab

FIRST_HOLD = 50 * MILLISECOND  # how long a call holds a slot, until one of its route was seen
SMOOTHED = 8
REMEMBERED = 1_000  # routes of a service


class SlotQueue:
    """Calls of one service that wait for a slot here. Invariant: first come, first served; an
    entry is either in line or has been told its fate, never both."""

    def __init__(self, forwarder, service):
        self.forwarder, self.service = forwarder, service
        self.line = deque()
        self.hold_us = {}  # route -> how long its calls hold a slot, smoothed: routes may be unlike

    def expected_us(self, call):
        """How long the call will hold a slot."""
        return self.hold_us.get(call.route.name, FIRST_HOLD)

    def worth_it(self, call, capacity, wait_us):
        """Would the call, if it joins now, likely be served within its wait?"""
        ahead_us = sum(self.expected_us(waiting) for waiting, _ in self.line)
        return (ahead_us + self.expected_us(call)) / max(1, capacity) <= wait_us

    def wake(self):
        while self.line:
            home = self.forwarder.endpoints.local_endpoint(self.service)
            if home is None:
                while self.line:
                    self.line.popleft()[1].set()
                return
            if not home.has_capacity:
                return
            call, told = self.line.popleft()
            self.forwarder.take(call, home)
            told.set()

    def ended(self, call, took_us):
        """A call held its slot for so long; the routes seen last are remembered."""
        mean_us = self.hold_us.pop(call.route.name, FIRST_HOLD)
        self.hold_us[call.route.name] = mean_us + (took_us - mean_us) // SMOOTHED
        if len(self.hold_us) > REMEMBERED:
            del self.hold_us[next(iter(self.hold_us))]


class Forwarder:
    """Invariants: every call under way is in the slab, with its continuation in call.step; a call
    holds a slot of call.endpoint iff that is not None."""

    def __init__(self, node, endpoints, retry_budget):
        self.node, self.endpoints, self.retry_budget = node, endpoints, retry_budget
        self.slab = Slab()
        self.load_list = LoadList()
        self.nodes_by_service = {}  # service -> tuple of meadowdock.load_sharing.Node, of the latest list
        self.left_out = set()  # (service, neighbour) that had no room, until the next list
        self.wheels = {}
        self.holdings = {}
        self.counts = {}
        self.routing_table = None

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def holding(self, service):
        if service not in self.holdings:
            made = self.holdings[service] = SlotQueue(self, service)
            self.endpoints.slot_waiters[service] = made.wake
        return self.holdings[service]

    # ------------------------------------------------------------ driving

    async def walk(self, call):
        """Drive a call to its outcome."""
        if call.repeat:
            call.step = self.look_up_step
        else:
            call.step = self.choose_step if call.home else self.enter_spilled
        handle = self.slab.put(call)
        try:
            while (call := self.slab.get(handle)).step is not None:
                if monotonic_us() >= call.due and call.outcome is None:
                    call.shed("due_passed")
                    break
                call.step = await call.step(call)
            return call.outcome
        finally:
            call = self.slab.take(handle)
            self.let_go(call)

    def take(self, call, endpoint):
        """A slot of the endpoint, and what comes next with it."""
        call.endpoint = endpoint
        self.endpoints.acquire_slot(endpoint, monotonic_us())
        return self.endpoint_step

    def let_go(self, call):
        if call.endpoint is not None:
            endpoint, call.endpoint = call.endpoint, None
            self.endpoints.release_slot(endpoint, monotonic_us())

    def second_try(self, call):
        """May this call be sent once more? Counts it if so. The first sending is always free."""
        if call.sends == 0:
            return True
        return self.retry_budget.try_withdraw(monotonic_us())

    # ------------------------------------------------------------ arrival

    def decide(self, call):
        service, at = call.route.service, monotonic_us()
        load, me = self.routing_table.load, self.node.settings.link
        home = self.endpoints.local_endpoint(service)
        occupation = self.endpoints.service_loads.get(service)
        facts = LocalEndpointState(
            rho=occupation.rho if occupation else 0.0,
            has_capacity=home is not None and home.has_capacity,
            available=home is not None,
        )
        view = LoadList(
            self.load_list.epoch,
            self.load_list.seq,
            self.load_list.received_at,
            self.nodes_by_service.get(service, ()),
        )
        return choose(
            facts,
            view,
            self.wheels.setdefault(service, RoundRobin()),
            at,
            me,
            load["phi"],
            load["omega"],
            load["stale_us"],
            frozenset(call.tried) | {a for s, a in self.left_out if s == service},
        )

    def use_load_list(self, load_list, nodes_by_service):
        """A new list is in hand."""
        self.load_list, self.nodes_by_service = load_list, nodes_by_service
        self.left_out = set()

    async def look_up_step(self, call):
        """A key that may have run somewhere: only the record of the endpoint here can tell more."""
        home = self.endpoints.local_endpoint(call.route.service)
        if home is None or not self.routing_table.services[call.route.service].get("record"):
            return call.shed("key_may_have_run")
        return self.take(call, home) if home.has_capacity else call.shed("busy")

    async def choose_step(self, call):
        choice: Choice = self.decide(call)
        self.count(f"rule.{choice.rule}")
        if choice.placement is LOCAL:
            return self.take(call, self.endpoints.local_endpoint(call.route.service))
        if choice.placement is FORWARD and call.spills <= call.route.relocation.retries:
            call.target = choice.target
            return self.spill_step
        return self.hold_step

    async def hold_step(self, call):
        """No room anywhere: wait a little for a slot at home, if that is likely to help."""
        home = self.endpoints.local_endpoint(call.route.service)
        if home is None:
            return call.shed("home_gone")
        if home.has_capacity:
            return self.take(call, home)
        holding = self.holding(call.route.service)
        wait_us = call.route.arrival.wait_us
        if call.spills or not holding.worth_it(call, home.capacity, wait_us):
            return call.shed("busy")
        told = trio.Event()
        entry = (call, told)
        holding.line.append(entry)
        try:
            with deadline_scope(min(call.due, monotonic_us() + wait_us)):
                await told.wait()
        finally:
            if not told.is_set():
                holding.line.remove(entry)
        if call.endpoint is not None:
            return self.endpoint_step
        call.waits += 1
        if told.is_set() and call.waits <= call.route.arrival.retries:
            return self.choose_step  # home is gone meanwhile
        return call.shed("busy")

    # ------------------------------------------------------------ spill

    async def spill_step(self, call):
        if not self.second_try(call):
            return self.hold_step
        call.sends += 1
        call.spills += 1
        self.count("spilled")
        target, route, at = call.target, call.route, monotonic_us()
        due = min(call.due, at + route.relocation.wait_us + route.endpoint.wait_us)
        args = {
            "id": call.id,
            "caller": call.caller,
            "method": call.method,
            "path": call.path,
            "query": call.query,
            "headers": [list(line) for line in call.headers],
            "body": call.body,
            "key": call.key,
            "way": route.name,
            "service": route.service,
            "incarnation": target.incarnation,
            "version": call.version,
        }
        self.endpoints.adjust_forwarded(route.service, 1, at)
        try:
            told = await self.node.rpc.call(target.address, "call.run", args, due)
        except Rejected as shed:
            call.tried.add(target.address)
            if shed.code == "busy":
                self.left_out.add((route.service, target.address))
            self.count(f"spill.shed.{shed.code}")
            if surely_not_run(shed.code):
                return self.choose_step
            return self.unknown(
                call, shed.code, self.choose_step, call.spills <= route.relocation.retries
            )
        except ConnectionFailed as broken:
            call.tried.add(target.address)
            self.count("spill.broke")
            if not broken.sent:
                call.sends -= 1
                return self.choose_step
            call.reached += 1
            code = "no_answer" if monotonic_us() >= due else "lost"
            return self.unknown(
                call, code, self.choose_step, call.spills <= route.relocation.retries
            )
        finally:
            self.endpoints.adjust_forwarded(route.service, -1, monotonic_us())
        call.outcome = EndpointResponse(
            told["status"], [(bytes(n), bytes(v)) for n, v in told["headers"]], told["body"]
        )
        return None

    def unknown(self, call, code, again, tries_left):
        """A try's fate is unknown: try again only on a route that is safe to repeat."""
        call.may_have_run = True
        over = (
            call.hung_up
            or self.node.shutdown.abort_requested.is_set()
            or monotonic_us() >= call.due
        )
        if call.route.idempotent and tries_left and not over:
            return again
        return call.shed(code)

    async def enter_spilled(self, call):
        """At the neighbour: everything is checked here again, and refused as not run."""
        home = self.endpoints.local_endpoint(call.route.service)
        if home is None:
            return call.shed("home_gone")
        if home.incarnation != call.incarnation:
            known = [
                e
                for e in self.endpoints.available_endpoints(call.route.service)
                if e.incarnation == call.incarnation
            ]
            if not known:
                return call.shed("home_gone", "another incarnation")
            home = known[0]
        if not home.has_capacity:
            return call.shed("busy")
        return self.take(call, home)

    # ------------------------------------------------------------ endpoint

    async def endpoint_step(self, call):
        endpoint, route = call.endpoint, call.route
        if not endpoint.available:
            self.let_go(call)
            return self.after_not_run(call)
        # a call that a neighbour shed has been nowhere yet: home keeps it, as the paper's would
        if call.reached and not self.retry_budget.try_withdraw(monotonic_us()):
            return call.shed("busy", "no second tries left")
        call.sends += 1
        call.reached += 1
        call.endpoint_tries += 1
        begun = monotonic_us()
        due = min(call.due, begun + route.endpoint.wait_us)
        service = self.routing_table.services.get(route.service) or {
            "echo": False,
            "identity": False,
        }
        sent = False

        def started():
            nonlocal sent
            sent = call.started = True
            guard.shield = True  # from here on only the due ends it

        with deadline_scope(due) as guard:
            call.guard = guard
            try:
                connection = await self.connection(endpoint, service)
                status, lines, body = await connection.request(
                    call.method,
                    call.target_path,
                    self.endpoint_lines(call, endpoint, due),
                    call.body,
                    started,
                )
                try:
                    lines = check_endpoint_response(endpoint, service, call.id, status, lines, body)
                except InvalidEndpointResponse as bad:
                    await connection.close()
                    self.node.log(405, address=endpoint.address, why=str(bad), call=call.id)
                    self.count("answer.bad")
                    return self.after_unknown(call, "bad_answer")
                self.keep(endpoint, connection)
            except HttpConnectionFailed:
                if sent:
                    self.count("endpoint.lost")
                    return self.after_unknown(call, "lost")
                return self.not_sent(call, endpoint)
        if guard.cancelled_caught:
            if sent:
                self.count("endpoint.late")
                return self.after_unknown(call, "no_answer")
            return self.not_sent(call, endpoint)
        load = told_load(lines)
        if load is not None:
            endpoint.reported_load, endpoint.reported_load_at = load, monotonic_us()
        self.holding(route.service).ended(call, monotonic_us() - begun)
        word = SAID.get((status, dict(lines).get(b"md-verdict")))
        if word is not None:
            self.let_go(call)
            self.count(f"endpoint.{word}")
            return self.after_not_run(call, "busy") if word == "busy" else call.shed(word)
        call.outcome = EndpointResponse(status, passed_on(lines), body)
        return None

    def not_sent(self, call, endpoint):
        """Nothing of the call left here, so what comes next is no second sending."""
        call.sends -= 1
        call.reached -= 1
        self.endpoints.mark_unreachable(endpoint)
        self.let_go(call)
        return self.after_not_run(call)

    def after_unknown(self, call, code):
        again = None if call.repeat else self.endpoint_step
        if call.endpoint is None or not call.endpoint.available:
            self.let_go(call)
            again = self.choose_step if call.home and not call.repeat else None
        tries_left = again is not None and call.endpoint_tries <= call.route.endpoint.retries
        return self.unknown(call, code, again, tries_left)

    def after_not_run(self, call, code="unreachable"):
        """The endpoint surely didn't run it: a home may look again, a neighbour says so."""
        tries_left = (
            call.endpoint_tries <= call.route.endpoint.retries and monotonic_us() < call.due
        )
        if call.home and tries_left and code != "busy" and not call.repeat:
            return self.choose_step
        return call.shed(code)

    def endpoint_lines(self, call, endpoint, due):
        return [
            *call.headers,
            (b"md-call", call.id.encode()),
            (b"md-caller", call.caller.encode()),
            (b"md-service", endpoint.service.encode()),
            (b"md-incarnation", endpoint.incarnation.encode()),
            (b"md-due", str(max(0, due - monotonic_us())).encode()),
            *([(b"md-key", call.key.encode())] if call.key else []),
            *([(b"md-repeat", b"1")] if call.repeat else []),
        ]

    async def connection(self, endpoint, service):
        """One that is free, or a new one, which proves service and incarnation first."""
        while endpoint.idle_connections:
            connection = endpoint.idle_connections.pop()
            if not connection.stale():
                return connection
            await connection.close()
        connection = self.node.runtime.net.http(endpoint.address)
        if service["identity"]:
            try:
                status, _, body = await connection.request("GET", "/md/identity", [], b"")
            except HttpConnectionFailed as broken:
                raise HttpConnectionFailed(
                    False, broken
                ) from broken  # no byte of the call was sent
            want = {"service": endpoint.service, "incarnation": endpoint.incarnation}
            if status != 200 or not holds(body, want):
                await connection.close()
                self.node.log(405, address=endpoint.address, why="identity")
                self.endpoints.remove(endpoint, "identity")
                raise HttpConnectionFailed(False, "another process answers there")
        if endpoint.removed:
            await connection.close()
            raise HttpConnectionFailed(False, "endpoint is gone")
        return connection

    def keep(self, endpoint, connection):
        if (
            not endpoint.removed
            and not connection.stale()
            and len(endpoint.idle_connections) < endpoint.capacity
        ):
            endpoint.idle_connections.append(connection)
        else:
            self.endpoints.connections_to_close.append(connection)

    def abort_requests(self):
        """A second signal: calls at an endpoint end now, as may have run."""
        for call in self.slab:
            if call.guard is not None:
                call.guard.cancel()

    async def tidy(self):
        """Endpoints that no longer beat, connections that nobody uses."""
        self.endpoints.remove_expired(monotonic_us())
        closing, self.endpoints.connections_to_close = self.endpoints.connections_to_close, []
        for connection in closing:
            await connection.close()


# what an endpoint says of a call instead of an answer: (status, md-verdict) -> code
SAID = {
    (503, b"not-run"): "busy",
    (409, b"may-have-run"): "key_may_have_run",
    (422, b"not-run"): "key_mismatch",
}


def surely_not_run(code):
    """What a peer's rejection says. An unknown word claims nothing."""
    return code == "no_such_method" or (
        code in REJECTION_CODES and REJECTION_CODES[code].verdict is NOT_RUN
    )


def holds(body, want):
    try:
        facts = json.loads(body)
    except ValueError:
        return False
    return isinstance(facts, dict) and all(facts.get(k) == v for k, v in want.items())
