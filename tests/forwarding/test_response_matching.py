"""Which answer goes to which call, and what is sent again: every link, under resets, silences, late
and second answers, and reuse of addresses, ports and numbers. The ledger checks each run's end."""

from __future__ import annotations

import pytest
import trio
from gates import SEEDS, gated, gateway_of, send_call, wait_until_done
from item_builders import route
from retry_budgets import RETRY_BUDGET, hosts, wait_for_retry_reserve

from meadowdock.forwarding.peer_frames import CANCEL
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us
from meadowdock.simulator.standin import FAULTS
from meadowdock.simulator.world import World

ID = b"md-call"


def answering(end, answer):
    """The endpoint's answers are sent by answer(job, ran, data)."""
    end.answer_of = lambda job, ran, status: answer(job, ran, end.complete_response(ran, status))


def link_of(world, local, peer):
    gate = gateway_of(world, local)
    return gate.peers.link(f"{peer}:{gate.peers.link_port}")


async def ready_link(world, local, peer):
    link_of(world, local, peer)
    await world.eventually(lambda: link_of(world, local, peer).ready)
    return link_of(world, local, peer)


async def once_each(caller, count):
    """Calls that must run once only, one after another on one connection."""
    exchange = []
    for n in range(count):
        exchange.append(caller.ask(b"/once/%d" % n, b"POST", body=b"%d" % n))
        await exchange[-1].done.wait()
    return exchange


# ---------------------------------------------------------------- gate to endpoint


@pytest.mark.parametrize("others", (0, 1, 2, 5, 31))
@pytest.mark.parametrize("torn", (0, 7))
def test_a_second_answer_any_number_of_answers_later_is_passed_over(others, torn):
    async def scenario(world):
        end, answers = world.ends[hosts(world)[0]], []

        def answer(job, ran, data):
            answers.append(data)
            if len(answers) == 1 + others:
                job.conn.again = answers[0]
            job.conn.say(data)

        answering(end, answer)
        world.web.tear = torn
        exchange = await once_each(await world.caller(hosts(world)[0]), others + 3)
        assert [m.status for m in exchange] == [200] * len(exchange)
        assert len(end.conns) == 1

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("status", (200, 421, 429, 503))
def test_a_second_answer_without_an_id_answers_nobody_and_promises_nothing(status):
    """In the place of the next answer it would be taken for that call's; the call runs all the
    same, so it is not sent again and no promise is made."""

    async def scenario(world):
        end, late = world.ends[hosts(world)[0]], []

        def answer(job, ran, data):
            if not late:
                late.append(ran.id)
                lines = [] if status == 200 else [(b"md-not-run", b"1")]
                lines.append((b"md-stamp", b"x"))
                job.conn.again = end.answer(status, lines, b"of an earlier call")
            job.conn.say(data)

        answering(end, answer)
        first, second = await once_each(await world.caller(hosts(world)[0]), 2)
        await sleep_us(SECOND)
        assert (first.status, second.status) == (200, 502)
        assert world.request_audit.arrivals(second.id) == 1
        assert (await send_call(world, hosts(world)[0])).status == 200

    gated(scenario, application=("desk", "desk"), tries=RETRY_BUDGET)


def test_an_endpoint_that_turns_a_first_call_away_without_an_id_is_believed():
    """Nobody was on that connection before, so the answer can't be another's."""

    async def scenario(world):
        first = hosts(world)[0]
        end = world.ends[first]

        async def away(job):
            await sleep_us(1)
            job.conn.say(end.answer(503, [(b"md-not-run", b"1")], b"full"))

        end.turn_away = lambda job, status: (end.nursery.start_soon(away, job), job)[1]
        end.faults["*"] = ["full"]
        exchange = await send_call(world, first, target=b"/once/x", method=b"POST")
        assert exchange.status == 200 and world.request_audit.arrivals(exchange.id) == 2

    gated(scenario, application=("desk", "desk"), tries=RETRY_BUDGET)


