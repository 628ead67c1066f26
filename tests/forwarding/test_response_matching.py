"""Attribution of responses to calls, and retries, on every kind of connection.

The faults are resets, silence, late and duplicate responses, and reuse of addresses, ports and call
handles. The request audit checks all runs at the end of each test.
"""

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


def respond_with(end, answer):
    """Let answer(job, ran, data) send the endpoint's responses."""
    end.answer_of = lambda job, ran, status: answer(job, ran, end.complete_response(ran, status))


def link_of(world, local, peer):
    gateway = gateway_of(world, local)
    return gateway.peers.link(f"{peer}:{gateway.peers.link_port}")


async def ready_link(world, local, peer):
    link_of(world, local, peer)
    await world.eventually(lambda: link_of(world, local, peer).ready)
    return link_of(world, local, peer)


async def send_once_calls(caller, count):
    """Send calls that must run at most once, one after another on one connection."""
    exchanges = []
    for number in range(count):
        exchanges.append(caller.ask(b"/once/%d" % number, b"POST", body=b"%d" % number))
        await exchanges[-1].done.wait()
    return exchanges


@pytest.mark.parametrize("others", (0, 1, 2, 5, 31))
@pytest.mark.parametrize("tear", (0, 7))
def test_late_duplicate_response_is_ignored(others, tear):
    async def scenario(world):
        end, answers = world.ends[hosts(world)[0]], []

        def answer(job, ran, data):
            answers.append(data)
            if len(answers) == 1 + others:
                job.conn.again = answers[0]
            job.conn.say(data)

        respond_with(end, answer)
        world.web.tear = tear
        exchanges = await send_once_calls(await world.caller(hosts(world)[0]), others + 3)
        assert [exchange.status for exchange in exchanges] == [200] * len(exchanges)
        assert len(end.conns) == 1

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("status", (200, 421, 429, 503))
def test_duplicate_response_without_a_call_id_is_not_used_for_the_next_call(status):
    """The duplicate could be taken for the response to the next call.

    That call runs all the same, so it is not retried and its outcome is reported as unknown.
    """

    async def scenario(world):
        end, late = world.ends[hosts(world)[0]], []

        def answer(job, ran, data):
            if not late:
                late.append(ran.id)
                lines = [] if status == 200 else [(b"md-not-run", b"1")]
                lines.append((b"md-stamp", b"x"))
                job.conn.again = end.answer(status, lines, b"of an earlier call")
            job.conn.say(data)

        respond_with(end, answer)
        first, second = await send_once_calls(await world.caller(hosts(world)[0]), 2)
        await sleep_us(SECOND)
        assert (first.status, second.status) == (200, 502)
        assert world.request_audit.arrivals(second.id) == 1
        assert (await send_call(world, hosts(world)[0])).status == 200

    gated(scenario, application=("desk", "desk"), tries=RETRY_BUDGET)


def test_rejection_without_a_call_id_is_accepted_on_a_new_connection():
    """No other call was sent on the connection, so the response must belong to this one."""

    async def scenario(world):
        first = hosts(world)[0]
        end = world.ends[first]

        async def reject(job):
            await sleep_us(1)
            job.conn.say(end.answer(503, [(b"md-not-run", b"1")], b"full"))

        end.turn_away = lambda job, status: (end.nursery.start_soon(reject, job), job)[1]
        end.faults["*"] = ["full"]
        exchange = await send_call(world, first, target=b"/once/x", method=b"POST")
        assert exchange.status == 200 and world.request_audit.arrivals(exchange.id) == 2

    gated(scenario, application=("desk", "desk"), tries=RETRY_BUDGET)


@pytest.mark.parametrize("own_last", (True, False))
def test_response_with_two_call_ids_is_not_used(own_last):
    async def scenario(world):
        end = world.ends[hosts(world)[0]]

        def answer(job, ran, data):
            own, other = b"%s: %s" % (ID, ran.id), b"%s: another" % ID
            both = (other, own) if own_last else (own, other)
            job.conn.say(data.replace(own, b"\r\n".join(both)))

        respond_with(end, answer)
        exchange = await send_call(world, hosts(world)[0], target=b"/once/x", method=b"POST")
        assert exchange.status == 502

    gated(scenario, application=("desk",))


