"""Helpers over the simulated world."""

from __future__ import annotations

from manifests import manifest

from meadowdock.runtime import MILLISECOND, sleep_us


def request_handler(took_us=10 * MILLISECOND, journal=None):
    async def handle(got):
        await sleep_us(took_us)
        if journal is not None:
            journal.append(got)
        return 200, {"path": got.path, "caller": got.caller}

    return handle


async def start_configured(world, facts=None):
    """All daemons up, a manifest in force on every proxy."""
    await world.start_all()
    for host in world.core:
        await world.eventually(lambda h=host: not world.node("mdconf", h).unready_reasons())
    await world.configure(facts or manifest())
    for host in world.application:
        await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())


async def serving(world, journal=None, facts=None, took_us=10 * MILLISECOND, **endpoint):
    """Configured, with an endpoint beside each proxy that has a service, and a load list out."""
    await start_configured(world, facts)
    made = [
        await world.endpoint(host, service, request_handler(took_us, journal), **endpoint)
        for host, service in world.application.items()
        if service
    ]
    services = {s for s in world.application.values() if s}

    def listed():
        return all(
            services <= set(world.daemon("mdproxy", h).forwarder.nodes_by_service)
            and sum(map(len, world.daemon("mdproxy", h).forwarder.nodes_by_service.values()))
            == len(made)
            for h in world.application
        )

    await world.eventually(listed)
    return made


def counts(world, host):
    return world.daemon("mdproxy", host).forwarder.counts


def hosts(world):
    return list(world.application)


async def restart_first_core_with_blank_disk(world):
    """The first core machine's disk is lost and its mdconf starts on a new one."""
    host = world.core[0]
    world.power_off("mdconf", host)
    world.lose_disk("mdconf", host)
    await world.start("mdconf", host)
    return host
