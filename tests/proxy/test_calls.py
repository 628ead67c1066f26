"""Refusals and verdicts: each code caused, each verdict compared with the endpoints' journals."""

from __future__ import annotations

import trio
from facts import budget, manifest, way
from mesh import answers, configured, counts, hosts, serving
from returns.pipeline import is_successful

from meadowdock.admin_http import Response
from meadowdock.client import Endpoint
from meadowdock.outcome import REJECTION_CODES
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator import run
from meadowdock.simulator.checkers import second_tries
from meadowdock.simulator.history import Asked, History


async def raw(world, method, path, body=None, headers=()):
    host = hosts(world)[0]
    status, lines, told = await world.http(host, method, f"{host}:7400", path, body, headers)
    return status, lines.get(b"md-verdict", b"").decode(), lines.get(b"retry-after"), told


def test_refusals_before_any_endpoint():
    async def scenario(world):
        journal = []
        await serving(world, journal)
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
            status, verdict, again, told = await raw(world, method, path, body, headers)
            assert (told["code"], status, verdict) == (
                code,
                REJECTION_CODES[code].status,
                "not-run",
            ), (
                path,
                told,
            )
            assert (again is not None) == bool(REJECTION_CODES[code].retry_after_us)
        assert journal == []

    run(scenario, application=("desk",))


def unfaithful(**reply):
    """An endpoint that does the work, then answers wrongly."""
    ran = []

    async def handle(got):
        ran.append(got.path)
        raise RuntimeError

    class Odd(Endpoint):
        pass

    Odd.table = type(Endpoint.table)()
    Odd.table.exact = dict(Endpoint.table.exact)

    @Odd.table.otherwise
    async def handle_request(self, request):
        ran.append(request.path)
        call = request.header(b"md-call").encode()
        lines = [(b"md-call", reply.get("call", call))]
        if "incarnation" in reply:
            lines.append((b"md-incarnation", reply["incarnation"]))
        return Response(reply.get("status", 200), reply.get("body", {"ok": True}), lines)

    return Odd, ran, handle


async def odd_endpoint(world, kind, handle):
    host = hosts(world)[0]
    made = await world.endpoint(host, "desk", handle, wait=False)
    made.app.table = kind.table
    await made.enrolled.wait()


GARBAGE = [
    {"body": b'{"half": '},
    {"body": b""},
    {"body": b'{"a": NaN}'},
    {"call": b"someone-elses"},
    {"incarnation": b"another"},
    {"status": 199},
]


def test_bad_answers_are_never_passed_on():
    for reply in GARBAGE:

        async def scenario(world, reply=reply):
            await configured(world)
            kind, ran, handle = unfaithful(**reply)
            await odd_endpoint(world, kind, handle)
            status, verdict, _, told = await raw(world, "POST", "/withdrawals", {"a": 1})
            assert (status, told["code"], verdict) == (502, "bad_answer", "may-have-run"), reply
            assert len(ran) == 1  # run-once: never sent again

        run(scenario, application=("desk",))


def test_a_lost_answer_is_may_have_run_and_only_safe_ways_are_tried_again():
    async def scenario(world):
        ran = []

        async def lose(got):
            ran.append(got.path)
            await sleep_us(10 * MILLISECOND)
            world.kill(f"endpoint@{hosts(world)[0]}:8000")
            await sleep_us(SECOND)

        await configured(world)
        await world.endpoint(hosts(world)[0], "desk", lose)
        journal = []
        await world.endpoint(hosts(world)[1], "desk", answers(journal=journal))
        await sleep_us(2 * SECOND)
        status, verdict, _, told = await raw(world, "POST", "/withdrawals", {"a": 1})
        assert (status, told["code"], verdict) == (502, "lost", "may-have-run")
        assert (len(ran), len(journal)) == (1, 0)

    run(scenario, application=("desk", "desk"))


def test_a_late_answer_is_may_have_run_by_the_endpoints_wait():
    async def scenario(world):
        facts = manifest(
            [way("w", "/withdrawals", methods=("POST",), repeat="once", budget="short")]
        )
        facts["budgets"].append(budget("short", endpoint=200_000))
        journal = []
        await configured(world, facts)
        await world.endpoint(hosts(world)[0], "desk", answers(SECOND, journal))
        at = monotonic_us()
        status, verdict, _, told = await raw(world, "POST", "/withdrawals", {"a": 1})
        assert (status, told["code"], verdict) == (504, "no_answer", "may-have-run")
        assert monotonic_us() - at < 250 * MILLISECOND
        # the connection of the late answer is not used again: the next caller gets its own
        status, verdict, _, told = await raw(world, "POST", "/withdrawals/2", {"a": 1})
        assert told["code"] == "no_answer"

    run(scenario, application=("desk",))