@pytest.mark.parametrize("own_last", (True, False))
def test_an_answer_that_names_two_calls_is_nobodys(own_last):
    async def scenario(world):
        end = world.ends[hosts(world)[0]]

        def answer(job, ran, data):
            own, other = b"%s: %s" % (ID, ran.id), b"%s: another" % ID
            both = (other, own) if own_last else (own, other)
            job.conn.say(data.replace(own, b"\r\n".join(both)))

        answering(end, answer)
        exchange = await send_call(world, hosts(world)[0], target=b"/once/x", method=b"POST")
        assert exchange.status == 502

    gated(scenario, application=("desk",))


def test_an_answer_that_names_its_call_twice_is_its_own():
    async def scenario(world):
        end = world.ends[hosts(world)[0]]
        line = lambda ran: b"%s: %s" % (ID, ran.id)  # noqa: E731
        answering(
            end,
            lambda job, ran, data: job.conn.say(
                data.replace(line(ran), line(ran) + b"\r\n" + line(ran))
            ),
        )
        assert (await send_call(world, hosts(world)[0])).status == 200

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("size", (10, 900_000))
def test_a_call_of_which_a_part_was_written_is_sent_nowhere_else(size):
    """Whether the endpoint's kernel took all of it or its beginning, a reset leaves it unknown."""

    async def scenario(world):
        await wait_for_retry_reserve(world)
        first, second = hosts(world)
        end = world.ends[first]
        assert (await send_call(world, first)).status == 200  # a connection is there
        end.process.freeze()
        caller = await world.caller(first)
        exchange = caller.ask(b"/once/x", b"POST", body=b"x" * size, due_ms=4000)
        await sleep_us(300 * MILLISECOND)
        for wire in list(world.web.ends):
            if wire.here == wire.peer == first and wire.wires is end.wires:
                wire.break_now()
                wire.other.break_now()
        await wait_until_done([exchange])
        end.process.wake()
        await sleep_us(SECOND)
        assert exchange.status == 502
        assert exchange.id not in [ran.id for ran in world.ends[second].journal]

    gated(scenario, application=("desk", "desk"), tries=RETRY_BUDGET)


def test_after_a_run_that_may_have_been_a_rejection_is_no_promise():
    async def scenario(world):
        await wait_for_retry_reserve(world)
        left = ["reset"]
        for end in world.ends.values():
            end.fault_of = lambda id: left.pop() if left else "full"
        exchange = await send_call(world, hosts(world)[0])
        assert exchange.status == 502 and len(world.request_audit.runs(exchange.id)) == 1

    gated(scenario, application=("desk", "desk"), tries=RETRY_BUDGET)


# ---------------------------------------------------------------- gate to gate


@pytest.mark.parametrize("due_ms", (1000, 4000))
@pytest.mark.parametrize("still_ms", (1500, 3000))
@pytest.mark.parametrize("seed", SEEDS)
def test_a_call_at_a_silent_gate_is_given_to_nobody_else(due_ms, still_ms, seed):
    """Also not when that gate goes on and finds the call in its buffer."""

    async def scenario(world):
        await wait_for_retry_reserve(world)
        local, bad, good = hosts(world)
        await ready_link(world, local, bad)
        await ready_link(world, local, good)
        proxy = world.processes[f"mdproxy@{bad}"]
        proxy.freeze()
        callers = [await world.caller(local) for _ in range(6)]
        calls = [c.ask(b"/once/%d" % n, b"POST", due_ms=due_ms) for n, c in enumerate(callers)]
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200, 502}
        await sleep_us(still_ms * MILLISECOND)
        proxy.wake()
        await sleep_us(3 * SECOND)
        for exchange in calls:
            assert world.request_audit.arrivals(exchange.id) <= 1
            if exchange.status == 502:  # its time was over, or its link, before that gate went on
                assert not [r for r in world.ends[good].journal if r.id == exchange.id]
            for ran in world.request_audit.runs(exchange.id):
                assert ran.begun <= exchange.at + due_ms * MILLISECOND

    gated(
        scenario, seed, application=("", "desk", "desk"), tries=RETRY_BUDGET, endpoint={"slots": 20}
    )


