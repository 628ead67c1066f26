"""Rejections and verdicts of calls.

Each rejection code is provoked, and each verdict is compared with what the endpoints executed.
"""

from __future__ import annotations

import trio
from manifests import budget, manifest, manifest_route
from mesh import counts, hosts, request_handler, serving, start_configured
from returns.pipeline import is_successful

from meadowdock.admin_http import Response
from meadowdock.client import Endpoint
from meadowdock.outcome import REJECTION_CODES
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run
from meadowdock.simulator.checkers import second_tries
from meadowdock.simulator.history import Asked, History


async def request_first_proxy(world, method, path, body=None, headers=()):
    """Return (status, verdict, retry-after, body) of the first proxy's response."""
    host = hosts(world)[0]
    status, response_headers, content = await world.http(
        host, method, f"{host}:7400", path, body, headers
    )
    return (
        status,
        response_headers.get(b"md-verdict", b"").decode(),
        response_headers.get(b"retry-after"),
        content,
    )


def test_requests_rejected_before_they_reach_an_endpoint():
    async def scenario(world):
        executed = []
        await serving(world, executed)
        cases = [
            ("GET", "/nowhere", None, (), "way_unknown"),
            ("POST", "/balances/1", {"a": 1}, (), "way_forbidden"),
            ("GET", "/balances/%2e%2e/ledger", None, (), "malformed"),
            ("POST", "/withdrawals", b"{", (), "malformed"),
            ("POST", "/withdrawals", b'"' + b"x" * 300_000 + b'"', (), "too_large"),
            ("GET", "/balances/1", None, [(b"md-due", b"soon")], "malformed"),
            ("POST", "/withdrawals", None, [(b"md-key", b"a b")], "malformed"),
            ("GET", "/balances/1", None, [(b"md-due", b"0")], "due_passed"),
            ("GET", "/balances/1", None, [(b"md-token", b"zz")], "bad_token"),
        ]
        for method, path, body, headers, code in cases:
            status, verdict, retry_after, content = await request_first_proxy(
                world, method, path, body, headers
            )
            assert (content["code"], status, verdict) == (
                code,
                REJECTION_CODES[code].status,
                "not-run",
            ), (
                path,
                content,
            )
            assert (retry_after is not None) == bool(REJECTION_CODES[code].retry_after_us)
        assert executed == []

    run(scenario, application=("desk",))


def faulty_endpoint(**response):
    """Return an endpoint class that runs a request and responds wrongly, and the paths that ran."""
    executed_paths = []

    async def handle(request):
        executed_paths.append(request.path)
        raise RuntimeError

    class FaultyEndpoint(Endpoint):
        pass

    FaultyEndpoint.table = type(Endpoint.table)()
    FaultyEndpoint.table.exact = dict(Endpoint.table.exact)

    @FaultyEndpoint.table.set_fallback
    async def handle_request(self, request):
        executed_paths.append(request.path)
        call_id = request.header(b"md-call").encode()
        headers = [(b"md-call", response.get("call", call_id))]
        if "incarnation" in response:
            headers.append((b"md-incarnation", response["incarnation"]))
        return Response(response.get("status", 200), response.get("body", {"ok": True}), headers)

    return FaultyEndpoint, executed_paths, handle


async def start_faulty_endpoint(world, endpoint_class, handle):
    host = hosts(world)[0]
    endpoint = await world.endpoint(host, "desk", handle, wait=False)
    endpoint.app.table = endpoint_class.table
    await endpoint.enrolled.wait()


INVALID_RESPONSES = [
    {"body": b'{"half": '},
    {"body": b""},
    {"body": b'{"a": NaN}'},
    {"call": b"someone-elses"},
    {"incarnation": b"another"},
    {"status": 199},
]


def test_invalid_responses_are_never_passed_on():
    for response in INVALID_RESPONSES:

        async def scenario(world, response=response):
            await start_configured(world)
            endpoint_class, executed_paths, handle = faulty_endpoint(**response)
            await start_faulty_endpoint(world, endpoint_class, handle)
            status, verdict, _, content = await request_first_proxy(
                world, "POST", "/withdrawals", {"a": 1}
            )
            assert (status, content["code"], verdict) == (502, "bad_answer", "may-have-run"), (
                response
            )
            assert len(executed_paths) == 1  # not retried, because the route is not idempotent

        run(scenario, application=("desk",))


