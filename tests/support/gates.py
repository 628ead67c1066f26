"""Helpers for a simulated fleet whose proxies have gateways."""

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


def default_items(*more):
    """Return items with the idempotent route "/p/" and the non-idempotent route "/once/" to desk.

    The service paper has the route "/paper/".
    """
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
    """Run scenario(world) with a gateway and a stand-in endpoint at each application machine.

    Afterwards no call may have violated at-most-once execution, left a resource allocated, or
    caused an invariant violation event. places are arguments of the simulation, and `items` and
    `endpoint`: the configuration, and arguments of each stand-in endpoint.
    """

    async def run_and_check(world):
        await world.start_all()
        await world.eventually(lambda: not world.node("mdconf", world.core[0]).unready_reasons())
        await world.set_items(own_places.get("items") or default_items())
        for host in world.application:
            await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())
        world.ends = {}
        for host, name in world.application.items():
            if name:
                endpoint = own_places.get("endpoint", {})
                world.ends[host] = await world.stand_in(host, name, **endpoint)
        await wait_until_listed(world)
        result = await scenario(world)
        assert not world.request_audit.broken(is_idempotent), world.request_audit.broken(
            is_idempotent
        )
        assert not find_leaks(world), find_leaks(world)
        assert not invariant_violations(world), invariant_violations(world)
        return result

    own_places = {key: places.pop(key) for key in ("items", "endpoint") if key in places}
    return run(run_and_check, seed, core=core, application=application, gate=True, **places)


def is_idempotent(call):
    return not call.target.startswith(b"/once/")


async def wait_until_listed(world):
    """Wait until the load list of every gateway has the node of every endpoint."""
    services = {service for service in world.application.values() if service}

    def all_are_listed():
        return all(
            {
                node.address.partition(":")[0]
                for service in services
                for node in gateway.loads.nodes.get(service, ())
            }
            >= {host for host, name in world.application.items() if name}
            for gateway in [gateway_of(world, host) for host in world.application]
        )

    await world.eventually(all_are_listed)


def hosts_of(world):
    """Return the addresses of the application machines."""
    return list(world.application)


def gateway_of(world, host):
    return world.daemon("mdproxy", host).gateway


def invariant_violations(world):
    """Return the events of violated invariants, of every run of every process."""
    return world.trace.events(802)


def find_leaks(world):
    """Return what is still allocated or queued at the gateways although no call is in flight."""
    found = []
    for name, process in world.processes.items():
        if not name.startswith("mdproxy") or process.frozen is not None:
            continue
        daemon = process.node.daemon
        gateway, registry = daemon.gateway, daemon.endpoints
        found += [f"{name}: call {call.id} of {call.service}" for call in gateway.dispatcher.calls]
        found += [
            f"{name}: {endpoint.address} {endpoint.in_flight}"
            for endpoint in registry.by_address.values()
            if endpoint.in_flight
        ]
        found += [
            f"{name}: {service_name} spilled"
            for service_name, load in registry.service_loads.items()
            if load.forwarded_now
        ]
        held = gateway.memory.total
        if held:
            found.append(f"{name}: {held} bytes held for clients")
        found += [
            f"{name}: queue {service_name}"
            for service_name, queue in gateway.admission.queues.items()
            if len(queue)
        ]
        found += [
            f"{name}: pending {address}"
            for address, link in gateway.peers.outgoing.items()
            if len(link.pending)
        ]
        found += [
            f"{name}: opening"
            for pool in gateway.dispatcher.local_calls.pools.values()
            if pool.opening
        ]
        late_timers = [
            timer
            for timer in daemon.reactor.timers
            if timer.callback is not None and timer.when > monotonic_us() + 3 * SECOND
        ]
        found += [f"{name}: timer {timer.callback}" for timer in late_timers]
    return found


async def send_call(world, at_host, **request):
    """Make one call over a connection of its own and return the exchange when it has ended."""
    caller = await world.caller(at_host)
    exchange = caller.ask(**request)
    await exchange.done.wait()
    return exchange


async def wait_until_done(calls):
    """Wait until all calls have ended, and for the gateways to release their resources."""
    for exchange in calls:
        await exchange.done.wait()
    await sleep_us(100 * MILLISECOND)


def set_rho(world, host, rho, name="desk"):
    """Set the load that a proxy assumes for a service of its own node."""
    world.daemon("mdproxy", host).endpoints.service_loads[name].rho = rho