def test_a_shorter_due_is_kept():
    async def scenario(world):
        await configured(world)
        await world.endpoint(hosts(world)[0], "desk", answers(SECOND))
        at = monotonic_us()
        _, verdict, _, told = await raw(
            world, "GET", "/balances/1", headers=[(b"md-due", b"100000")]
        )
        assert (told["code"], verdict) == ("no_answer", "may-have-run")
        assert monotonic_us() - at < 150 * MILLISECOND

    run(scenario, application=("desk",))


def test_an_endpoint_that_says_not_run_is_taken_at_its_word():
    async def scenario(world):
        await configured(world)

        async def busy(got):
            return 503, {"code": "busy"}

        made = await world.endpoint(hosts(world)[0], "desk", busy)
        original = made.handle_request.__func__

        async def called(self, request):
            reply = await original(self, request)
            return Response(reply.status, reply.body, [*reply.headers, (b"md-verdict", b"not-run")])

        made.app.table = type(Endpoint.table)()
        made.app.table.exact, made.app.table.fallback = Endpoint.table.exact, called
        status, verdict, again, told = await raw(world, "POST", "/withdrawals", {"a": 1})
        assert (status, told["code"], verdict, again) == (503, "busy", "not-run", b"1")

    run(scenario, application=("desk",))


def test_keys_run_once_at_one_proxy():
    async def scenario(world):
        journal = []
        await serving(world, journal, took_us=50 * MILLISECOND)
        client = world.client(hosts(world)[0])
        found = {}

        async def send(name, body, key="k1"):
            found[name] = await client.call("POST", "/withdrawals", body, key=key)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "first", {"amount": 1})
            await sleep_us(20 * MILLISECOND)
            nursery.start_soon(send, "meanwhile", {"amount": 1})
        await send("after", {"amount": 1})
        await send("other body", {"amount": 2})
        assert found["meanwhile"].failure().code == "key_in_progress"
        assert found["after"].unwrap().body == found["first"].unwrap().body
        assert found["other body"].failure().code == "key_mismatch"
        assert len(journal) == 1

    run(scenario, application=("desk",))


def test_a_caller_that_hangs_up_cancels_only_what_has_not_started():
    async def scenario(world):
        journal = []
        await serving(world, journal, took_us=200 * MILLISECOND, capacity=1)
        client = world.client(hosts(world)[0])

        async def give_up(after_us):
            with trio.move_on_after(after_us / SECOND):
                await client.call("GET", "/balances/1")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(give_up, 50 * MILLISECOND)  # has started: runs to its end
            await sleep_us(20 * MILLISECOND)
            nursery.start_soon(give_up, 50 * MILLISECOND)  # waits for the slot: is dropped
        await sleep_us(SECOND)
        daemon = world.daemon("mdproxy", hosts(world)[0])
        assert len(journal) == 1
        assert len(daemon.forwarder.slab) == 0
        assert [e.in_flight for e in daemon.endpoints.by_address.values()] == [0]

    run(scenario, application=("desk",))


def test_second_tries_stay_below_one_in_five_while_a_whole_service_fails():
    async def scenario(world):
        ran = []

        async def garbage(got):
            ran.append(monotonic_us())
            return 200, b"garbage"

        await configured(world)
        for host in hosts(world):
            await world.endpoint(host, "desk", garbage)
        calls = 0
        clients = [world.client(h) for h in hosts(world)]
        for _ in range(400):
            for client in clients:
                world.nursery.start_soon(client.call, "GET", "/balances/1")
                calls += 1
            await sleep_us(30 * MILLISECOND)
        await sleep_us(2 * SECOND)
        assert len(ran) > calls
        starts = range(0, 2 * SECOND, 100 * MILLISECOND)
        windows = [sum(s <= at - ran[0] < s + 10 * SECOND for at in ran) for s in starts]
        firsts = 10 * SECOND * 3 // (30 * MILLISECOND)
        assert max(windows) > 1.1 * firsts  # second tries did happen
        assert max(windows) - firsts <= 0.2 * firsts + 36

    run(scenario, application=("desk", "desk", "desk"))


