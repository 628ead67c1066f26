"""The endpoint contract: enrol, beat, leave, tokens, addresses that change hands, drains."""

from __future__ import annotations

import pytest
from facts import manifest
from mesh import answers, configured, hosts, serving
from returns.pipeline import is_successful

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run

GOOD = {"service": "desk", "address": "10.0.1.1:8000", "incarnation": "i", "capacity": 4}


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
def test_enrolment(change, status, code):
    async def scenario(world):
        await configured(world)
        host = hosts(world)[0]
        found, _, told = await world.http(
            host, "POST", f"{host}:7400", "/md/enrol", {**GOOD, **change}
        )
        assert (found, told.get("code")) == (status, code)
        other = hosts(world)[1]
        found, _, told = await world.http(other, "POST", f"{host}:7400", "/md/enrol", GOOD)
        assert (found, told["code"]) == (403, "not_local")

    run(scenario)


def test_a_silent_endpoint_is_gone_after_the_window_and_calls_go_elsewhere():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        world.kill(f"endpoint@{host}:8000")
        client = world.client(host)
        found = [await client.call("GET", "/balances/1") for _ in range(3)]
        assert all(is_successful(f) for f in found), found  # not-run at home, so spilled
        await sleep_us(2 * SECOND)
        assert not world.daemon("mdproxy", host).endpoints.by_address

    run(scenario)


def test_a_drain_ends_new_calls_at_home_and_from_neighbours_at_once():
    async def scenario(world):
        journal = []
        made = await serving(world, journal, took_us=300 * MILLISECOND)
        host = hosts(world)[0]
        client = world.client(host)
        results = []

        async def before():
            results.append(await client.call("GET", "/balances/before"))

        world.nursery.start_soon(before)
        await sleep_us(100 * MILLISECOND)
        world.nursery.start_soon(made[0].drain)
        await sleep_us(50 * MILLISECOND)
        at = monotonic_us()
        for number in range(4):
            for caller in hosts(world):
                found = await world.client(caller).call("GET", f"/balances/{number}")
                assert is_successful(found), found
        assert is_successful(results[0])  # the one under way was finished
        assert made[0].requests_in_flight == 0
        assert len(list(world.trace.events(402))) == 1
        assert monotonic_us() > at
        counts = world.daemon("mdproxy", host).forwarder.counts
        assert counts["rule.gone"] >= 4

    run(scenario)


def test_an_address_passed_to_another_service_never_gets_the_old_ones_calls():
    async def scenario(world):
        desk, paper = [], []
        await configured(world)
        host = hosts(world)[0]
        await world.endpoint(host, "desk", answers(journal=desk))
        client = world.client(host)
        for _ in range(3):
            assert is_successful(await client.call("GET", "/balances/1"))
        # the machine's next tenant takes the address while the proxy still holds connections
        world.kill(f"endpoint@{host}:8000")
        await world.endpoint(host, "paper", answers(journal=paper), wait=False)
        refused = [await client.call("GET", "/balances/1") for _ in range(5)]
        assert not any(is_successful(f) for f in refused)
        assert {f.failure().verdict.value for f in refused} == {"not-run"}
        await sleep_us(2 * SECOND)
        assert is_successful(await client.call("GET", "/statements/1"))
        assert [g.path for g in paper] == ["/statements/1"]
        assert len(desk) == 3

    run(scenario, application=("desk",))


def test_names_come_from_tokens_never_from_headers():
    async def scenario(world):
        journal = []
        made = await serving(world, journal)
        desk, paper = made
        host = paper.proxy.rpartition(":")[0]
        forged = [(b"MD-Caller", b"paper"), (b"md_caller", b"paper"), (b"X-Own", b"1")]
        status, _, told = await world.http(host, "GET", paper.proxy, "/balances/1", headers=forged)
        assert (status, told["caller"]) == (200, "guest")
        status, _, told = await world.http(host, "GET", paper.proxy, "/ledger/1", headers=forged)
        assert (status, told["code"]) == (403, "way_forbidden")
        found = await world.client(host, paper.token).call("GET", "/ledger/1")
        assert found.unwrap().body["caller"] == "paper"
        for token in (desk.token, paper.token[:-4] + "AAAA", "x"):  # another's, altered, nonsense
            found = (await world.client(host, token).call("GET", "/ledger/1")).failure()
            assert (found.code, found.verdict.value) == ("bad_token", "not-run")

    run(scenario, application=("desk", "paper"))


def test_a_token_ends_with_its_enrolment():
    async def scenario(world):
        made = await serving(world)
        paper = made[1]
        host, token = paper.proxy.rpartition(":")[0], paper.token
        world.kill(f"endpoint@{paper.address}")
        await world.endpoint(host, "desk", answers())
        found = (await world.client(host, token).call("GET", "/ledger/1")).failure()
        assert found.code == "bad_token"
        facts = {"token": token, "capacity": 4}
        status, _, told = await world.http(host, "POST", paper.proxy, "/md/beat", facts)
        assert (status, told["code"]) == (409, "superseded")

    run(scenario, application=("desk", "paper"))


def test_a_restarted_proxy_still_knows_its_endpoints_tokens():
    async def scenario(world):
        made = await serving(world)
        paper = made[1]
        host, token = paper.proxy.rpartition(":")[0], paper.token
        world.kill(f"mdproxy@{host}")
        await world.start("mdproxy", host)
        await world.eventually(lambda: not world.node("mdproxy", host).unready_reasons())
        found = await world.client(host, token).call("GET", "/ledger/1")
        assert found.unwrap().body["caller"] == "paper"
        await sleep_us(2 * SECOND)
        assert paper.token == token  # its beats were enough
        assert is_successful(await world.client(host, token).call("GET", "/ledger/1"))

    run(scenario, application=("desk", "paper"))


def test_endpoints_of_a_service_that_a_manifest_removed_are_left_alone():
    async def scenario(world):
        await serving(world)
        host = hosts(world)[0]
        facts = manifest(services=("desk",))
        facts["ways"] = [w for w in facts["ways"] if "paper" not in (w["service"], *w["callers"])]
        await world.configure(facts)
        await sleep_us(2 * SECOND)
        found = (await world.client(host).call("GET", "/statements/1")).failure()
        assert found.code == "way_unknown"
        assert not list(world.daemon("mdproxy", host).endpoints.by_address.values())

    run(scenario, application=("paper",))
