"""The gate: where calls arrive, where each goes, and what its caller is told.

The policy is meadowdock.load_sharing's, as in meadowdock.proxy.walk; here a call is a continuation in turns, never awaited.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from meadowdock.configuration.items import DEFAULT_LIMITS
from meadowdock.forwarding.admission import Admission
from meadowdock.forwarding.call import Call, Refused, Served, Unknown
from meadowdock.forwarding.callers import Caller
from meadowdock.forwarding.figures import FiguresLog
from meadowdock.forwarding.http import head_of
from meadowdock.forwarding.invariants import Invariants
from meadowdock.forwarding.outlets import Pool
from meadowdock.forwarding.peers import CARRIED, Peers
from meadowdock.load_sharing import (
    FORWARD,
    LOCAL,
    REJECT,
    Choice,
    LoadList,
    LocalEndpointState,
    RoundRobin,
    choose,
)
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us

RETRY_LEAST = 20 * MILLISECOND
SLACK = 60 * MILLISECOND  # after the due, an outcome from elsewhere is no longer waited for
EARLY = 0.22  # until this part of its aim a refusal costs its caller little
JOIN_HIGH = 0.6  # as JOIN, for ranks above the lowest: those behind them wait instead
JOIN = 0.3  # a call joins a line if it will likely be served within this part of its aim
WAIT = 0.8  # and leaves it, at the latest, after this part of it
SLOWEST, COLD = 4.0, 1.5  # of the load index: it grows with an endpoint's slowness
ASKS = 2  # neighbours with no room that are asked whether a call may wait there
TRIED = 3  # neighbours without room, after which one is asked to let the call wait
TURNED_AWAY = "turned_away"  # a neighbour's word: its endpoint had it and did not run it


class Gate:
    """Invariants: calls holds every call that arrived here or was taken from a neighbour and has no
    outcome yet; a call is in one place at a time: in a line, at an endpoint's pool, or on a link."""

    def __init__(self, wires, reactor, book, dialect, boot, rng, log, settings):
        self.wires, self.reactor, self.book = wires, reactor, book
        self.dialect, self.rng, self.log = dialect, rng, log
        self.settings = settings
        self.name, self.gate_port, self.me, self.zone = (
            boot.name,
            boot.gate_port,
            boot.link,
            boot.zone,
        )
        self.caller_name = (boot.service or "guest").encode()
        self.peers = Peers(self, boot.fleet_key, boot.name, rng, log)
        self.table = None  # the configuration in force
        self.lowest_rank = 0
        self.load = None  # phi, omega, stale_us
        self.lists, self.told_nodes = LoadList(), {}
        self.accepting = {}  # (service, ceiling) -> nodes of the latest list
        self.left_out = set()  # (service, address) that had no room, until the next list
        self.wheels, self.pools, self.tries = {}, {}, {}
        self.admission = Admission()
        self.splits = {}
        self.fleet_us = {}  # service -> mean time that a call holds a slot, over the latest list
        self.figures = FiguresLog(log)
        self.invariants = Invariants(log)
        self.calls = set()
        self.callers = set()
        self.counts = {}
        self.closing = False
        self.came_at = 0

    def put_in_force(self, table, load):
        self.table, self.load = table, load
        ranks = [r.priority for prefixes in table.routes.values() for r in prefixes.values()]
        self.lowest_rank = max(ranks, default=0)
        self.admission.averaged_over(load["interval_us"])
        routes = {r.name for prefixes in table.routes.values() for r in prefixes.values()}
        self.admission.keep(routes, set(table.services))

    @property
    def limits(self):
        return self.table.limits if self.table is not None else DEFAULT_LIMITS

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    # ------------------------------------------------------------ arrivals

    def accept(self, wire):
        self.callers.add(Caller(self, wire))

    def arrive(self, caller, request):
        """A whole request of a caller on this machine."""
        at = self.came_at = monotonic_us()
        if self.table is None:
            return caller.answer_refused(request, Refused("no_manifest", 200 * MILLISECOND))
        host = request.host.lower().partition(b":")[0]
        route = self.table.find(host, request.target.partition(b"?")[0])
        if route is None:
            self.count("refused.route_unknown")
            return caller.answer_own(request, 404, "route_unknown")
        dialect = self.dialect
        id = request.facts.get(dialect.call_id.lower())
        if id is None:
            return caller.answer_own(request, 400, "no call id")
        left = request.facts.get(dialect.deadline.lower())
        total = route.timeout_us
        if left is not None and left.isdigit() and len(left) < 16:
            total = min(total, int(left) * dialect.deadline_unit_us)
        service = self.split(route)
        if service is None:
            return caller.answer_refused(request, Refused("gone", max(RETRY_LEAST, total // 8)))
        lines = [
            (b"Host", request.host),
            (dialect.call_id, id),
            (dialect.caller, self.caller_name),
            *((n, v) for n, v in request.lines if n.lower() != b"host"),
        ]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            lines.append((b"Content-Length", b"%d" % len(request.body)))
        aim = min(route.aim_us or total, total)
        spent = self.admission.spent(route.name, total)
        call = Call(
            id=id,
            head=head_of(request.method, request.target, lines),
            body=request.body,
            service=service,
            repeatable=route.repeatable,
            due=at + total,
            arrived_at=at,
            aim_due=at + max(0, aim - spent),
            early_due=at + int(EARLY * aim),
            join_due=at + int((JOIN if route.priority >= self.lowest_rank else JOIN_HIGH) * aim),
            wait_due=at + max(int(WAIT * aim), total // 3),
            tries=route.tries,
            kind=route.name,
            rank=route.priority,
            bare=request.method == b"HEAD",
            end=None,
        )
        call.end = caller.expect(request, call)
        self.admission.rate(call, at)
        self.count("calls")
        self.figures.arrived(call)
        self.tries_of(service).deposit(at)
        self.calls.add(call)
        self.place(call)
        return None

    def split(self, route):
        """The service of one more call: by weight, smoothly in turn."""
        if len(route.split) == 1:
            return route.split[0][0] if route.split[0][1] > 0 else None
        credit = self.splits.get((route.name, route.version))
        if credit is None:
            for key in [k for k in self.splits if k[0] == route.name]:
                del self.splits[key]
            credit = self.splits[route.name, route.version] = {s: 0.0 for s, _ in route.split}
        total = sum(weight for _, weight in route.split)
        if total <= 0:
            return None
        for service, weight in route.split:
            credit[service] += weight
        chosen = max((s for s, w in route.split if w > 0), key=lambda s: credit[s])
        credit[chosen] -= total
        return chosen

    def tries_of(self, service):
        tries = self.tries.get(service)
        if tries is None:
            tries = self.tries[service] = self.settings.new_retry_budget(self)
        return tries

    # ------------------------------------------------------------ where it goes

    def decide(self, call):
        service, at = call.service, monotonic_us()
        home = self.book.local_endpoint(service)
        occupation = self.book.service_loads.get(service)
        facts = LocalEndpointState(
            rho=occupation.rho if occupation else 0.0,
            has_capacity=home is not None and home.has_capacity,
            available=home is not None,
        )
        view = LoadList(
            self.lists.epoch,
            self.lists.seq,
            self.lists.received_at,
            self.told_nodes.get(service, ()),
        )
        out = {a for s, a in self.left_out if s == service} if self.left_out else ()
        load = self.load
        avoided = call.tried.union(out) if out else call.tried
        if home is None:
            accepting = [
                n for n in view.accepting(self.me, load["phi"]) if n.address not in avoided
            ]
            view = replace(view, nodes=tuple(self.near(accepting))) if accepting else view
        choice = choose(
            facts,
            view,
            self.wheel(service),
            at,
            self.me,
            load["phi"],
            load["omega"],
            load["stale_us"],
            avoided,
        )
        if choice.placement is REJECT and home is not None:
            choice = self.any_room(service, view, avoided) or choice
        return choice, home

    def any_room(self, service, view, avoided):
        """Home is full, where the paper would block the call, and nobody accepts: a neighbour below
        omega, then any below 1, may have a slot free now."""
        for ceiling in (self.load["omega"], 1.0):
            nodes = [n for n in view.accepting(self.me, ceiling) if n.address not in avoided]
            node = self.wheel(service).pick(nodes)
            if node is not None:
                return Choice(FORWARD, node, "full-any-room")
        return None

    def wheel(self, key):
        if key not in self.wheels:
            self.wheels[key] = RoundRobin(self.rng.choice("0123456789"))
        return self.wheels[key]

    def near(self, nodes):
        """Those of this zone, if there are any: what has no home here is served nearby."""
        return [n for n in nodes if n.zone == self.zone] or list(nodes)

    def place(self, call):
        """Send a call on its way, or let it wait; it holds no slot and is nowhere yet."""
        if call.abandoned:
            return self.finish(call, Refused("cancelled", 0))
        if monotonic_us() >= call.due:
            return self.finish(call, Unknown("no_answer") if call.maybe_run else Refused("late", 0))
        while True:
            choice, home = self.decide(call)
            self.count(f"rule.{choice.rule}")
            if choice.placement is LOCAL:
                return self.start(call, home)
            if choice.placement is not FORWARD or len(call.tried) >= TRIED:
                return self.hold(call, home)
            if len(call.head) + len(call.body) > CARRIED:  # no link takes it
                room = home is not None and home.has_capacity
                return self.start(call, home) if room else self.hold(call, home)
            if self.spill(call, choice.target):
                return None

    def start(self, call, endpoint):
        """At the endpoint here, which has room."""
        call.endpoint = endpoint
        at = monotonic_us()
        self.figures.started(call, at)
        self.admission.started(call, at)
        self.book.acquire_slot(endpoint, at)
        self.pool(endpoint).run(call)

    def pool(self, endpoint):
        # by the enrolment: an instance that was lost and beats again is another endpoint here
        pool = self.pools.get(id(endpoint))
        if pool is None:
            pool = self.pools[id(endpoint)] = Pool(self, endpoint)
        return pool

    def spill(self, call, node, waits=False):
        """Is it on its way to the neighbour? If not, that one is not chosen again. waits: it may
        stand in the neighbour's line."""
        link = self.peers.link(self.gate_of(node.address))
        if link is None:
            self.left_out.add((call.service, node.address))
            call.tried.add(node.address)
            return False
        self.count("spilled")
        call.target, call.instance, call.begun = link, node.incarnation, monotonic_us()
        self.book.adjust_forwarded(call.service, 1, monotonic_us())
        call.timer = self.reactor.at(call.due + SLACK, lambda: self.overdue(call))
        link.run(call, waits)
        return True

    def gate_of(self, address):
        return f"{address.rpartition(':')[0]}:{self.gate_port}"

    def node_of(self, gate_address):
        port = self.me.rpartition(":")[2]
        return f"{gate_address.rpartition(':')[0]}:{port}"

    def knows(self, gate_address):
        """Is a node of the latest list there?"""
        node = self.node_of(gate_address)
        return any(n.address == node for told in self.told_nodes.values() for n in told)

    def left(self, call):
        """Its frame goes out with the end of this turn."""
        call.sends += 1

    # ------------------------------------------------------------ waiting

    def hold(self, call, home):
        """No neighbour is known to have room. It waits here if that will likely be in time; else, or
        without a home, one of the neighbours may let it wait."""
        at = monotonic_us()
        if home is not None and home.has_capacity:
            return self.start(call, home)
        if home is not None:
            call.retry_us = self.admission.wait_us(call, home.capacity, at)
            if self.admission.may_join(call, call.retry_us, at):
                return self.let_in(call)
        while len(call.asked) < ASKS and at < call.join_due:
            nodes = [
                n
                for n in self.told_nodes.get(call.service, ())
                if n.address != self.me and not n.draining and n.address not in call.asked
            ]
            node = self.wheel((call.service, "waits")).pick(self.near(nodes))
            if node is None or len(call.head) + len(call.body) > CARRIED:
                break
            call.asked.add(node.address)
            if self.spill(call, node, True):
                return None
        if home is None and at < call.early_due:  # an endpoint, or a list, may come any moment
            call.wait_due = min(call.wait_due, call.early_due)
            return self.join(call)
        return self.give_up(call, "busy" if home is not None or call.asked else "gone")

    def let_in(self, call):
        """Into the queue, as one that has been judged."""
        call.let_in = call.urgency % 2 == 0
        self.join(call)

    def join(self, call):
        """Into the queue for a slot here."""
        self.book.slot_waiters.setdefault(call.service, partial(self.wake, call.service))
        self.admission.queue(call.service).join(call)
        call.place_until = self.admission.place_until(call)
        call.timer = self.reactor.at(call.place_until, lambda: self.waited(call))

    def waited(self, call):
        """The time of its place is over."""
        if call.waiting is not None:
            call.waiting.leave(call)
            self.outstayed(call)

    def outstayed(self, call):
        """It lost its place: it goes behind those that can still end in their aim, or is refused."""
        home = self.book.local_endpoint(call.service)
        if home is not None and self.admission.may_wait_on(call, home.capacity, monotonic_us()):
            self.join(call)
        else:
            self.figures.turned_out(call)
            self.give_up(call, "busy")

    def give_up(self, call, code):
        """No room in time: the final word, at once."""
        if call.maybe_run:
            self.finish(call, Unknown("lost"))
        elif not call.home:
            self.finish(call, Refused(code, call.retry_us))
        else:
            self.finish(call, Refused(code, self.retry_after(call)))

    def retry_after(self, call):
        """When to come back: once those in line have probably been served, but in time."""
        left = call.due - monotonic_us()
        return max(RETRY_LEAST, min(call.retry_us or call.hold_us, left // 4))

    def wake(self, service):
        """Room may have appeared at home: the first in line go there."""
        queue = self.admission.queue(service)
        while len(queue):
            home = self.book.local_endpoint(service)
            if home is None or not home.has_capacity:
                break
            call, at = self.unwait(queue.next()), monotonic_us()
            if at > call.place_until:  # its timer comes late: this process stood still
                self.outstayed(call)
                continue
            self.invariants.starting(call, self.admission, at)
            self.start(call, home)
        home = self.book.local_endpoint(service)
        self.invariants.woken(
            service, len(queue), home is not None and home.has_capacity, monotonic_us()
        )
        if len(queue) and home is None:
            self.place_waiting(service)

    def unwait(self, call):
        if call is not None and call.timer is not None:
            call.timer.cancel()
            call.timer = None
        return call

    def place_waiting(self, service):
        """Neighbours may have room now: who is in line here and may go there, goes."""
        queue = self.admission.queue(service)
        for call in queue.in_order():
            if call.waiting is not queue:
                continue  # one before it made room for it
            gone = self.book.local_endpoint(service) is None
            if not call.home:  # a neighbour's call is never spilled again: its home looks further
                if gone:
                    queue.leave(call)
                    self.unwait(call)
                    self.finish(call, Refused("gone", 0))
                continue
            call.tried.clear()
            call.asked.clear()
            if gone or self.decide(call)[0].placement is FORWARD:
                queue.leave(call)
                self.unwait(call)
                self.place(call)

    def listed(self, lists, told_nodes):
        """A new list is in hand."""
        self.lists, self.told_nodes = lists, told_nodes
        self.left_out = set()
        nodes = max(1, len({n.address for told in told_nodes.values() for n in told}))
        for tries in self.tries.values():
            tries.share_between(nodes)
        self.fleet_us = {
            service: sum(known) / len(known)
            for service, told in told_nodes.items()
            if (known := [n.slot_us for n in told if n.slot_us])
        }
        for service in list(self.admission.queues):
            self.place_waiting(service)

    # ------------------------------------------------------------ neighbours

    def taken(self, call):
        """A neighbour's call: room, instance and due are looked at here again."""
        self.calls.add(call)
        self.count("taken")
        self.figures.arrived(call)
        if monotonic_us() >= call.due:
            return self.finish(call, Refused("late", 0))
        home = self.book.local_endpoint(call.service)
        if home is None:
            return self.finish(call, Refused("gone", 0))
        if call.instance and home.incarnation != call.instance:
            others = [
                e
                for e in self.book.available_endpoints(call.service)
                if e.incarnation == call.instance
            ]
            home = others[0] if others else home
        at = monotonic_us()
        self.admission.rate(call, at)
        if home.has_capacity:  # then nobody is in the queue
            return self.start(call, home)
        call.retry_us = self.admission.wait_us(call, home.capacity, at)
        if self.admission.may_join(call, call.retry_us, at):
            return self.let_in(call)
        return self.finish(call, Refused("busy", call.retry_us))

    def cancelled(self, call):
        """Nobody needs an answer any more: what has not begun does not begin, and what may be
        repeated is broken off; anything else that was begun is finished."""
        if call.end is None:
            return
        call.abandoned = True
        if call.waiting is not None:
            call.waiting.leave(call)
            self.finish(call, Refused("cancelled", 0))
        elif call.target is not None:
            if call.repeatable:
                self.let_go_target(call).give_up(call)
                self.finish(call, Unknown("cancelled"))
            elif call.target.cancel(call):
                self.let_go_target(call)
                self.finish(call, Refused("cancelled", 0))
        elif call.endpoint is not None and call.repeatable:
            self.pool(call.endpoint).abandon(call)
            self.free(call)
            self.finish(call, Unknown("cancelled"))

    def let_go_target(self, call):
        link, call.target = call.target, None
        if link is not None:
            self.book.adjust_forwarded(call.service, -1, monotonic_us())
        self.unwait(call)
        return link

    def neighbour_answered(self, call, served):
        self.let_go_target(call)
        self.finish(call, served)

    def neighbour_refused(self, call, address, code, retry_us):
        """A promise: not run there. retry_us: when it may have room."""
        self.let_go_target(call)
        node = self.node_of(address)
        call.tried.add(node)
        self.left_out.add((call.service, node))
        if retry_us:
            call.retry_us = min(call.retry_us or retry_us, retry_us)
        self.count(f"spill.refused.{code}")
        if code == TURNED_AWAY:  # an endpoint has seen it: a further one is a second try
            self.after_not_run(call, "busy")
        else:
            call.sends -= 1
            self.place(call)

    def neighbour_unreached(self, call, address):
        """No byte of it left."""
        self.let_go_target(call)
        node = self.node_of(address)
        call.tried.add(node)
        self.left_out.add((call.service, node))
        self.count("spill.unreached")
        self.place(call)

    # ------------------------------------------------------------ endpoints

    def free(self, call):
        endpoint, call.endpoint = call.endpoint, None
        self.unwait(call)
        if endpoint is not None:
            at = monotonic_us()
            self.admission.freed(call, at)
            self.book.release_slot(endpoint, at)

    def no_connection(self, call, endpoint):
        self.book.mark_unreachable(endpoint)
        self.free(call)
        self.after_not_run(call, "unreached")

    def other_endpoint(self, endpoint):
        """Another endpoint has this address now."""
        self.log(405, address=endpoint.address, why="another instance answers")
        self.book.remove(endpoint, "another instance answers")

    def not_run(self, call, code):
        """The endpoint says, or it is certain, that it did not run."""
        if call.end is None:
            return
        self.free(call)
        self.count(f"endpoint.{code}")
        self.after_not_run(call, code)

    def after_not_run(self, call, code):
        if not call.home:
            return self.finish(call, Refused(TURNED_AWAY if call.sends else code, 0))
        if call.sends == 0 or (
            self.tries_left(call) and self.tries_of(call.service).try_withdraw(monotonic_us())
        ):
            return self.place(call)
        return self.give_up(call, code)

    def tries_left(self, call):
        return call.sends < call.tries and monotonic_us() < call.due

    def may_have_run(self, call, code):
        """Its fate is unknown: only what may be repeated goes on, within the budget."""
        if call.end is None:
            return
        self.let_go_target(call)
        if code == "no_answer" and call.endpoint is not None:
            self.admission.learn(
                call, monotonic_us() - call.begun
            )  # so long at least, with nothing to show
        self.free(call)
        self.count(f"unknown.{code}")
        call.maybe_run = True
        again = call.home and call.repeatable and not call.abandoned and code != "no_answer"
        if (
            again
            and self.tries_left(call)
            and self.tries_of(call.service).try_withdraw(monotonic_us())
        ):
            self.count("second_try")
            self.place(call)
        else:
            self.finish(call, Unknown(code))

    def overdue(self, call):
        """A neighbour says nothing by the due."""
        link = call.target
        if link is not None:
            link.give_up(call)
            self.may_have_run(call, "no_answer")

    def ended(self, call, outcome):
        """An endpoint here answered."""
        at = monotonic_us()
        self.admission.learn(call, at - call.begun)
        self.figures.ended(call, at)
        self.free(call)
        self.finish(call, outcome)

    def slot_us(self, service):
        """The mean time that a call holds a slot here, as told on the load list; 0 if unknown."""
        return self.admission.waits(service).mean_us()

    def slowness(self, service, at):
        """How much longer calls take here than over all nodes of the service: 1 to SLOWEST."""
        own, all_us = self.slot_us(service), self.fleet_us.get(service, 0)
        cold = any(e.slow_start_until > at for e in self.book.available_endpoints(service))
        ratio = own / all_us if all_us else 1.0
        return min(SLOWEST, max(COLD if cold else 1.0, ratio * ratio))

    # ------------------------------------------------------------ the end

    def finish(self, call, outcome):
        end, call.end = call.end, None
        if end is None:
            return
        self.unwait(call)
        self.calls.discard(call)
        if isinstance(outcome, Refused) and call.maybe_run:
            outcome = Unknown("lost")
        if isinstance(outcome, Refused):
            self.figures.refused(call, outcome.code)
        if isinstance(outcome, Served):
            self.count(f"answer.{outcome.status // 100}xx")
        elif call.home:
            self.count(f"{'refused' if isinstance(outcome, Refused) else 'unknown'}.{outcome.code}")
        end(outcome)

    # ------------------------------------------------------------ now and then

    def facts(self, service):
        """What this node knows of a service now, for a report: room, line, mean times, load."""
        home = self.book.local_endpoint(service)
        occupation = self.book.service_loads.get(service)
        return {
            "busy": sum(e.in_flight for e in self.book.available_endpoints(service)),
            "capacity": home.capacity if home is not None else 0,
            "waiting": len(self.admission.queue(service)),
            "rho": round(occupation.rho, 2) if occupation is not None else None,
            "told": home.reported_load if home is not None else None,
            "slot_ms": self.slot_us(service) // MILLISECOND,
            "fleet_slot_ms": int(self.fleet_us.get(service, 0)) // MILLISECOND,
            "peers": {n.address: round(n.rho, 2) for n in self.told_nodes.get(service, ())},
            "list_ms": (monotonic_us() - self.lists.received_at) // MILLISECOND,
        }

    def tidy(self, at):
        self.figures.report(at, self.facts, self.invariants.queue)
        self.invariants.slots(self.admission, self.calls, at)
        self.peers.look(at)
        for caller in list(self.callers):
            caller.look(at)
        for key, pool in list(self.pools.items()):
            pool.tidy(at)
            if pool.endpoint.removed and not pool.outlets and not pool.opening:
                del self.pools[key]
        self.reactor.end_turn()

    def shut(self):
        """No new connections come; who is idle is let go."""
        for caller in list(self.callers):
            caller.leave()


__all__ = ["SECOND", "Gate"]