def test_a_spilled_call_is_never_spilled_again():
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
        total = {h: counts(world, h) for h in hosts(world)}
        assert sum(c.get("taken", 0) for c in total.values()) <= sum(
            c["spilled"] for c in total.values()
        )
        # a neighbour decides nothing: rules are counted only for calls that arrived there
        assert all(
            sum(v for k, v in c.items() if k.startswith("rule.")) <= 3 * c["calls"]
            for c in total.values()
        )
        assert sum(c["spilled"] for c in total.values()) > 0

    run(scenario, application=("desk", "desk", "desk"))


def test_a_neighbour_that_vanishes_with_a_call_leaves_it_may_have_run():
    async def scenario(world):
        await serving(world, took_us=SECOND)
        host, other = hosts(world)[0], hosts(world)[1]
        found = []

        async def call():
            found.append(await raw(world, "POST", "/withdrawals", {"a": 1}))

        world.nursery.start_soon(call)
        await sleep_us(100 * MILLISECOND)
        assert counts(world, other)["taken"] == 1
        world.kill(f"mdproxy@{other}")
        await sleep_us(SECOND)
        status, verdict, _, told = found[0]
        assert (status, told["code"], verdict) == (502, "lost", "may-have-run")
        assert host

    run(scenario, application=("paper", "desk"))


def test_a_silent_neighbour_is_left_by_the_due_and_the_call_is_may_have_run():
    async def scenario(world):
        await serving(world)
        host, other = hosts(world)
        assert is_successful(await world.client(host).call("GET", "/balances/1"))
        world.web.cut(host, other)
        status, verdict, _, told = await raw(world, "POST", "/withdrawals", {"a": 1})
        assert (status, told["code"], verdict) == (504, "no_answer", "may-have-run")

    run(scenario, application=("paper", "desk"))


def test_a_call_that_lay_in_a_buffer_past_its_due_does_not_run():
    """The neighbour stood still with the call in its socket buffer and goes on later."""

    async def scenario(world):
        journal = []
        await serving(world, journal)
        host, other = hosts(world)
        await raw(world, "GET", "/balances/0")  # the link is open
        world.web.cut(host, other)
        _, verdict, _, told = await raw(world, "POST", "/withdrawals", {"a": 1})
        assert (told["code"], verdict) == ("no_answer", "may-have-run")
        # the silent link was left, and another can't be opened: this one was surely not sent
        _, verdict, _, told = await raw(world, "POST", "/withdrawals", {"a": 1})
        assert (told["code"], verdict) == ("home_gone", "not-run")
        world.web.heal()
        await sleep_us(3 * SECOND)
        assert [got.path for got in journal] == ["/balances/0"]

    run(scenario, application=("paper", "desk"))


def test_a_cancel_that_comes_with_its_call_is_heard():
    async def scenario(world):
        journal = []
        await serving(world, journal)
        host, other = hosts(world)
        await raw(world, "GET", "/balances/0")
        world.web.cut(host, other)
        with trio.move_on_after(0.1):
            await raw(world, "POST", "/withdrawals", {"a": 1})
        await sleep_us(50 * MILLISECOND)  # long before the due
        world.web.heal()
        await sleep_us(SECOND)
        assert [got.path for got in journal] == ["/balances/0"]

    run(scenario, application=("paper", "desk"))


def test_second_tries_stay_bounded_while_proxies_are_killed_and_started_again_and_again():
    """A start brings no fresh reserve. Counted where messages leave, by the days' own check."""

    async def scenario(world):
        await configured(world)

        async def garbage(got):
            return 200, b"garbage"

        for host in hosts(world):
            await world.endpoint(host, "desk", garbage, wait=False)
        await sleep_us(SECOND)
        history = History(sendings=world.web.sendings)
        restarts = 0
        for turn in range(100):
            for host in hosts(world):
                uid = f"u{len(history.asked)}"
                history.asked.append(Asked(uid, host, "balances", "guest", monotonic_us()))
                world.nursery.start_soon(world.client(host).call, "GET", f"/balances/{uid}")
            await sleep_us(100 * MILLISECOND)
            if turn % 8 == 7:
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
    assert len(calls) > len(set(calls))  # second tries did happen