def test_response_with_its_call_id_twice_is_used():
    async def scenario(world):
        end = world.ends[hosts(world)[0]]
        line = lambda ran: b"%s: %s" % (ID, ran.id)  # noqa: E731
        respond_with(
            end,
            lambda job, ran, data: job.conn.say(
                data.replace(line(ran), line(ran) + b"\r\n" + line(ran))
            ),
        )
        assert (await send_call(world, hosts(world)[0])).status == 200

    gated(scenario, application=("desk",))


@pytest.mark.parametrize("size", (10, 900_000))
def test_partly_written_call_is_not_sent_to_another_endpoint(size):
    """After a reset the outcome is unknown, whether the endpoint got the whole request or a part."""

    async def scenario(world):
        await wait_for_retry_reserve(world)
        first, second = hosts(world)
        end = world.ends[first]
        assert (await send_call(world, first)).status == 200  # opens a connection
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


def test_rejection_after_a_possible_run_is_reported_as_unknown():
    async def scenario(world):
        await wait_for_retry_reserve(world)
        left = ["reset"]
        for end in world.ends.values():
            end.fault_of = lambda id: left.pop() if left else "full"
        exchange = await send_call(world, hosts(world)[0])
        assert exchange.status == 502 and len(world.request_audit.runs(exchange.id)) == 1

    gated(scenario, application=("desk", "desk"), tries=RETRY_BUDGET)


@pytest.mark.parametrize("due_ms", (1000, 4000))
@pytest.mark.parametrize("frozen_ms", (1500, 3000))
@pytest.mark.parametrize("seed", SEEDS)
def test_call_at_a_frozen_gateway_is_not_sent_to_another(due_ms, frozen_ms, seed):
    """This also holds when the gateway resumes and finds the call in its buffer."""

    async def scenario(world):
        await wait_for_retry_reserve(world)
        local, bad, good = hosts(world)
        await ready_link(world, local, bad)
        await ready_link(world, local, good)
        proxy = world.processes[f"mdproxy@{bad}"]
        proxy.freeze()
        callers = [await world.caller(local) for _ in range(6)]
        calls = [
            caller.ask(b"/once/%d" % number, b"POST", due_ms=due_ms)
            for number, caller in enumerate(callers)
        ]
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200, 502}
        await sleep_us(frozen_ms * MILLISECOND)
        proxy.wake()
        await sleep_us(3 * SECOND)
        for exchange in calls:
            assert world.request_audit.arrivals(exchange.id) <= 1
            if exchange.status == 502:  # its deadline or its link ended before the gateway resumed
                assert not [run for run in world.ends[good].journal if run.id == exchange.id]
            for ran in world.request_audit.runs(exchange.id):
                assert ran.begun <= exchange.at + due_ms * MILLISECOND

    gated(
        scenario, seed, application=("", "desk", "desk"), tries=RETRY_BUDGET, endpoint={"slots": 20}
    )


def test_call_abandoned_before_its_link_is_ready_is_never_sent():
    async def scenario(world):
        local, peer = hosts(world)
        world.web.slow[peer] = (140 * MILLISECOND, 150 * MILLISECOND)
        exchange = await send_call(world, local, target=b"/once/x", method=b"POST", due_ms=250)
        assert exchange.status == 504
        await sleep_us(3 * SECOND)
        assert not world.request_audit.arrivals(exchange.id)

    gated(scenario, application=("", "desk"))


def test_first_call_of_a_link_does_not_run_after_its_deadline():
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


def test_late_outcome_is_not_attributed_to_the_next_call_in_its_slot():
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


