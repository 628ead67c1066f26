"""An audit that compares the callers' requests with the endpoints' executions."""

from __future__ import annotations

from meadowdock.simulator.standin.messages import stamp_of

# statuses which guarantee that the call did not run
NOT_RUN_STATUSES = (408, 421, 429, 503)


class RequestAudit:
    """The requests of all callers and the executions of all endpoints of a run."""

    def __init__(self, dialect):
        self.dialect = dialect
        self.asked, self.endpoints, self.callers = [], [], []
        self.number = 0

    def new_id(self):
        self.number += 1
        return b"call-%d" % self.number

    def runs(self, id=None):
        """Return the executions of a call, or all executions."""
        executions = [execution for e in self.endpoints for execution in e.journal]
        return executions if id is None else [each for each in executions if each.id == id]

    def arrivals(self, id):
        """Return how often a call was received by an endpoint."""
        return sum(1 for e in self.endpoints for _, known in e.came_at if known == id)

    def broken(self, repeatable=lambda request: True):
        """Return a text for each breach of the traffic path's guarantees.

        :param repeatable: whether the route of a request allows more than one execution.
        """
        requests = {request.id: request for request in self.asked}
        breaches = [f"responses without a request: {c.strays}" for c in self.callers if c.strays]
        breaches += [
            f"{e.address} received malformed requests: {e.malformed}"
            for e in self.endpoints
            if e.malformed
        ]
        for execution in self.runs():
            request = requests.get(execution.id)
            if request is None:
                breaches.append(f"no caller sent {execution.id} {execution.target}")
                continue
            sent = (request.method, request.target, request.host, request.body)
            if sent != (execution.method, execution.target, execution.host, execution.body):
                breaches.append(f"changed on the way: {sent} ran as {execution}")
            if execution.caller != (request.service or "guest").encode():
                breaches.append(
                    f"{execution.id} ran as a call of {execution.caller}, not {request.service}"
                )
        for request in self.asked:
            executions = self.runs(request.id)
            if not repeatable(request) and len(executions) > 1:
                breaches.append(f"{request.id} ran {len(executions)} times")
            if request.status in NOT_RUN_STATUSES and executions:
                breaches.append(f"{request.id} ran and was answered {request.status}")
            if request.status // 100 == 2:
                breaches += self.response_mismatches(request, executions)
            elif request.status and request.line(self.dialect.call_id) not in (None, request.id):
                breaches.append(
                    f"{request.id} got the answer of {request.line(self.dialect.call_id)}"
                )
        return breaches

    def response_mismatches(self, request, executions):
        """Return a breach unless a success is the exact response of one of its executions."""
        if request.line(self.dialect.call_id) != request.id:
            return [f"{request.id} got the answer of {request.line(self.dialect.call_id)}"]
        for execution in executions:
            expected = execution.answered if request.method != b"HEAD" else b""
            stamp = stamp_of(execution.instance, execution.id, execution.answered or b"")
            is_response = request.answer == expected and request.status == execution.status
            if is_response and (
                not self.dialect.stamp or request.line(self.dialect.stamp) == stamp
            ):
                return []
        return [
            f"{request.id}: {request.status} {request.answer[:60]} is not the complete response "
            "of an execution"
        ]