def test_a_call_given_up_before_its_link_was_ready_never_leaves():
    async def scenario(world):
        local, peer = hosts(world)
        world.web.slow[peer] = (140 * MILLISECOND, 150 * MILLISECOND)
        exchange = await send_call(world, local, target=b"/once/x", method=b"POST", due_ms=250)
        assert exchange.status == 504
        await sleep_us(3 * SECOND)
        assert not world.request_audit.arrivals(exchange.id)

    gated(scenario, application=("", "desk"))


def test_the_first_call_of_a_link_is_not_run_after_its_time():
    async def scenario(world):
        local, peer = hosts(world)
        await ready_link(world, local, peer)
        world.web.cut(local, peer)
        exchange = (await world.caller(local)).ask(b"/once/x", b"POST", due_ms=300)
        await sleep_us(500 * MILLISECOND)
        world.web.heal()
        await wait_until_done([exchange])
        await sleep_us(SECOND)
        assert exchange.status == 504 and not world.request_audit.arrivals(exchange.id)

    gated(scenario, application=("", "desk"))


def test_a_late_answer_does_not_reach_the_next_call_of_its_number():
    async def scenario(world):
        local, peer = hosts(world)
        link = await ready_link(world, local, peer)
        caller = await world.caller(local)
        first = caller.ask(b"/once/1", b"POST", due_ms=300)
        await sleep_us(50 * MILLISECOND)
        slot = next(iter(link.pending)).peer_handle[0]
        world.web.cut(peer, local, both=False)
        await first.done.wait()
        second = caller.ask(b"/once/2", b"POST", due_ms=3000)
        await sleep_us(20 * MILLISECOND)
        assert next(iter(link.pending)).peer_handle[0] == slot
        world.web.heal()
        await wait_until_done([second])
        assert (first.status, second.status) == (504, 200)
        assert link_of(world, local, peer) is link

    gated(scenario, application=("", "desk"), endpoint={"work_us": 100 * MILLISECOND})