def test_frame_of_an_earlier_session_is_not_accepted():
    """The peer, the address, the port and the call handle are the same, but not the session."""

    async def scenario(world):
        local, peer = hosts(world)
        link = await ready_link(world, local, peer)
        received, original = [], link.on_data
        link.on_data = lambda data: (received.append(data), original(data))
        assert (await send_call(world, local, target=b"/once/1")).status == 200
        answer = b"".join(received)
        world.processes[f"mdproxy@{peer}"].net.reset()
        await sleep_us(2 * SECOND)
        fresh = await ready_link(world, local, peer)
        assert fresh is not link
        world.ends[peer].work_us = 300 * MILLISECOND
        exchange = (await world.caller(local)).ask(b"/once/2", b"POST")
        await sleep_us(100 * MILLISECOND)
        assert next(iter(fresh.pending)).peer_handle == (0, 0)  # the handle of the first call, too
        gateway = gateway_of(world, local)
        world.processes[f"mdproxy@{local}"].enter(
            lambda: gateway.reactor.turn(fresh.on_data, answer)
        )
        await wait_until_done([exchange])
        await sleep_us(SECOND)
        assert exchange.status == 502

    gated(scenario, application=("", "desk"))


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_gateway_answers_no_call_of_its_former_process(seed):
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


def test_cancel_does_not_end_a_started_call():
    async def scenario(world):
        local, *_ = hosts(world)
        gateway = gateway_of(world, local)
        exchange = (await world.caller(local)).ask(b"/once/x", b"POST")
        await sleep_us(100 * MILLISECOND)
        (call,) = gateway.dispatcher.calls
        world.processes[f"mdproxy@{local}"].enter(
            lambda: gateway.reactor.turn(call.peer_link.send, [CANCEL, *call.peer_handle])
        )
        await wait_until_done([exchange])
        assert exchange.status == 200 and world.request_audit.arrivals(exchange.id) == 1

    gated(scenario, application=("", "desk", "desk"), endpoint={"work_us": 300 * MILLISECOND})


def test_rejection_after_the_deadline_still_holds():
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


@pytest.mark.parametrize("seed", SEEDS)
def test_responses_are_in_the_order_of_the_requests(seed):
    async def scenario(world):
        end = world.ends[hosts(world)[0]]
        times = iter([90, 10, 50, 1, 70, 5])
        end.work_us = lambda job: next(times) * MILLISECOND
        end.slots = 10
        caller = await world.caller(hosts(world)[0])
        calls = [caller.ask(b"/p/%d" % number, due_ms=2000) for number in range(6)]
        await wait_until_done(calls)
        assert {exchange.status for exchange in calls} == {200}

    gated(scenario, seed, application=("desk",), endpoint={"slots": 10})


@pytest.mark.parametrize("cut_at", (20, 120, 400))
def test_partly_received_request_does_not_run(cut_at):
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


@pytest.mark.parametrize("gap_ms", (0, 5))
def test_request_behind_a_closing_response_does_not_run(gap_ms):
    """The client considers the request unread and sends it again, even if it is not idempotent."""

    async def scenario(world):
        caller = await world.caller(hosts(world)[0])
        first = caller.ask(b"/p/1", lines=[(b"Connection", b"close")], send=False)
        second = caller.ask(b"/once/2", b"POST", body=b"x", send=False)
        if gap_ms:
            caller.wire.send(first.data)
            await sleep_us(gap_ms * MILLISECOND)
            caller.wire.send(second.data)
        else:
            caller.wire.send(first.data + second.data)
        await wait_until_done([first, second])
        assert first.status == 200 and not second.status
        await sleep_us(SECOND)
        assert not world.request_audit.arrivals(second.id)

    gated(scenario, application=("desk",))


def test_request_does_not_run_after_its_408():
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


