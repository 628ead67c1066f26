"""The endpoint contract: registration, heartbeats, tokens, reused addresses and draining."""

from __future__ import annotations

import pytest
from manifests import manifest
from mesh import hosts, request_handler, serving, start_configured
from returns.pipeline import is_successful

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run

VALID = {"service": "desk", "address": "10.0.1.1:8000", "incarnation": "i", "capacity": 4}


@pytest.mark.parametrize(
    ("change", "status", "code"),
    [
        ({}, 200, None),
        ({"service": "unknown"}, 404, "service_unknown"),
        ({"address": "10.0.1.2:8000"}, 403, "not_local"),
        ({"address": "example:8000"}, 400, "malformed"),
        ({"capacity": 0}, 400, "malformed"),
        ({"capacity": True}, 400, "malformed"),
        ({"incarnation": "a b"}, 400, "malformed"),
        ({"service": None}, 400, "malformed"),
    ],
)
def test_registration_checks_fields_and_addresses(change, status, code):
    async def scenario(world):
        await start_configured(world)
        host = hosts(world)[0]
        response_status, _, content = await world.http(
            host, "POST", f"{host}:7400", "/md/enrol", {**VALID, **change}
        )
        assert (response_status, content.get("code")) == (status, code)
        other = hosts(world)[1]
        response_status, _, content = await world.http(
            other, "POST", f"{host}:7400", "/md/enrol", VALID
        )
        assert (response_status, content["code"]) == (403, "not_local")

    run(scenario)


def test_a_silent_endpoint_is_removed_and_calls_go_elsewhere():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        world.kill(f"endpoint@{host}:8000")
        client = world.client(host)
        outcomes = [await client.call("GET", "/balances/1") for _ in range(3)]
        # They did not run at the local endpoint, so they were forwarded to a peer.
        assert all(is_successful(outcome) for outcome in outcomes), outcomes
        await sleep_us(2 * SECOND)
        assert not world.daemon("mdproxy", host).endpoints.by_address

    run(scenario)


def test_a_draining_endpoint_gets_no_new_calls_from_its_proxy_or_from_peers():
    async def scenario(world):
        executed = []
        endpoints = await serving(world, executed, took_us=300 * MILLISECOND)
        host = hosts(world)[0]
        client = world.client(host)
        outcomes_before = []

        async def call_before_the_drain():
            outcomes_before.append(await client.call("GET", "/balances/before"))

        world.nursery.start_soon(call_before_the_drain)
        await sleep_us(100 * MILLISECOND)
        world.nursery.start_soon(endpoints[0].drain)
        await sleep_us(50 * MILLISECOND)
        calls_started_at = monotonic_us()
        for number in range(4):
            for caller in hosts(world):
                outcome = await world.client(caller).call("GET", f"/balances/{number}")
                assert is_successful(outcome), outcome
        assert is_successful(outcomes_before[0])  # the call in flight was completed
        assert endpoints[0].requests_in_flight == 0
        assert len(list(world.trace.events(402))) == 1
        assert monotonic_us() > calls_started_at
        counts = world.daemon("mdproxy", host).forwarder.counts
        assert counts["rule.gone"] >= 4

    run(scenario)


def test_an_address_reused_by_another_service_never_gets_the_former_ones_calls():
    async def scenario(world):
        run_by_desk, run_by_paper = [], []
        await start_configured(world)
        host = hosts(world)[0]
        await world.endpoint(host, "desk", request_handler(journal=run_by_desk))
        client = world.client(host)
        for _ in range(3):
            assert is_successful(await client.call("GET", "/balances/1"))
        # The next process on the machine takes the address while the proxy still has connections.
        world.kill(f"endpoint@{host}:8000")
        await world.endpoint(host, "paper", request_handler(journal=run_by_paper), wait=False)
        rejected = [await client.call("GET", "/balances/1") for _ in range(5)]
        assert not any(is_successful(outcome) for outcome in rejected)
        assert {outcome.failure().verdict.value for outcome in rejected} == {"not-run"}
        await sleep_us(2 * SECOND)
        assert is_successful(await client.call("GET", "/statements/1"))
        assert [request.path for request in run_by_paper] == ["/statements/1"]
        assert len(run_by_desk) == 3

    run(scenario, application=("desk",))


def test_callers_are_identified_by_tokens_never_by_headers():
    async def scenario(world):
        executed = []
        endpoints = await serving(world, executed)
        desk, paper = endpoints
        host = paper.proxy.rpartition(":")[0]
        forged = [(b"MD-Caller", b"paper"), (b"md_caller", b"paper"), (b"X-Own", b"1")]
        status, _, content = await world.http(
            host, "GET", paper.proxy, "/balances/1", headers=forged
        )
        assert (status, content["caller"]) == (200, "guest")
        status, _, content = await world.http(host, "GET", paper.proxy, "/ledger/1", headers=forged)
        assert (status, content["code"]) == (403, "way_forbidden")
        outcome = await world.client(host, paper.token).call("GET", "/ledger/1")
        assert outcome.unwrap().body["caller"] == "paper"
        # A token of another service, an altered one, and a malformed one.
        for token in (desk.token, paper.token[:-4] + "AAAA", "x"):
            outcome = (await world.client(host, token).call("GET", "/ledger/1")).failure()
            assert (outcome.code, outcome.verdict.value) == ("bad_token", "not-run")

    run(scenario, application=("desk", "paper"))


def test_a_token_expires_when_another_endpoint_takes_the_address():
    async def scenario(world):
        endpoints = await serving(world)
        paper = endpoints[1]
        host, token = paper.proxy.rpartition(":")[0], paper.token
        world.kill(f"endpoint@{paper.address}")
        await world.endpoint(host, "desk", request_handler())
        rejected = (await world.client(host, token).call("GET", "/ledger/1")).failure()
        assert rejected.code == "bad_token"
        heartbeat = {"token": token, "capacity": 4}
        status, _, content = await world.http(host, "POST", paper.proxy, "/md/beat", heartbeat)
        assert (status, content["code"]) == (409, "superseded")

    run(scenario, application=("desk", "paper"))


def test_a_restarted_proxy_still_accepts_its_endpoints_tokens():
    async def scenario(world):
        endpoints = await serving(world)
        paper = endpoints[1]
        host, token = paper.proxy.rpartition(":")[0], paper.token
        world.kill(f"mdproxy@{host}")
        await world.start("mdproxy", host)
        await world.eventually(lambda: not world.node("mdproxy", host).unready_reasons())
        outcome = await world.client(host, token).call("GET", "/ledger/1")
        assert outcome.unwrap().body["caller"] == "paper"
        await sleep_us(2 * SECOND)
        assert paper.token == token  # heartbeats with the old token were accepted
        assert is_successful(await world.client(host, token).call("GET", "/ledger/1"))

    run(scenario, application=("desk", "paper"))


def test_endpoints_of_a_removed_service_get_no_calls_and_are_removed():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        configuration = manifest(services=("desk",))
        configuration["ways"] = [
            w for w in configuration["ways"] if "paper" not in (w["service"], *w["callers"])
        ]
        await world.configure(configuration)
        await sleep_us(2 * SECOND)
        rejected = (await world.client(host).call("GET", "/statements/1")).failure()
        assert rejected.code == "way_unknown"
        assert not list(world.daemon("mdproxy", host).endpoints.by_address.values())

    run(scenario, application=("paper",))
