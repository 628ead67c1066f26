"""Helpers over a simulated world whose mdproxies have gates."""

from __future__ import annotations

from item_builders import route, service

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run

SEEDS = (1, 2, 3)
LIMITS = {
    "kind": "limits",
    "name": "",
    "version": 1,
    "spec": {
        "header_bytes": 4096,
        "body_bytes": 1 << 20,
        "header_us": 3 * SECOND,
        "idle_us": 5 * SECOND,
    },
    "source": "",
}


def items(*more):
    """Routes "/p/" (may be repeated) and "/once/" (at most once) of the service desk."""
    return [
        service("desk"),
        service("paper"),
        route("p", prefix="/p/"),
        route("once", prefix="/once/", repeat="once"),
        route("paper", prefix="/paper/", services=("paper",)),
        LIMITS,
        *more,
    ]


def gated(scenario, seed=1, application=("desk", "desk", "desk"), core=1, **places):
    """Run scenario(world) with gates in force and a stand-in endpoint of its service beside each."""

    async def whole(world):
        terms = places_terms
        await world.start_all()
        await world.eventually(lambda: not world.node("mdconf", world.core[0]).unready_reasons())
        await world.set_items(terms.get("items") or items())
        for host in world.application:
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())
        world.ends = {}
        for host, name in world.application.items():
            if name:
                world.ends[host] = await world.stand_in(host, name, **terms.get("endpoint", {}))
        await listed(world)
        result = await scenario(world)
        assert not world.request_audit.broken(repeatable), world.request_audit.broken(repeatable)
        assert not leaks(world), leaks(world)
        assert not violations(world), violations(world)
        return result

    places_terms = {key: places.pop(key) for key in ("items", "endpoint") if key in places}
    return run(whole, seed, core=core, application=application, gate=True, **places)


def repeatable(asked):
    return not asked.target.startswith(b"/once/")


async def listed(world):
    """Every gate knows every endpoint's node."""
    services = {s for s in world.application.values() if s}

    def known():
        return all(
            {n.address.partition(":")[0] for s in services for n in gate.loads.nodes.get(s, ())}
            >= {host for host, name in world.application.items() if name}
            for gate in [gate_of(world, h) for h in world.application]
        )

    await world.eventually(known)


def gate_of(world, host):
    return world.daemon("mdproxy", host).gateway


def violations(world):
    """The invariants that gates saw violated, in every life of every process."""
    return world.trace.events(802)


def leaks(world):
    """What must be nothing once no call is under way."""
    found = []
    for name, process in world.processes.items():
        if not name.startswith("mdproxy") or process.frozen is not None:
            continue
        daemon = process.node.daemon
        gate, book = daemon.gateway, daemon.endpoints
        found += [f"{name}: call {call.id} of {call.service}" for call in gate.dispatcher.calls]
        found += [
            f"{name}: {e.address} {e.in_flight}" for e in book.by_address.values() if e.in_flight
        ]
        found += [f"{name}: {s} spilled" for s, o in book.service_loads.items() if o.forwarded_now]
        found += [f"{name}: queue {s}" for s, q in gate.admission.queues.items() if len(q)]
        found += [f"{name}: pending {a}" for a, k in gate.peers.outgoing.items() if len(k.pending)]
        found += [
            f"{name}: opening"
            for pool in gate.dispatcher.local_calls.pools.values()
            if pool.opening
        ]
        pending = [
            t
            for t in daemon.reactor.timers
            if t.callback is not None and t.when > monotonic_us() + 3 * SECOND
        ]
        found += [f"{name}: timer {t.callback}" for t in pending]
    return found


async def asked(world, at_host, **facts):
    """One call on a connection of its own, to its end."""
    caller = await world.caller(at_host)
    exchange = caller.ask(**facts)
    await exchange.done.wait()
    return exchange


async def all_done(calls):
    for exchange in calls:
        await exchange.done.wait()
    await sleep_us(100 * MILLISECOND)


def busy(world, host, rho, name="desk"):
    """The node's own view of its load, held there."""
    world.daemon("mdproxy", host).endpoints.service_loads[name].rho = rho