@pytest.mark.parametrize("frozen_ms", (500, 1500, 5000))
@pytest.mark.parametrize("seed", SEEDS)
def test_gateway_that_was_frozen_sends_no_call_twice(frozen_ms, seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        local, *_ = hosts(world)
        callers = [await world.caller(local) for _ in range(12)]
        calls = [
            caller.ask(b"/once/%d" % number, b"POST", due_ms=1000)
            for number, caller in enumerate(callers)
        ]
        await sleep_us(5 * MILLISECOND)
        process = world.processes[f"mdproxy@{local}"]
        process.freeze()
        late = (await world.caller(local)).ask(b"/once/late", b"POST", due_ms=1000)
        await sleep_us(frozen_ms * MILLISECOND)
        process.wake()
        await wait_until_done([*calls, late])
        await sleep_us(2 * SECOND)
        for exchange in calls:
            assert world.request_audit.arrivals(exchange.id) <= 1

    terms = {"work_us": 100 * MILLISECOND}
    gated(scenario, seed, application=("desk", "desk", "desk"), tries=RETRY_BUDGET, endpoint=terms)


DURATION_US = 20 * SECOND
FAULT_CHOICES = [None] * 40 + [fault for fault in FAULTS if fault != "silence"]


class FaultInjector:
    """Injects faults of gateways, endpoints and the network at random, some of them concurrently."""

    def __init__(self, world):
        self.world, self.rng = world, world.rng
        self.application = hosts(world)

    def make_faulty(self, end):
        """Make an endpoint fail at random and repeat earlier responses later on."""
        rng, original = self.rng, end.answer_of
        end.fault_of = lambda id: rng.choice(FAULT_CHOICES)
        end.work_us = lambda job: rng.randrange(1, 60) * MILLISECOND

        def answer_of(job, ran, status):
            conn = job.conn
            earlier = conn.__dict__.setdefault("earlier", [])
            original(job, ran, status)
            if rng.random() < 0.05 and earlier:
                conn.again = rng.choice(earlier)
            if job.fault is None and ran.method != b"HEAD":
                earlier.append(end.complete_response(ran, status))

        end.answer_of = answer_of

    async def run(self, deadline):
        faults = [
            *(self.freeze_gate, self.freeze_endpoint, self.reset_gate, self.reset_endpoint),
            *(self.cut, self.slow, self.restart_gate, self.reuse_address),
        ]
        async with trio.open_nursery() as nursery:
            while monotonic_us() < deadline:
                await sleep_us(self.rng.randrange(100, 600) * MILLISECOND)
                nursery.start_soon(self.rng.choice(faults), self.rng.choice(self.application))

    def random_duration_us(self):
        return self.rng.choice([50, 300, 700, 1500, 3000]) * MILLISECOND

    async def freeze(self, name):
        process = self.world.processes.get(name)
        if process is not None and process.frozen is None:
            process.freeze()
            await sleep_us(self.random_duration_us())
            process.wake()

    async def freeze_gate(self, host):
        await self.freeze(f"mdproxy@{host}")

    async def freeze_endpoint(self, host):
        await self.freeze(f"endpoint@{host}:8000")

    async def reset_gate(self, host):
        if (process := self.world.processes.get(f"mdproxy@{host}")) is not None:
            process.net.reset()

    async def reset_endpoint(self, host):
        if (process := self.world.processes.get(f"endpoint@{host}:8000")) is not None:
            process.net.reset()

    async def cut(self, host):
        other = self.rng.choice([other for other in self.application if other != host])
        pairs = [(host, other), (other, host)][: self.rng.randrange(1, 3)]
        self.world.web.cuts |= set(pairs)
        await sleep_us(self.random_duration_us())
        self.world.web.heal_links(pairs)

    async def slow(self, host):
        self.world.web.slow[host] = (20 * MILLISECOND, 200 * MILLISECOND)
        await sleep_us(self.random_duration_us())
        self.world.web.slow.pop(host, None)

    async def restart_gate(self, host):
        name = f"mdproxy@{host}"
        if name in self.world.processes and self.world.processes[name].frozen is None:
            self.world.kill(name)
            await self.world.start("mdproxy", host)

    async def reuse_address(self, host):
        """Replace the endpoint by one of another service at the same address."""
        name = f"endpoint@{host}:8000"
        if name not in self.world.processes:
            return
        self.world.processes.pop(name).kill()
        former = self.world.ends[host]
        former.left = True
        service = "paper" if former.service == "desk" else "desk"
        self.world.ends[host] = end = await self.world.stand_in(host, service)
        self.make_faulty(end)


async def calls_until(world, host, deadline, calls):
    rng, caller = world.rng, None
    while monotonic_us() < deadline:
        if caller is None or caller.closed_at or caller.wire.closed:
            caller = await world.caller(host)
            if caller.failed:
                caller = None
                await sleep_us(100 * MILLISECOND)
                continue
        target = rng.choice([b"/p/x", b"/once/x", b"/once/y", b"/paper/x"])
        batch_size = rng.randrange(1, 4) if not target.startswith(b"/once") else 1
        size = rng.choice([0, 10, 2000, 300_000]) if rng.random() < 0.2 else 5
        due_ms = rng.choice([300, 1000, 3000])
        batch = [
            caller.ask(target, b"PUT", body=rng.randbytes(size), due_ms=due_ms)
            for _ in range(batch_size)
        ]
        calls.extend(batch)
        for exchange in batch:
            await exchange.done.wait()
        if rng.random() < 0.05:
            caller.hang_up()


@pytest.mark.parametrize("seed", range(1, 7))
def test_random_faults_of_gateways_endpoints_and_network(seed):
    async def scenario(world):
        await wait_for_retry_reserve(world)
        injector, calls, deadline = FaultInjector(world), [], monotonic_us() + DURATION_US
        world.web.tear = 3000
        for end in world.ends.values():
            injector.make_faulty(end)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(injector.run, deadline)
            for host in hosts(world):
                for _ in range(4):
                    nursery.start_soon(calls_until, world, host, deadline, calls)
        world.web.heal()
        await sleep_us(8 * SECOND)
        statuses = [exchange.status for exchange in calls]
        assert statuses.count(200) > len(statuses) / 3
        assert {502, 503, 504} <= set(statuses)
        for exchange in calls:  # no call was attempted more often than allowed
            assert len(world.request_audit.runs(exchange.id)) <= 2

    services = ("desk", "desk", "paper", "paper", "")
    gated(scenario, seed, application=services, tries=RETRY_BUDGET, endpoint={"slots": 8})


@pytest.mark.parametrize("seed", SEEDS)
def test_control_calls_may_be_repeated_late_and_in_any_order(seed, monkeypatch):
    """A repeated call has no effect, since it is bound to a ballot, a version or its content."""
    sent, original_listen = [], World.listen

    def listen(world, links):
        original_listen(world, links)
        original_call = links.call

        async def call(address, method, args, deadline):
            sent.append((links, address, method, args))
            return await original_call(address, method, args, deadline)

        links.call = call

    monkeypatch.setattr(World, "listen", listen)

    async def scenario(world):
        for version in range(2, 8):
            response = await world.operate(
                "POST",
                "/items",
                {"items": [route("p", prefix=f"/p{version}/", version=version)]},
                core=version % 3,
            )
            assert response[0] == 200, response
        await sleep_us(SECOND)
        before = [await world.operate("GET", "/items", core=number) for number in range(3)]
        repeated_calls = list(sent)
        methods = {method for _, _, method, _ in repeated_calls}
        assert {"register", "items.put", "lease.acquire", "reg.beat", "member.adopt"} <= methods
        world.rng.shuffle(repeated_calls)
        for links, address, method, args in repeated_calls:
            try:
                await links.call(address, method, args, monotonic_us() + SECOND)
            except (ConnectionFailed, Rejected):
                pass
        assert [await world.operate("GET", "/items", core=number) for number in range(3)] == before
        change = {"items": [route("p", prefix="/p/", version=9)]}
        assert (await world.operate("POST", "/items", change))[0] == 200
        await sleep_us(2 * SECOND)
        assert (await send_call(world, hosts(world)[0], target=b"/p/x")).status == 200

    gated(scenario, seed, core=3, application=("desk", "desk"))
