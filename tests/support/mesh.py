"""Helpers for a simulated fleet whose configuration is a manifest."""

from __future__ import annotations

from manifests import manifest

from meadowdock.runtime import MILLISECOND, sleep_us


def request_handler(took_us=10 * MILLISECOND, journal=None):
    """Return an endpoint's handler that takes a fixed time and appends each request to journal."""

    async def handle(request):
        await sleep_us(took_us)
        if journal is not None:
            journal.append(request)
        return 200, {"path": request.path, "caller": request.caller}

    return handle


async def start_configured(world, configuration=None):
    """Start all daemons and put a manifest in force on every proxy."""
    await world.start_all()
    for host in world.core:
        await world.eventually(lambda h=host: not world.node("mdconf", h).unready_reasons())
    await world.configure(configuration or manifest())
    for host in world.application:
        await world.eventually(lambda h=host: not world.node("mdproxy", h).unready_reasons())


async def serving(world, journal=None, configuration=None, took_us=10 * MILLISECOND, **endpoint):
    """Start a configured fleet with an endpoint at each proxy that has a service.

    Wait until the load list of each proxy has all endpoints, and return the endpoints.
    """
    await start_configured(world, configuration)
    endpoints = [
        await world.endpoint(host, service, request_handler(took_us, journal), **endpoint)
        for host, service in world.application.items()
        if service
    ]
    services = {service for service in world.application.values() if service}

    def all_are_listed():
        return all(
            services <= set(world.daemon("mdproxy", host).forwarder.nodes_by_service)
            and sum(map(len, world.daemon("mdproxy", host).forwarder.nodes_by_service.values()))
            == len(endpoints)
            for host in world.application
        )

    await world.eventually(all_are_listed)
    return endpoints


def counts(world, host):
    """Return the call counters of a proxy."""
    return world.daemon("mdproxy", host).forwarder.counts


def hosts(world):
    return list(world.application)


async def restart_first_core_with_blank_disk(world):
    """Restart the mdconf of the first core machine with a blank disk, and return its host."""
    host = world.core[0]
    world.power_off("mdconf", host)
    world.lose_disk("mdconf", host)
    await world.start("mdconf", host)
    return host
