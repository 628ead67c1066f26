"""Forwarding of the calls that arrive on the proxy's own HTTP interface or from a peer.

A call is driven by steps: choose where it goes, wait for a slot, forward it to a peer, send it to
the local endpoint. Each step returns the next one, or None once the call has its outcome.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

from meadowdock.configuration import RoutingTable
from meadowdock.forwarding.placement import Placement, Thresholds, local_state
from meadowdock.load_sharing import FORWARD, LOCAL, Choice, LoadList, NodeLoad
from meadowdock.logs import events as log_events
from meadowdock.outcome import NOT_RUN, REJECTION_CODES
from meadowdock.proxy.call import Call, EndpointResponse, Outcome, Step
from meadowdock.proxy.endpoint_connections import EndpointConnections
from meadowdock.proxy.endpoint_responses import check_endpoint_response, reported_load
from meadowdock.proxy.endpoints import Endpoint, EndpointRegistry
from meadowdock.proxy.exceptions import EndpointOutcomeUnknown, InvalidEndpointResponse, NotSent
from meadowdock.proxy.headers import Headers, end_to_end_headers
from meadowdock.proxy.messages import NodesByService
from meadowdock.proxy.peer_requests import FORWARD_METHOD, call_to_wire, response_from_wire
from meadowdock.proxy.retry_budget import RetryBudget
from meadowdock.proxy.slot_queue import SlotQueue
from meadowdock.rpc import ConnectionFailed, Rejected
from meadowdock.runtime import HttpConnectionFailed, deadline_scope, monotonic_us
from meadowdock.runtime.exceptions import NoMemoryNow, TooCostlyToParse
from meadowdock.runtime.json_memory import room_to_parse
from meadowdock.runtime.slab import Slab

if TYPE_CHECKING:
    from meadowdock.process import Node

# Settings of a service that was removed from the configuration while its endpoint is here.
UNKNOWN_SERVICE = {"echo": False, "identity": False}

# How an endpoint declines to run a call: (status, md-verdict header) -> rejection code.
ENDPOINT_REJECTIONS = {
    (503, b"not-run"): "busy",
    (409, b"may-have-run"): "key_may_have_run",
    (422, b"not-run"): "key_mismatch",
}


class CheckedResponse(NamedTuple):
    """An endpoint's response that passed the checks; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