def test_a_lost_response_is_may_have_run_and_only_idempotent_routes_are_retried():
    async def scenario(world):
        lost_paths = []

        async def kill_endpoint(request):
            lost_paths.append(request.path)
            await sleep_us(10 * MILLISECOND)
            world.kill(f"endpoint@{hosts(world)[0]}:8000")
            await sleep_us(SECOND)

        await start_configured(world)
        await world.endpoint(hosts(world)[0], "desk", kill_endpoint)
        executed = []
        await world.endpoint(hosts(world)[1], "desk", request_handler(journal=executed))
        await sleep_us(2 * SECOND)
        status, verdict, _, content = await request_first_proxy(
            world, "POST", "/withdrawals", {"a": 1}
        )
        assert (status, content["code"], verdict) == (502, "lost", "may-have-run")
        assert (len(lost_paths), len(executed)) == (1, 0)

    run(scenario, application=("desk", "desk"))


def test_a_late_response_is_may_have_run_after_the_endpoint_timeout():
    async def scenario(world):
        configuration = manifest(
            [manifest_route("w", "/withdrawals", methods=("POST",), repeat="once", budget="short")]
        )
        configuration["budgets"].append(budget("short", endpoint=200_000))
        executed = []
        await start_configured(world, configuration)
        await world.endpoint(hosts(world)[0], "desk", request_handler(SECOND, executed))
        started_at = monotonic_us()
        status, verdict, _, content = await request_first_proxy(
            world, "POST", "/withdrawals", {"a": 1}
        )
        assert (status, content["code"], verdict) == (504, "no_answer", "may-have-run")
        assert monotonic_us() - started_at < 250 * MILLISECOND
        # The connection of the late response isn't reused: the next caller can't get that response.
        status, verdict, _, content = await request_first_proxy(
            world, "POST", "/withdrawals/2", {"a": 1}
        )
        assert content["code"] == "no_answer"

    run(scenario, application=("desk",))


def test_a_shorter_deadline_of_the_caller_is_kept():
    async def scenario(world):
        await start_configured(world)
        await world.endpoint(hosts(world)[0], "desk", request_handler(SECOND))
        started_at = monotonic_us()
        _, verdict, _, content = await request_first_proxy(
            world, "GET", "/balances/1", headers=[(b"md-due", b"100000")]
        )
        assert (content["code"], verdict) == ("no_answer", "may-have-run")
        assert monotonic_us() - started_at < 150 * MILLISECOND

    run(scenario, application=("desk",))


def test_an_endpoint_that_declines_a_call_makes_it_not_run():
    async def scenario(world):
        await start_configured(world)

        async def busy(request):
            return 503, {"code": "busy"}

        endpoint = await world.endpoint(hosts(world)[0], "desk", busy)
        original = endpoint.handle_request.__func__

        async def declined(self, request):
            response = await original(self, request)
            return Response(
                response.status, response.body, [*response.headers, (b"md-verdict", b"not-run")]
            )

        endpoint.app.table = type(Endpoint.table)()
        endpoint.app.table.exact, endpoint.app.table.fallback = Endpoint.table.exact, declined
        status, verdict, retry_after, content = await request_first_proxy(
            world, "POST", "/withdrawals", {"a": 1}
        )
        assert (status, content["code"], verdict, retry_after) == (503, "busy", "not-run", b"1")

    run(scenario, application=("desk",))