def test_a_frame_of_an_earlier_link_is_taken_on_no_other():
    """The same peer, address, port and call number, but another session."""

    async def scenario(world):
        local, peer = hosts(world)
        link = await ready_link(world, local, peer)
        heard, usual = [], link.on_data
        link.on_data = lambda data: (heard.append(data), usual(data))
        assert (await send_call(world, local, target=b"/once/1")).status == 200
        answer = b"".join(heard)
        world.processes[f"mdproxy@{peer}"].net.reset()
        await sleep_us(2 * SECOND)
        fresh = await ready_link(world, local, peer)
        assert fresh is not link
        world.ends[peer].work_us = 300 * MILLISECOND
        exchange = (await world.caller(local)).ask(b"/once/2", b"POST")
        await sleep_us(100 * MILLISECOND)
        assert next(iter(fresh.pending)).peer_handle == (0, 0)  # as the first one had
        gate = gateway_of(world, local)
        world.processes[f"mdproxy@{local}"].enter(lambda: gate.reactor.turn(fresh.on_data, answer))
        await wait_until_done([exchange])
        await sleep_us(SECOND)
        assert exchange.status == 502

    gated(scenario, application=("", "desk"))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_gate_that_starts_anew_at_its_address_answers_no_call_of_its_former_life(seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        local, peer = hosts(world)
        await ready_link(world, local, peer)
        caller = await world.caller(local)
        lost = caller.ask(b"/once/1", b"POST", due_ms=4000)
        await sleep_us(50 * MILLISECOND)
        world.web.cut(local, peer)
        world.kill(f"mdproxy@{peer}")
        await world.start("mdproxy", peer)
        world.web.heal()
        await lost.done.wait()
        assert lost.status == 502
        await world.eventually(lambda: world.daemon("mdproxy", peer).endpoints.by_address)
        await sleep_us(2 * SECOND)
        exchange = await send_call(world, local, target=b"/once/2", method=b"POST")
        assert exchange.status == 200
        assert world.request_audit.arrivals(lost.id) == 1

    gated(
        scenario,
        seed,
        application=("", "desk"),
        tries=RETRY_BUDGET,
        endpoint={"work_us": 300 * MILLISECOND},
    )


def test_a_cancel_does_not_end_what_has_begun():
    async def scenario(world):
        local, *_ = hosts(world)
        gate = gateway_of(world, local)
        exchange = (await world.caller(local)).ask(b"/once/x", b"POST")
        await sleep_us(100 * MILLISECOND)
        (call,) = gate.dispatcher.calls
        world.processes[f"mdproxy@{local}"].enter(
            lambda: gate.reactor.turn(call.peer_link.send, [CANCEL, *call.peer_handle])
        )
        await wait_until_done([exchange])
        assert exchange.status == 200 and world.request_audit.arrivals(exchange.id) == 1

    gated(scenario, application=("", "desk", "desk"), endpoint={"work_us": 300 * MILLISECOND})


def test_a_rejection_that_comes_after_the_deadline_is_still_true():
    async def scenario(world):
        local, peer = hosts(world)
        await ready_link(world, local, peer)
        world.web.slow[peer] = (70 * MILLISECOND, 75 * MILLISECOND)
        world.ends[peer].fault_of = lambda id: "full"
        world.ends[peer].work_us = 1
        for due_ms in range(100, 300, 20):
            exchange = await send_call(
                world, local, target=b"/once/x", method=b"POST", due_ms=due_ms
            )
            assert exchange.status in (503, 504)
        await sleep_us(2 * SECOND)
        assert not world.request_audit.runs()

    gated(scenario, application=("", "desk"), tries=RETRY_BUDGET)


# ---------------------------------------------------------------- client to gate


@pytest.mark.parametrize("seed", SEEDS)
def test_answers_come_in_the_order_of_the_requests(seed):
    async def scenario(world):
        end = world.ends[hosts(world)[0]]
        times = iter([90, 10, 50, 1, 70, 5])
        end.work_us = lambda job: next(times) * MILLISECOND
        end.slots = 10
        caller = await world.caller(hosts(world)[0])
        exchange = [caller.ask(b"/p/%d" % n, due_ms=2000) for n in range(6)]
        await wait_until_done(exchange)
        assert {m.status for m in exchange} == {200}

    gated(scenario, seed, application=("desk",), endpoint={"slots": 10})


@pytest.mark.parametrize("cut_at", (20, 120, 400))
def test_a_request_that_was_read_in_part_runs_nowhere(cut_at):
    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        exchange = caller.ask(b"/once/x", b"POST", body=b"x" * 500, send=False)
        caller.wire.send(exchange.data[:cut_at])
        await sleep_us(50 * MILLISECOND)
        caller.wire.abort()
        caller.on_end("reset")
        await sleep_us(2 * SECOND)
        assert not world.request_audit.arrivals(exchange.id)

    gated(scenario, application=("desk", "desk"))


@pytest.mark.parametrize("apart_ms", (0, 5))
def test_what_lies_behind_a_closing_answer_was_not_run(apart_ms):
    """Its client counts it as unread and sends it again, of whatever kind it is."""

    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        first = caller.ask(b"/p/1", lines=[(b"Connection", b"close")], send=False)
        second = caller.ask(b"/once/2", b"POST", body=b"x", send=False)
        if apart_ms:
            caller.wire.send(first.data)
            await sleep_us(apart_ms * MILLISECOND)
            caller.wire.send(second.data)
        else:
            caller.wire.send(first.data + second.data)
        await wait_until_done([first, second])
        assert first.status == 200 and not second.status
        await sleep_us(SECOND)
        assert not world.request_audit.arrivals(second.id)

    gated(scenario, application=("desk",))


def test_a_head_that_came_too_late_runs_nowhere_after_its_408():
    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        exchange = caller.ask(b"/once/x", b"POST", body=b"x", send=False)
        caller.wire.send(exchange.data[:30])
        await exchange.done.wait()
        assert exchange.status == 408
        caller.wire.send(exchange.data[30:])
        await sleep_us(SECOND)
        assert not world.request_audit.arrivals(exchange.id)

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("still_ms", (500, 1500, 5000))
@pytest.mark.parametrize("seed", SEEDS)
def test_a_gate_that_stood_still_sends_nothing_a_second_time(still_ms, seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        local, *_ = hosts(world)
        callers = [await world.caller(local) for _ in range(12)]
        calls = [c.ask(b"/once/%d" % n, b"POST", due_ms=1000) for n, c in enumerate(callers)]
        await sleep_us(5 * MILLISECOND)
        process = world.processes[f"mdproxy@{local}"]
        process.freeze()
        late = (await world.caller(local)).ask(b"/once/late", b"POST", due_ms=1000)
        await sleep_us(still_ms * MILLISECOND)
        process.wake()
        await wait_until_done([*calls, late])
        await sleep_us(2 * SECOND)
        for exchange in calls:
            assert world.request_audit.arrivals(exchange.id) <= 1

    terms = {"work_us": 100 * MILLISECOND}
    gated(scenario, seed, application=("desk", "desk", "desk"), tries=RETRY_BUDGET, endpoint=terms)


# ---------------------------------------------------------------- everything at once

SPAN = 20 * SECOND
RANDOM = [None] * 40 + [fault for fault in FAULTS if fault != "silence"]


class Storm:
    """Troubles of gates, endpoints and ways between them, one after another, some at once."""

    def __init__(self, world):
        self.world, self.rng = world, world.rng
        self.application = hosts(world)

    def equip(self, end):
        """An endpoint that fails at random, and repeats old answers any number of answers later."""
        rng, usual = self.rng, end.answer_of
        end.fault_of = lambda id: rng.choice(RANDOM)
        end.work_us = lambda job: rng.randrange(1, 60) * MILLISECOND

        def answer_of(job, ran, status):
            conn = job.conn
            earlier = conn.__dict__.setdefault("earlier", [])
            usual(job, ran, status)
            if rng.random() < 0.05 and earlier:
                conn.again = rng.choice(earlier)
            if job.fault is None and ran.method != b"HEAD":
                earlier.append(end.complete_response(ran, status))

        end.answer_of = answer_of

    async def run(self, end_at):
        strikes = [
            *(self.freeze_gate, self.freeze_endpoint, self.reset_gate, self.reset_endpoint),
            *(self.cut, self.slow, self.restart_gate, self.reuse_address),
        ]
        async with trio.open_nursery() as nursery:
            while monotonic_us() < end_at:
                await sleep_us(self.rng.randrange(100, 600) * MILLISECOND)
                nursery.start_soon(self.rng.choice(strikes), self.rng.choice(self.application))

    def span(self):
        return self.rng.choice([50, 300, 700, 1500, 3000]) * MILLISECOND

    async def still(self, name):
        process = self.world.processes.get(name)
        if process is not None and process.frozen is None:
            process.freeze()
            await sleep_us(self.span())
            process.wake()

    async def freeze_gate(self, host):
        await self.still(f"mdproxy@{host}")

    async def freeze_endpoint(self, host):
        await self.still(f"endpoint@{host}:8000")

    async def reset_gate(self, host):
        if (process := self.world.processes.get(f"mdproxy@{host}")) is not None:
            process.net.reset()

    async def reset_endpoint(self, host):
        if (process := self.world.processes.get(f"endpoint@{host}:8000")) is not None:
            process.net.reset()

    async def cut(self, host):
        other = self.rng.choice([h for h in self.application if h != host])
        pairs = [(host, other), (other, host)][: self.rng.randrange(1, 3)]
        self.world.web.cuts |= set(pairs)
        await sleep_us(self.span())
        self.world.web.heal_links(pairs)

    async def slow(self, host):
        self.world.web.slow[host] = (20 * MILLISECOND, 200 * MILLISECOND)
        await sleep_us(self.span())
        self.world.web.slow.pop(host, None)

    async def restart_gate(self, host):
        name = f"mdproxy@{host}"
        if name in self.world.processes and self.world.processes[name].frozen is None:
            self.world.kill(name)
            await self.world.start("mdproxy", host)

    async def reuse_address(self, host):
        """The endpoint crashes, and one of another service has its address at once."""
        name = f"endpoint@{host}:8000"
        if name not in self.world.processes:
            return
        self.world.processes.pop(name).kill()
        former = self.world.ends[host]
        former.left = True
        service = "paper" if former.service == "desk" else "desk"
        self.world.ends[host] = end = await self.world.stand_in(host, service)
        self.equip(end)


async def calls_until(world, host, end_at, calls):
    rng, caller = world.rng, None
    while monotonic_us() < end_at:
        if caller is None or caller.closed_at or caller.wire.closed:
            caller = await world.caller(host)
            if caller.failed:
                caller = None
                await sleep_us(100 * MILLISECOND)
                continue
        target = rng.choice([b"/p/x", b"/once/x", b"/once/y", b"/paper/x"])
        many = rng.randrange(1, 4) if not target.startswith(b"/once") else 1
        size = rng.choice([0, 10, 2000, 300_000]) if rng.random() < 0.2 else 5
        due_ms = rng.choice([300, 1000, 3000])
        batch = [
            caller.ask(target, b"PUT", body=rng.randbytes(size), due_ms=due_ms) for _ in range(many)
        ]
        calls.extend(batch)
        for exchange in batch:
            await exchange.done.wait()
        if rng.random() < 0.05:
            caller.hang_up()


@pytest.mark.parametrize("seed", range(1, 7))
def test_all_troubles_of_gates_endpoints_and_addresses_at_random(seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        storm, calls, end_at = Storm(world), [], monotonic_us() + SPAN
        world.web.tear = 3000
        for end in world.ends.values():
            storm.equip(end)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(storm.run, end_at)
            for host in hosts(world):
                for _ in range(4):
                    nursery.start_soon(calls_until, world, host, end_at, calls)
        world.web.heal()
        await sleep_us(8 * SECOND)
        statuses = [exchange.status for exchange in calls]
        assert statuses.count(200) > len(statuses) / 3
        assert {502, 503, 504} <= set(statuses)
        for exchange in calls:  # nobody was given more than its tries, however they ended
            assert len(world.request_audit.runs(exchange.id)) <= 2

    services = ("desk", "desk", "paper", "paper", "")
    gated(scenario, seed, application=services, tries=RETRY_BUDGET, endpoint={"slots": 8})


# ---------------------------------------------------------------- control links


@pytest.mark.parametrize("seed", SEEDS)
def test_every_control_call_may_come_again_late_and_in_any_order(seed, monkeypatch):
    """Each changes nothing the second time: it is bound to a ballot, a version or its content."""
    sent, usual = [], World.listen

    def listen(world, links):
        usual(world, links)
        original = links.call

        async def call(address, method, args, deadline):
            sent.append((links, address, method, args))
            return await original(address, method, args, deadline)

        links.call = call

    monkeypatch.setattr(World, "listen", listen)

    async def scenario(world):
        for version in range(2, 8):
            told = await world.operate(
                "POST",
                "/items",
                {"items": [route("p", prefix=f"/p{version}/", version=version)]},
                core=version % 3,
            )
            assert told[0] == 200, told
        await sleep_us(SECOND)
        before = [await world.operate("GET", "/items", core=n) for n in range(3)]
        again = list(sent)
        methods = {method for _, _, method, _ in again}
        assert {"register", "items.put", "lease.acquire", "reg.beat", "member.adopt"} <= methods
        world.rng.shuffle(again)
        for links, address, method, args in again:
            try:
                await links.call(address, method, args, monotonic_us() + SECOND)
            except (ConnectionFailed, Rejected):
                pass
        assert [await world.operate("GET", "/items", core=n) for n in range(3)] == before
        change = {"items": [route("p", prefix="/p/", version=9)]}
        assert (await world.operate("POST", "/items", change))[0] == 200
        await sleep_us(2 * SECOND)
        assert (await send_call(world, hosts(world)[0], target=b"/p/x")).status == 200

    gated(scenario, seed, core=3, application=("desk", "desk"))