class Forwarder:
    """Drives calls to their outcome.

    Invariants: every call in flight is in the slab, with its next step in call.next_step; a call
    holds a slot of call.endpoint if and only if that is not None.
    """

    def __init__(self, node: Node, endpoints: EndpointRegistry, retry_budget: RetryBudget) -> None:
        self.node, self.endpoints, self.retry_budget = node, endpoints, retry_budget
        self.connections = EndpointConnections(node, endpoints)
        self.slab = Slab()
        self.routing_table: RoutingTable | None = None  # of the configuration in force
        self.placement = Placement(node.settings.rpc_address)
        self.slot_queues: dict[str, SlotQueue] = {}
        self.counts: dict[str, int] = {}

    def count(self, name: str) -> None:
        """Increment a counter of the status report."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def use_load_list(self, load_list: LoadList, nodes_by_service: NodesByService) -> None:
        """Replace the load list that calls are placed by."""
        self.placement.loads.update(load_list, nodes_by_service)

    @property
    def load_list(self) -> LoadList:
        """The epoch, sequence number and age of the latest load list, without its nodes."""
        return self.placement.loads.latest

    @property
    def nodes_by_service(self) -> Mapping[str, Sequence[NodeLoad]]:
        """The nodes of the latest load list, by service."""
        return self.placement.loads.nodes

    async def remove_expired(self) -> None:
        """Remove endpoints whose heartbeats stopped, and close unwanted connections."""
        self.endpoints.remove_expired(monotonic_us())
        await self.connections.close_unwanted()

    def abort_requests(self) -> None:
        """Cancel the calls that are at an endpoint now; their outcome is may-have-run."""
        for call in self.slab:
            if call.cancel_scope is not None:
                call.cancel_scope.cancel()

    async def run(self, call: Call) -> Outcome:
        """Drive a call to its outcome."""
        call.next_step = self.first_step(call)
        handle = self.slab.put(call)
        try:
            while (call := self.slab.get(handle)).next_step is not None:
                if monotonic_us() >= call.deadline and call.outcome is None:
                    call.reject("due_passed")
                    break
                call.next_step = await call.next_step(call)
            return call.outcome
        finally:
            call = self.slab.take(handle)
            self.release_slot(call)

    def first_step(self, call: Call) -> Step:
        """Return the step that a call begins with."""
        if call.lookup_only:
            return self.lookup_step
        return self.choose_step if call.arrived_here else self.peer_call_step

    def assign_slot(self, call: Call, endpoint: Endpoint) -> Step:
        """Give the call a slot of the endpoint, and return the step that uses it."""
        call.endpoint = endpoint
        self.endpoints.acquire_slot(endpoint, monotonic_us())
        return self.endpoint_step

    def release_slot(self, call: Call) -> None:
        """Release the slot that the call holds, if any."""
        if call.endpoint is not None:
            endpoint, call.endpoint = call.endpoint, None
            self.endpoints.release_slot(endpoint, monotonic_us())

    def reject(self, call: Call, code: str, detail: str = "") -> None:
        """Set a rejection as the call's outcome; there is no next step."""
        call.reject(code, detail)

    def choose_placement(self, call: Call) -> Choice:
        """Return where the placement policy puts a call now."""
        service, parameters = call.route.service, self.routing_table.load
        return self.placement.choose(
            service,
            local_state(
                self.endpoints.local_endpoint(service), self.endpoints.service_loads.get(service)
            ),
            Thresholds(parameters["phi"], parameters["omega"], parameters["stale_us"]),
            call.excluded_peers,
            monotonic_us(),
        )

    async def lookup_step(self, call: Call) -> Step | None:
        """Ask the local endpoint's execution record what became of a repeated key.

        The request may have run elsewhere, so it isn't run anew. Without an endpoint that keeps a
        record, the call is rejected.
        """
        endpoint = self.endpoints.local_endpoint(call.route.service)
        service = self.routing_table.services[call.route.service]
        if endpoint is None or not service.get("record"):
            return self.reject(call, "key_may_have_run")
        if not endpoint.has_capacity:
            return self.reject(call, "busy")
        return self.assign_slot(call, endpoint)

    async def choose_step(self, call: Call) -> Step | None:
        """Choose between the local endpoint, a peer, and waiting for a local slot."""
        choice = self.choose_placement(call)
        self.count(f"rule.{choice.rule}")
        if choice.placement is LOCAL:
            return self.assign_slot(call, self.endpoints.local_endpoint(call.route.service))
        if choice.placement is FORWARD and self.peer_attempts_left(call):
            call.target = choice.target
            return self.forward_step
        return self.wait_step

    async def wait_step(self, call: Call) -> Step | None:
        """Wait for a local slot, if one is likely to become free in time.

        Reached when neither the local endpoint nor a peer has capacity.
        """
        endpoint = self.endpoints.local_endpoint(call.route.service)
        if endpoint is None:
            return self.reject(call, "home_gone")
        if endpoint.has_capacity:
            return self.assign_slot(call, endpoint)
        queue = self.slot_queue(call.route.service)
        wait_us, max_waits = call.route.arrival.wait_us, call.route.arrival.retries
        if call.peer_attempts or not queue.would_serve_in_time(call, endpoint.capacity, wait_us):
            return self.reject(call, "busy")
        entry = queue.join(call)
        try:
            with deadline_scope(min(call.deadline, monotonic_us() + wait_us)):
                await entry.decided.wait()
        finally:
            if not entry.decided.is_set():
                queue.waiting.remove(entry)
        if call.endpoint is not None:
            return self.endpoint_step
        call.queue_waits += 1
        if entry.decided.is_set() and call.queue_waits <= max_waits:
            return self.choose_step  # the local endpoint was removed while it waited
        return self.reject(call, "busy")

    def slot_queue(self, service: str) -> SlotQueue:
        """Return the slot queue of a service, which is created at its first use."""
        queue = self.slot_queues.get(service)
        if queue is None:
            queue = SlotQueue(service, self.endpoints, self.assign_slot)
            self.slot_queues[service] = queue
            self.endpoints.slot_waiters[service] = queue.on_slot_change
        return queue

    async def peer_call_step(self, call: Call) -> Step | None:
        """Give a peer's call a slot of the local endpoint, or reject it.

        It neither waits here nor is forwarded again.
        """
        service = call.route.service
        endpoint = self.endpoints.local_endpoint(service)
        if endpoint is None:
            return self.reject(call, "home_gone")
        if endpoint.incarnation != call.incarnation:
            matching = (
                other
                for other in self.endpoints.available_endpoints(service)
                if other.incarnation == call.incarnation
            )
            endpoint = next(matching, None)
            if endpoint is None:
                return self.reject(call, "home_gone", "another incarnation")
        if not endpoint.has_capacity:
            return self.reject(call, "busy")
        return self.assign_slot(call, endpoint)

    async def forward_step(self, call: Call) -> Step | None:
        """Forward the call to the chosen peer; a second attempt needs the retry budget."""
        if call.sends and not self.retry_budget.try_withdraw(monotonic_us()):
            return self.wait_step
        call.sends += 1
        call.peer_attempts += 1
        self.count("spilled")
        route, target = call.route, call.target
        now_us = monotonic_us()
        deadline = min(call.deadline, now_us + route.relocation.wait_us + route.endpoint.wait_us)
        message = call_to_wire(call, target.incarnation)
        self.endpoints.adjust_forwarded(route.service, 1, now_us)
        try:
            response = await self.node.rpc.call(target.address, FORWARD_METHOD, message, deadline)
        except Rejected as rejected:
            return self.after_peer_rejected(call, target.address, rejected.code)
        except ConnectionFailed as failed:
            return self.after_peer_failed(call, target.address, failed.sent, deadline)
        finally:
            self.endpoints.adjust_forwarded(route.service, -1, monotonic_us())
        call.outcome = response_from_wire(response)
        return None

    def after_peer_rejected(self, call: Call, address: str, code: str) -> Step | None:
        """Return the next step after the peer rejected the call."""
        call.excluded_peers.add(address)
        if code == "busy":
            self.placement.loads.exclude(call.route.service, address)
        self.count(f"spill.shed.{code}")
        if certainly_not_run(code):
            return self.choose_step
        return self.after_outcome_unknown(
            call, code, self.choose_step, self.peer_attempts_left(call)
        )

    def after_peer_failed(self, call: Call, address: str, sent: bool, deadline: int) -> Step | None:
        """Return the next step after the connection failed or the deadline passed."""
        call.excluded_peers.add(address)
        self.count("spill.broke")
        if not sent:
            call.sends -= 1
            return self.choose_step
        call.endpoint_sends += 1
        code = "no_answer" if monotonic_us() >= deadline else "lost"
        return self.after_outcome_unknown(
            call, code, self.choose_step, self.peer_attempts_left(call)
        )

    def peer_attempts_left(self, call: Call) -> bool:
        """Return whether the route allows one more attempt at a peer."""
        return call.peer_attempts <= call.route.relocation.retries

    def after_outcome_unknown(
        self, call: Call, code: str, retry: Step | None, attempts_left: bool
    ) -> Step | None:
        """Retry an attempt whose outcome is unknown, or reject the call.

        Only a call of an idempotent route is retried.
        """
        call.may_have_run = True
        no_more_retries = (
            call.disconnected
            or self.node.shutdown.abort_requested.is_set()
            or monotonic_us() >= call.deadline
        )
        if call.route.idempotent and attempts_left and not no_more_retries:
            return retry
        return self.reject(call, code)

    async def endpoint_step(self, call: Call) -> Step | None:
        """Send the call to the endpoint whose slot it holds."""
        endpoint = call.endpoint
        if not endpoint.available:
            self.release_slot(call)
            return self.after_not_run(call)
        # A call that only peers rejected has reached no endpoint, so sending it here is not a retry.
        # In the policy of Koegel et al. (2009), such a call also stays at its own node.
        if call.endpoint_sends and not self.retry_budget.try_withdraw(monotonic_us()):
            return self.reject(call, "busy", "no second tries left")
        call.sends += 1
        call.endpoint_sends += 1
        call.endpoint_attempts += 1
        started_at = monotonic_us()
        try:
            response = await self.exchange(call, endpoint, started_at)
        except NotSent:
            return self.after_not_sent(call, endpoint)
        except EndpointOutcomeUnknown as unknown:
            self.count(unknown.counter)
            return self.after_endpoint_unknown(call, unknown.code)
        load = reported_load(response.headers)
        if load is not None:
            endpoint.reported_load, endpoint.reported_load_at = load, monotonic_us()
        self.slot_queue(call.route.service).record_slot_time(call, monotonic_us() - started_at)
        return self.after_response(call, response)

    async def exchange(self, call: Call, endpoint: Endpoint, started_at: int) -> CheckedResponse:
        """Send one request to the endpoint and return its response.

        Until the first byte is sent, a caller that disconnects cancels the request; from then on
        only the deadline or an abort ends it.

        :raises NotSent: no byte of the call was sent.
        :raises EndpointOutcomeUnknown: it was sent, and there is no valid response.
        """
        deadline = min(call.deadline, started_at + call.route.endpoint.wait_us)
        sent = False

        def on_first_byte() -> None:
            nonlocal sent
            sent = call.started = True
            scope.shield = True

        with deadline_scope(deadline) as scope:
            call.cancel_scope = scope
            try:
                return await self.request(call, endpoint, deadline, on_first_byte)
            except HttpConnectionFailed as failed:
                if sent:
                    raise EndpointOutcomeUnknown("lost", "endpoint.lost") from failed
                raise NotSent from failed
        if sent:
            raise EndpointOutcomeUnknown("no_answer", "endpoint.late")
        raise NotSent

    async def request(
        self, call: Call, endpoint: Endpoint, deadline: int, on_first_byte: Callable[[], None]
    ) -> CheckedResponse:
        """Send the call on a connection, and check the response.

        :raises HttpConnectionFailed: the connection failed.
        :raises EndpointOutcomeUnknown: the response failed a check.
        """
        service = self.routing_table.services.get(call.route.service) or UNKNOWN_SERVICE
        connection = await self.connections.acquire(endpoint, service)
        status, headers, body = await connection.request(
            call.method,
            call.request_target,
            request_headers(call, endpoint, deadline),
            call.body,
            on_first_byte,
        )
        try:
            with room_to_parse(body, self.node.client_memory):
                headers = check_endpoint_response(endpoint, service, call.id, status, headers, body)
        except (InvalidEndpointResponse, TooCostlyToParse, NoMemoryNow) as invalid:
            await connection.close()
            self.node.log(
                log_events.ENDPOINT_CHECK_FAILED,
                address=endpoint.address,
                why=str(invalid) or "no memory to parse it",
                call=call.id,
            )
            raise EndpointOutcomeUnknown("bad_answer", "answer.bad") from invalid
        self.connections.release(endpoint, connection)
        return CheckedResponse(status, headers, body)

    def after_response(self, call: Call, response: CheckedResponse) -> Step | None:
        """Set the endpoint's response as the outcome, unless it declined to run the call."""
        verdict = dict(response.headers).get(b"md-verdict")
        code = ENDPOINT_REJECTIONS.get((response.status, verdict))
        if code is None:
            headers = end_to_end_headers(response.headers)
            call.outcome = EndpointResponse(response.status, headers, response.body)
            return None
        self.release_slot(call)
        self.count(f"endpoint.{code}")
        return self.after_not_run(call, code) if code == "busy" else self.reject(call, code)

    def after_not_sent(self, call: Call, endpoint: Endpoint) -> Step | None:
        """Choose anew after no byte of the call could be sent to the endpoint.

        The attempt doesn't count as sent, so the next one is not a retry.
        """
        call.sends -= 1
        call.endpoint_sends -= 1
        self.endpoints.mark_unreachable(endpoint)
        self.release_slot(call)
        return self.after_not_run(call)

    def after_not_run(self, call: Call, code: str = "unreachable") -> Step | None:
        """Choose anew after the endpoint certainly did not run the call, or reject it.

        A peer's call is always rejected, so that the forwarding peer chooses.
        """
        may_retry = self.endpoint_attempts_left(call) and monotonic_us() < call.deadline
        if call.arrived_here and may_retry and code != "busy" and not call.lookup_only:
            return self.choose_step
        return self.reject(call, code)

    def after_endpoint_unknown(self, call: Call, code: str) -> Step | None:
        """Retry at the endpoint that may have run the call, or reject the call.

        If that endpoint is no longer available, the retry chooses anew where it goes.
        """
        retry: Step | None = None if call.lookup_only else self.endpoint_step
        if call.endpoint is None or not call.endpoint.available:
            self.release_slot(call)
            retry = self.choose_step if call.arrived_here and not call.lookup_only else None
        attempts_left = retry is not None and self.endpoint_attempts_left(call)
        return self.after_outcome_unknown(call, code, retry, attempts_left)

    def endpoint_attempts_left(self, call: Call) -> bool:
        """Return whether the route allows one more attempt at an endpoint."""
        return call.endpoint_attempts <= call.route.endpoint.retries


def request_headers(call: Call, endpoint: Endpoint, deadline: int) -> Headers:
    """Return the headers sent to the endpoint: the caller's and the mesh's own."""
    remaining_us = max(0, deadline - monotonic_us())
    key = call.idempotency_key
    return [
        *call.headers,
        (b"md-call", call.id.encode()),
        (b"md-caller", call.caller.encode()),
        (b"md-service", endpoint.service.encode()),
        (b"md-incarnation", endpoint.incarnation.encode()),
        (b"md-due", str(remaining_us).encode()),
        *([(b"md-key", key.encode())] if key else []),
        *([(b"md-repeat", b"1")] if call.lookup_only else []),
    ]


def certainly_not_run(code: str) -> bool:
    """Return whether a peer's rejection proves that the call did not run.

    A code that is not known here proves nothing.
    """
    if code == "no_such_method":
        return True
    return code in REJECTION_CODES and REJECTION_CODES[code].verdict is NOT_RUN