def test_a_key_runs_once_at_one_proxy():
    async def scenario(world):
        executed = []
        await serving(world, executed, took_us=50 * MILLISECOND)
        client = world.client(hosts(world)[0])
        outcomes = {}

        async def send(name, body, key="k1"):
            outcomes[name] = await client.call("POST", "/withdrawals", body, key=key)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "first", {"amount": 1})
            await sleep_us(20 * MILLISECOND)
            nursery.start_soon(send, "meanwhile", {"amount": 1})
        await send("after", {"amount": 1})
        await send("other body", {"amount": 2})
        assert outcomes["meanwhile"].failure().code == "key_in_progress"
        assert outcomes["after"].unwrap().body == outcomes["first"].unwrap().body
        assert outcomes["other body"].failure().code == "key_mismatch"
        assert len(executed) == 1

    run(scenario, application=("desk",))


def test_a_caller_that_disconnects_cancels_only_what_has_not_started():
    async def scenario(world):
        executed = []
        await serving(world, executed, took_us=200 * MILLISECOND, capacity=1)
        client = world.client(hosts(world)[0])

        async def call_and_disconnect(after_us):
            with trio.move_on_after(after_us / SECOND):
                await client.call("GET", "/balances/1")

        async with trio.open_nursery() as nursery:
            # The first call has started when its caller disconnects, so it runs to its end.
            nursery.start_soon(call_and_disconnect, 50 * MILLISECOND)
            await sleep_us(20 * MILLISECOND)
            # The second still waits for the slot, so it is cancelled.
            nursery.start_soon(call_and_disconnect, 50 * MILLISECOND)
        await sleep_us(SECOND)
        daemon = world.daemon("mdproxy", hosts(world)[0])
        assert len(executed) == 1
        assert len(daemon.forwarder.slab) == 0
        assert [e.in_flight for e in daemon.endpoints.by_address.values()] == [0]

    run(scenario, application=("desk",))


def test_retries_stay_below_a_fifth_of_the_calls_while_all_endpoints_fail():
    async def scenario(world):
        attempt_times = []

        async def respond_invalidly(request):
            attempt_times.append(monotonic_us())
            return 200, b"garbage"

        await start_configured(world)
        for host in hosts(world):
            await world.endpoint(host, "desk", respond_invalidly)
        calls = 0
        clients = [world.client(h) for h in hosts(world)]
        for _ in range(400):
            for client in clients:
                world.nursery.start_soon(client.call, "GET", "/balances/1")
                calls += 1
            await sleep_us(30 * MILLISECOND)
        await sleep_us(2 * SECOND)
        assert len(attempt_times) > calls
        window_starts = range(0, 2 * SECOND, 100 * MILLISECOND)
        attempts_per_window = [
            sum(start <= at - attempt_times[0] < start + 10 * SECOND for at in attempt_times)
            for start in window_starts
        ]
        calls_per_window = 10 * SECOND * 3 // (30 * MILLISECOND)
        assert max(attempts_per_window) > 1.1 * calls_per_window  # retries did happen
        assert max(attempts_per_window) - calls_per_window <= 0.2 * calls_per_window + 36

    run(scenario, application=("desk", "desk", "desk"))


def test_a_forwarded_call_is_never_forwarded_again():
    async def scenario(world):
        await serving(world, took_us=300 * MILLISECOND, capacity=1)
        clients = [world.client(h) for h in hosts(world)]

        async def call(client):
            await client.call("GET", "/balances/1")

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                for client in clients:
                    nursery.start_soon(call, client)
                await sleep_us(50 * MILLISECOND)
        counts_by_host = {h: counts(world, h) for h in hosts(world)}
        assert sum(c.get("taken", 0) for c in counts_by_host.values()) <= sum(
            c["spilled"] for c in counts_by_host.values()
        )
        # A peer makes no placement decision: rules are counted only for calls that arrived there.
        assert all(
            sum(v for k, v in c.items() if k.startswith("rule.")) <= 3 * c["calls"]
            for c in counts_by_host.values()
        )
        assert sum(c["spilled"] for c in counts_by_host.values()) > 0

    run(scenario, application=("desk", "desk", "desk"))


