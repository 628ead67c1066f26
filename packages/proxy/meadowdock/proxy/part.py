"""mdproxy: what callers, endpoints, neighbours and the core ask of it."""

from __future__ import annotations

import json
import re
from dataclasses import replace

import trio

from meadowdock import process
from meadowdock.admin_http import BodyTooLarge, ClientDisconnected, Response, RouteTable
from meadowdock.configuration import GUEST
from meadowdock.load_sharing import LoadList, NodeLoad
from meadowdock.outcome import MAY_HAVE_RUN, NOT_RUN, Rejection, rejection
from meadowdock.proxy.call import Call, EndpointResponse, passed_on
from meadowdock.proxy.delivery import Delivery
from meadowdock.proxy.endpoints import (
    HEARTBEAT_INTERVAL,
    HEARTBEAT_TIMEOUT,
    EndpointRegistry,
    RegistrationDenied,
)
from meadowdock.proxy.forwarder import Forwarder
from meadowdock.proxy.idempotency_keys import IdempotencyKeys, KeyRejected
from meadowdock.proxy.retry_budget import RetryBudget
from meadowdock.rpc import ConnectionFailed, Handlers, Rejected
from meadowdock.runtime import (
    MILLISECOND,
    SECOND,
    deadline_scope,
    fingerprint,
    monotonic_us,
    sleep_us,
)

BEAT_CORE = 500 * MILLISECOND
YOUNG_BEAT = 150 * MILLISECOND  # until the first load list
GATHER = 10 * MILLISECOND  # a registry that was just heard of is seldom the only one
PULSE = 100 * MILLISECOND
BEHIND = 100 * MILLISECOND  # this process' own scheduling is so late: a new call is refused at once
NAME = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
HEARD = 200 * MILLISECOND
MARGIN = 20 * MILLISECOND  # a neighbour ends its try this much before the home's due