def test_a_call_at_a_peer_that_is_killed_is_may_have_run():
    async def scenario(world):
        await serving(world, took_us=SECOND)
        host, peer = hosts(world)[0], hosts(world)[1]
        responses = []

        async def call():
            responses.append(await request_first_proxy(world, "POST", "/withdrawals", {"a": 1}))

        world.nursery.start_soon(call)
        await sleep_us(100 * MILLISECOND)
        assert counts(world, peer)["taken"] == 1
        world.kill(f"mdproxy@{peer}")
        await sleep_us(SECOND)
        status, verdict, _, content = responses[0]
        assert (status, content["code"], verdict) == (502, "lost", "may-have-run")
        assert host

    run(scenario, application=("paper", "desk"))


def test_a_call_at_a_silent_peer_is_may_have_run_at_its_deadline():
    async def scenario(world):
        await serving(world)
        host, peer = hosts(world)
        assert is_successful(await world.client(host).call("GET", "/balances/1"))
        world.web.cut(host, peer)
        status, verdict, _, content = await request_first_proxy(
            world, "POST", "/withdrawals", {"a": 1}
        )
        assert (status, content["code"], verdict) == (504, "no_answer", "may-have-run")

    run(scenario, application=("paper", "desk"))


def test_a_call_that_stayed_in_a_buffer_past_its_deadline_does_not_run():
    """The peer was unreachable while the call was in the socket buffer, and receives it later."""

    async def scenario(world):
        executed = []
        await serving(world, executed)
        host, peer = hosts(world)
        await request_first_proxy(world, "GET", "/balances/0")  # opens the connection to the peer
        world.web.cut(host, peer)
        _, verdict, _, content = await request_first_proxy(world, "POST", "/withdrawals", {"a": 1})
        assert (content["code"], verdict) == ("no_answer", "may-have-run")
        # The silent connection was closed, and no other can be opened: this call was not sent.
        _, verdict, _, content = await request_first_proxy(world, "POST", "/withdrawals", {"a": 1})
        assert (content["code"], verdict) == ("home_gone", "not-run")
        world.web.heal()
        await sleep_us(3 * SECOND)
        assert [request.path for request in executed] == ["/balances/0"]

    run(scenario, application=("paper", "desk"))


def test_a_cancel_that_arrives_together_with_its_call_takes_effect():
    async def scenario(world):
        executed = []
        await serving(world, executed)
        host, peer = hosts(world)
        await request_first_proxy(world, "GET", "/balances/0")
        world.web.cut(host, peer)
        with trio.move_on_after(0.1):
            await request_first_proxy(world, "POST", "/withdrawals", {"a": 1})
        await sleep_us(50 * MILLISECOND)  # long before the deadline
        world.web.heal()
        await sleep_us(SECOND)
        assert [request.path for request in executed] == ["/balances/0"]

    run(scenario, application=("paper", "desk"))


def test_retries_stay_bounded_while_proxies_are_killed_and_restarted():
    """A restarted proxy has no fresh reserve of retries.

    The attempts are counted where messages leave the processes, by the checker of the simulated
    days.
    """

    async def scenario(world):
        await start_configured(world)

        async def respond_invalidly(request):
            return 200, b"garbage"

        for host in hosts(world):
            await world.endpoint(host, "desk", respond_invalidly, wait=False)
        await sleep_us(SECOND)
        history = History(sendings=world.web.sendings)
        restarts = 0
        for round_index in range(100):
            for host in hosts(world):
                uid = f"u{len(history.asked)}"
                history.asked.append(Asked(uid, host, "balances", "guest", monotonic_us()))
                world.nursery.start_soon(world.client(host).call, "GET", f"/balances/{uid}")
            await sleep_us(100 * MILLISECOND)
            if round_index % 8 == 7:
                host = hosts(world)[restarts % 3]
                world.kill(f"mdproxy@{host}")
                world.nursery.start_soon(world.start, "mdproxy", host)
                restarts += 1
        await sleep_us(2 * SECOND)
        assert restarts == 12
        assert len(history.sendings) > 150
        assert list(second_tries(history)) == []
        return history.sendings

    sent = run(scenario, application=("desk", "desk", "desk"))
    calls = [call for _, kind, call in sent if kind == "endpoint"]
    assert len(calls) > len(set(calls))  # retries did happen