class Part(process.Daemon):
    """Invariants: lists only go up in (epoch, seq), from epoch_floor on, which is None until a
    registry told its highest epoch; walker.routing_table is delivery's active version."""

    table = RouteTable()
    handlers = Handlers()

    def __init__(self, node):
        self.node = node
        settings = node.settings
        self.endpoints = EndpointRegistry(settings.host, settings.fleet_key, node.log)
        self.forwarder = Forwarder(
            node, self.endpoints, RetryBudget(settings.nodes_expected, monotonic_us())
        )
        self.delivery = Delivery(node, self.put_in_force)
        self.keys = IdempotencyKeys()
        self.asked_at = self.born = monotonic_us()
        self.late_turns = 0
        self.stale_told = False
        self.epoch_floor = None
        self.calls = 0
        self.beaten, self.registry_came = set(), trio.Event()
        node.view.on_updated = self.heard

    def rpc_handlers(self):
        return Part.handlers.bind(self) | Delivery.handlers.bind(self.delivery)

    @property
    def out(self):
        """Is this node out of the rotation?"""
        return self.node.stopping

    def background_tasks(self):
        return {
            "manifest": self.delivery.run,
            "pulse": self.pulse_loop,
            "beat": self.beat_loop,
        }

    async def pulse_loop(self):
        """Small things that are due again and again; and how often in a row this process came
        late to them: once is a freeze, more is too much work."""
        while True:
            self.delivery.look_at_pulse()
            await self.tidy()
            wanted = self.node.view.schedule.next_wakeup(PULSE)
            await sleep_us(wanted - monotonic_us())
            self.late_turns = self.late_turns + 1 if monotonic_us() - wanted > BEHIND else 0

    async def tidy(self):
        await self.forwarder.tidy()

    def behind(self):
        return self.late_turns > 1

    def put_in_force(self, routing_table):
        self.forwarder.routing_table = routing_table

    def unready_reasons(self):
        age = monotonic_us() - self.born
        return [
            *([] if self.delivery.active else ["the core hasn't confirmed a manifest here yet"]),
            *(
                ["the endpoints beside were not all heard yet"]
                if age < HEARTBEAT_INTERVAL + HEARD
                else []
            ),
            *(
                ["no load list yet"]
                if not self.forwarder.load_list.epoch and age < 2 * SECOND
                else []
            ),
        ]

    def heard(self, entry):
        """News of another process."""
        self.delivery.heard(entry.version, entry.role == "mdproxy")
        if entry.role == "mdreg" and entry.address not in self.beaten:
            self.registry_came.set()

    # ------------------------------------------------------------ the core

    async def beat_loop(self):
        """Beats to every mdreg; and, without a collector, the end of each interval."""
        while True:
            await self.tell_core()
            load = self.forwarder.routing_table.load if self.forwarder.routing_table else None
            if load and monotonic_us() - self.asked_at > 2 * load["interval_us"]:
                self.measure()
            lists = self.forwarder.load_list
            stale = load and lists.stale(monotonic_us(), load["stale_us"])
            if stale and not self.stale_told:
                self.node.log(
                    704, seq=self.forwarder.load_list.seq, epoch=self.forwarder.load_list.epoch
                )
            self.stale_told = bool(stale)
            with deadline_scope(
                self.node.view.schedule.next_wakeup(BEAT_CORE if lists.seq else YOUNG_BEAT)
            ):
                await self.registry_came.wait()
                await sleep_us(GATHER)
            self.registry_came = trio.Event()

    async def tell_core(self):
        me = self.node.view.me
        beat = {
            "address": me.address,
            "http": self.node.settings.http,
            "role": "mdproxy",
            "hall": me.zone,
            "incarnation": me.incarnation,
            "version": self.delivery.version,
            "newest": self.delivery.newest,
            "cut_off": self.delivery.cut_off,
            "leaving": self.out,
            # without a list: of so many nodes this one knows
            "listless": None if self.forwarder.load_list.seq else self.nodes_known(),
            "interval_us": self.forwarder.routing_table.load["interval_us"]
            if self.forwarder.routing_table
            else None,
            "endpoints": [
                {
                    "service": e.service,
                    "address": e.address,
                    "incarnation": e.incarnation,
                    "in_flight": e.in_flight,
                    "capacity": e.capacity,
                    "draining": e.draining,
                }
                for e in self.endpoints.by_address.values()
            ],
            "counts": dict(self.forwarder.counts),
        }
        regs = self.node.view.core_members("mdreg")
        self.beaten = set(regs)
        answers, deadline = [], monotonic_us() + BEAT_CORE

        async def beat_to(registry):
            try:
                answer = await self.node.rpc.call(registry, "reg.beat", beat, deadline)
            except (ConnectionFailed, Rejected):
                return
            self.epoch_floor = max(self.epoch_floor or 0, answer.get("epoch", 0))
            answers.append(answer)

        async with trio.open_nursery() as nursery:
            for registry in regs:
                nursery.start_soon(beat_to, registry)
        self.learn_nodes([answer["nodes"] for answer in answers if answer.get("nodes")])

    def nodes_known(self):
        return len({n.address for told in self.forwarder.nodes_by_service.values() for n in told})

    def learn_nodes(self, told):
        """Before the first list: who beats to the registries, as a stand-in that is stale from the
        beginning. Told by several, the one that knows the most counts; asked anew at each beat,
        since registries that have just started themselves hear of the proxies one by one."""
        if told and not self.forwarder.load_list.seq:
            self.forwarder.use_load_list(LoadList(), by_service(max(told, key=len)))

    def measure(self):
        at = monotonic_us()
        self.asked_at = at
        return self.endpoints.measure_load(at, self.forwarder.routing_table.load["share"])

    @handlers.on("load.ask")
    async def on_ask(self, peer, _):
        if self.forwarder.routing_table is None or self.out:
            return {}
        return self.measure()

    @handlers.on("load.list")
    async def on_list(self, peer, told):
        lists = self.forwarder.load_list
        if self.epoch_floor is None:  # it may be a former holder's that stood still
            raise Rejected("epoch_unknown")
        known = max(lists.epoch, self.epoch_floor)
        if told["epoch"] < known:
            self.node.log(703, epoch=told["epoch"], known=known, of=peer.name)
            raise Rejected("old_epoch", epoch=known)
        if (told["epoch"], told["seq"]) <= (lists.epoch, lists.seq):
            return {}
        self.forwarder.use_load_list(
            LoadList(told["epoch"], told["seq"], monotonic_us()), by_service(told["nodes"])
        )
        return {}

    # ------------------------------------------------------------ endpoints

    def local(self, request):
        if request.peer not in self.node.settings.local_addresses:
            raise RegistrationDenied(
                403, "not_local", f"only this machine's endpoints, not {request.peer}"
            )

    async def facts(self, request, wanted):
        self.local(request)
        try:
            facts = json.loads(await request.body(65536))
        except ValueError:
            raise RegistrationDenied(400, "malformed", "body is no JSON") from None
        if not isinstance(facts, dict):
            raise RegistrationDenied(400, "malformed", "body is no object")
        wrong = [
            f"{name}: {why}"
            for name, (check, why) in wanted.items()
            if name in facts and not check(facts[name])
        ] + [
            f"{name} is missing"
            for name, (_, why) in wanted.items()
            if name not in facts and why[0] != "?"
        ]
        if wrong:
            raise RegistrationDenied(400, "malformed", "; ".join(wrong))
        return facts

    @table.on("POST", "/md/enrol")
    async def enrol(self, request):
        try:
            facts = await self.facts(request, ENROL)
            if self.forwarder.routing_table is None:
                raise RegistrationDenied(503, "no_manifest")
            if facts["service"] not in self.forwarder.routing_table.services:
                raise RegistrationDenied(404, "service_unknown", facts["service"])
            if facts["address"].rpartition(":")[0] not in self.node.settings.local_addresses:
                raise RegistrationDenied(
                    403, "not_local", "the endpoint's address is of another machine"
                )
        except RegistrationDenied as denied:
            return said(denied)
        token = self.endpoints.register(
            facts["service"],
            facts["address"],
            facts["incarnation"],
            facts["capacity"],
            monotonic_us(),
            self.node.runtime.wall_us(),
        )
        return Response(
            200, {"token": token, "beat_us": HEARTBEAT_INTERVAL, "window_us": HEARTBEAT_TIMEOUT}
        )

    @table.on("POST", "/md/beat")
    async def beat(self, request):
        try:
            facts = await self.facts(request, BEAT_FACTS)
            read = self.endpoints.verify_token(facts["token"])
            if (
                read
                and self.forwarder.routing_table
                and read[0] not in self.forwarder.routing_table.services
            ):
                raise RegistrationDenied(404, "service_unknown", read[0])
            self.endpoints.heartbeat(
                facts["token"],
                facts["capacity"],
                facts.get("draining", False),
                facts.get("load"),
                monotonic_us(),
            )
        except RegistrationDenied as denied:
            return said(denied)
        return Response(200, {"beat_us": HEARTBEAT_INTERVAL, "window_us": HEARTBEAT_TIMEOUT})

    @table.on("POST", "/md/leave")
    async def leave(self, request):
        try:
            self.endpoints.deregister((await self.facts(request, {"token": TOKEN}))["token"])
        except RegistrationDenied as denied:
            return said(denied)
        return Response(200, {})

    @table.on("GET", "/md/status")
    async def status(self, request):
        try:
            self.local(request)
        except RegistrationDenied as denied:
            return said(denied)
        lists = self.forwarder.load_list
        return Response(
            200,
            {
                "version": self.delivery.version,
                "cut_off": self.delivery.cut_off,
                "listed": {
                    s: [n.address for n in ns] for s, ns in self.forwarder.nodes_by_service.items()
                },
                "list": {"epoch": lists.epoch, "seq": lists.seq},
                "rho": {s: o.rho for s, o in self.endpoints.service_loads.items()},
                "calls_under_way": len(self.forwarder.slab),
                "counts": self.forwarder.counts,
                "second_tries": {
                    "requests": self.forwarder.retry_budget.requests,
                    "tries": self.forwarder.retry_budget.retries,
                },
                "neighbours": sorted(self.node.view.entries),
            },
        )

    # ------------------------------------------------------------ calls

    @table.otherwise
    async def arrival(self, request):
        """Any other path is a call."""
        try:
            made = await self.admitted(request)
        except BodyTooLarge:
            made = rejection("too_large")
        call = made if isinstance(made, Call) else None
        if call:
            self.forwarder.count("calls")
            self.forwarder.retry_budget.deposit(monotonic_us())
            made = await self.watched(call, request)
        if request.header(b"md-repeat") and isinstance(made, Rejection) and made.verdict is NOT_RUN:
            # what is refused here may have run where it was sent before
            made = replace(made, verdict=MAY_HAVE_RUN)
        return self.reply(made, call)

    async def admitted(self, request):
        """A Call, or the Shedding or earlier EndpointResponse that ends the request here."""
        routing_table = self.forwarder.routing_table
        if routing_table is None:
            return rejection("no_manifest")
        if self.behind():
            return rejection("busy", "this proxy is behind with its own work")
        await self.delivery.current()
        routing_table = self.forwarder.routing_table
        caller, token = GUEST, request.header(b"md-token")
        if token is not None:
            young = monotonic_us() - self.born < HEARTBEAT_TIMEOUT
            caller = (
                self.endpoints.authenticate(token, young)
                if request.peer in self.node.settings.local_addresses
                else None
            )
            if caller is None:
                return rejection("bad_token")
        route, code = routing_table.find_route(caller, request.method, request.path)
        if route is None:
            return rejection(code)
        body = await request.body(routing_table.services[route.service]["body_max"])
        key, due_us = request.header(b"md-key"), request.header(b"md-due")
        if key is not None and not NAME.match(key):
            return rejection("malformed", "md-key must be 1 to 128 of A-Z a-z 0-9 . _ : -")
        if due_us is not None and not (due_us.isdigit() and len(due_us) < 16):
            return rejection("malformed", "md-due must be whole microseconds")
        repeat = request.header(b"md-repeat")
        if repeat not in (None, "1") or (repeat and key is None):
            return rejection("malformed", "md-repeat must be 1, with an md-key")
        if body and not is_json(body):
            return rejection("malformed", "body is no JSON")
        if not request.query.isascii():
            return rejection("malformed", "query")
        total = min(route.total_wait_us, int(due_us)) if due_us is not None else route.total_wait_us
        if self.node.shutdown.deadline is not None:
            total = min(total, self.node.shutdown.deadline - monotonic_us() - 100 * MILLISECOND)
            if total <= 0:
                return rejection("stopping")
        self.calls += 1
        return Call(
            id=f"{self.node.incarnation:x}-{self.node.settings.host}-{self.calls}",
            caller=caller,
            method=request.method,
            path=request.path,
            query=request.query,
            headers=passed_on(request.headers),
            body=body,
            route=route,
            version=routing_table.version,
            due=monotonic_us() + total,
            key=key,
            repeat=repeat is not None,
            cut_off=self.delivery.cut_off,
        )

    async def watched(self, call, request):
        """Walk a call; a caller that hangs up cancels what has not started."""
        print_of = None
        if call.key is not None:
            print_of = fingerprint(
                b"\0".join([call.method.encode(), call.target_path.encode(), call.body])
            )
            known = self.keys.begin(call.caller, call.key, print_of, monotonic_us())
            if isinstance(known, KeyRejected):
                return rejection(known.code)
            if known is not None:
                return known
        try:
            async with trio.open_nursery() as nursery:

                async def watch():
                    while (await request.receive())["type"] != "http.disconnect":
                        pass
                    call.hung_up = True
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch)
                await self.forwarder.walk(call)
                nursery.cancel_scope.cancel()
        finally:
            if print_of is not None:
                self.keys.end(call.caller, call.key, self.fate(call), call.outcome)
        if call.outcome is None:
            raise ClientDisconnected
        return call.outcome

    def fate(self, call):
        if call.outcome is None:
            spilling = call.target is not None
            return MAY_HAVE_RUN if call.started or call.may_have_run or spilling else NOT_RUN
        return call.outcome.verdict

    def reply(self, outcome, call):
        cut_off = call.cut_off if call else self.delivery.cut_off
        lines = [
            (b"md-verdict", outcome.verdict.value.encode()),
            (b"md-node", self.node.settings.name.encode()),
            *([(b"md-call", call.id.encode())] if call else []),
            (b"md-version", str(call.version if call else self.delivery.version).encode()),
            *([(b"md-cut-off", b"1")] if cut_off else []),
        ]
        if isinstance(outcome, EndpointResponse):
            self.forwarder.count(f"answer.{outcome.status // 100}xx")
            return Response(outcome.status, outcome.body, [*outcome.headers, *lines])
        self.forwarder.count(f"shed.{outcome.code}")
        if outcome.retry_after_us:
            seconds = -(-outcome.retry_after_us // SECOND)
            lines.append((b"retry-after", str(seconds).encode()))
        return Response(outcome.status, outcome.body(), lines)

    # ------------------------------------------------------------ spilled calls

    @handlers.on("call.run")
    async def on_run(self, peer, args):
        """A neighbour's call. Way, service, incarnation, drain, room and due are checked here."""
        routing_table = self.forwarder.routing_table
        if routing_table is None:
            raise Rejected("no_manifest")
        if self.node.stopping:
            raise Rejected("stopping")
        route, code = routing_table.find_route(args["caller"], args["method"], args["path"])
        if route is None or route.service != args["service"]:
            raise Rejected(code or "way_forbidden")
        self.delivery.heard(args["version"], True)
        left = trio.current_effective_deadline()
        call = Call(
            id=args["id"],
            caller=args["caller"],
            method=args["method"],
            path=args["path"],
            query=args["query"],
            headers=[(bytes(n), bytes(v)) for n, v in args["headers"]],
            body=bytes(args["body"]),
            route=route,
            version=routing_table.version,
            due=int(left * SECOND) - MARGIN
            if left < float("inf")
            else monotonic_us() + route.total_wait_us,
            key=args["key"],
            home=False,
            incarnation=args["incarnation"],
        )
        self.forwarder.count("taken")
        outcome = await self.forwarder.walk(call)
        if isinstance(outcome, Rejection):
            raise Rejected(outcome.code)
        return {
            "status": outcome.status,
            "headers": [list(line) for line in outcome.headers],
            "body": outcome.body,
        }

    # ------------------------------------------------------------ stop

    def abort_requests(self):
        self.forwarder.abort_requests()

    async def announce_shutdown(self):
        await self.tell_core()

    async def drain(self):
        while len(self.forwarder.slab):
            await sleep_us(10 * MILLISECOND)


TOKEN = (lambda v: isinstance(v, str) and 0 < len(v) < 1024, "must be the token of enrolment")
CAPACITY = (
    lambda v: isinstance(v, int) and not isinstance(v, bool) and 0 < v <= 100_000,
    "must be a whole number from 1: calls at once",
)
ENROL = {
    "service": (lambda v: isinstance(v, str), "must be a name"),
    "address": (
        lambda v: isinstance(v, str) and re.match(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$", v),
        "must be an IP number and port",
    ),
    "capacity": CAPACITY,
    "incarnation": (
        lambda v: isinstance(v, str) and NAME.match(v),
        "must be 1 to 128 of A-Z a-z 0-9 . _ : -",
    ),
}
BEAT_FACTS = {
    "token": TOKEN,
    "capacity": CAPACITY,
    "draining": (lambda v: isinstance(v, bool), "? must be true or false"),
    "load": (
        lambda v: isinstance(v, (int, float)) and not isinstance(v, bool) and 0 <= v <= 1,
        "? must be in 0..1",
    ),
}


def by_service(nodes):
    """{address: {service: facts}} as {service: nodes}."""
    found = {}
    for address, services in nodes.items():
        for service, facts in services.items():
            found.setdefault(service, []).append(NodeLoad(address, *facts))
    return {service: tuple(told) for service, told in found.items()}


def said(denied):
    return Response(denied.status, {"code": denied.code, "detail": denied.detail})


def is_json(body):
    try:
        json.loads(body)
        return True
    except (ValueError, RecursionError):
        return False
