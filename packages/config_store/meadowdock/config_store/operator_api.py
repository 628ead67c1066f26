"""The operators' HTTP API: plan, commit, items and reads.

Each handler decodes a request, calls the part of the server that does the work, and encodes its
result or error. The paths, fields and codes are public; the HTTP path of a commit is /confirm.
"""

from __future__ import annotations

import hmac
import json
from collections.abc import Awaitable, Callable
from functools import wraps
from typing import TYPE_CHECKING, Any

from meadowdock.admin_http import BodyTooLarge, Request, Response, RouteTable
from meadowdock.config_store import repair
from meadowdock.config_store.exceptions import (
    InvalidConfiguration,
    PlanExpired,
    PlanOutdated,
    PlanUnknown,
    QuorumUnreachable,
)
from meadowdock.config_store.status import status_of
from meadowdock.configuration import MAX_CONFIGURATION_BYTES
from meadowdock.configuration.items import InvalidItems, VersionConflict
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.runtime import SECOND, monotonic_us
from meadowdock.runtime.json_memory import ITEM_VALUE_MEMORY_BYTES, room_to_parse

if TYPE_CHECKING:
    from meadowdock.config_store.server import ConfigStore

LISTENER = "operators"  # this API's name among the listeners that members report
COMMIT_BODY_MAX_BYTES = 65536
RETRY_AFTER = [(b"retry-after", b"1")]  # seconds
TAKES_EFFECT = (
    "once confirmed: staged on every reachable proxy, then switched, "
    "within about 2 s; a proxy that is cut off follows when it is back"
)

Handler = Callable[["ConfigStore", Request], Awaitable[Response]]

table = RouteTable()


def unauthorized(server: ConfigStore, request: Request) -> Response | None:
    """Return the response to a request without the operators' key, or None if it is authorized."""
    key = server.node.settings.operator_key
    given = request.header(b"authorization") or ""
    if key is None or hmac.compare_digest(given.encode(), f"Bearer {key}".encode()):
        return None
    return Response(401, {"code": "operator_unknown"})


def unavailable(server: ConfigStore, request: Request) -> Response | None:
    """Return the response while this member can't serve operators at all; None if it can."""
    if not server.store.membership:
        return Response(503, {"code": "not_founded"}, RETRY_AFTER)
    if request.method == "POST" and server.has_too_few_voters():
        return Response(503, {"code": "too_few_members"}, RETRY_AFTER)
    return None


def operator_request(
    lost_quorum: Callable[[str], Exception] | None = None,
) -> Callable[[Handler], Handler]:
    """Return a decorator for handlers that serve operators.

    It checks the operators' key and maps consensus errors to responses. With lost_quorum, a quorum
    must stay in contact while the handler runs; when the contact is lost, the handler is cancelled
    and ends with this error. Without it, the handler checks the contact itself.
    """

    def decorate(handler: Handler) -> Handler:
        @wraps(handler)
        async def answer(server: ConfigStore, request: Request) -> Response:
            refusal = unauthorized(server, request) or unavailable(server, request)
            if refusal:
                return refusal
            try:
                if lost_quorum is None:
                    return await handler(server, request)
                writing = request.method == "POST"
                monitor = server.quorum_monitor
                await monitor.require_quorum(writing)
                return await monitor.run_while_quorum(
                    lambda: handler(server, request), lambda: lost_quorum("contact"), writing
                )
            except QuorumUnreachable as cause:
                return redirect(request, cause.listeners.get(LISTENER))
            except BodyTooLarge:
                return Response(
                    413, {"code": "too_large", "errors": [f"over {MAX_CONFIGURATION_BYTES} bytes"]}
                )
            except NoQuorum:
                return no_quorum()
            except OutcomeUnknown:
                detail = "the change may have been made; ask about the plan"
                return Response(504, {"code": "unclear", "detail": detail})

        return answer

    return decorate


@table.on("POST", "/plan")
@operator_request(NoQuorum)
async def create_plan(server: ConfigStore, request: Request) -> Response:
    """Plan a configuration on the current revision."""
    body = await request.body(MAX_CONFIGURATION_BYTES)
    try:
        with room_to_parse(body, server.node.client_memory, ITEM_VALUE_MEMORY_BYTES):
            planned = await server.plans.create(body)
    except InvalidConfiguration as invalid:
        return Response(422, {"code": "invalid", "errors": invalid.errors})
    answer = {"plan": planned.plan_id, "base": planned.base, "changes": planned.changes}
    if planned.plan_id is None:
        return Response(200, answer)
    return Response(200, {**answer, "takes_effect": TAKES_EFFECT})


@table.on("POST", "/confirm")
@operator_request(OutcomeUnknown)
async def commit_plan(server: ConfigStore, request: Request) -> Response:
    """Commit a plan."""
    try:
        plan_id = json.loads(await request.body(COMMIT_BODY_MAX_BYTES))["plan"]
    except (ValueError, KeyError, TypeError):
        return Response(400, {"code": "malformed"})
    try:
        version = await server.plans.commit(plan_id)
    except PlanUnknown:
        return plan_unknown()
    except PlanExpired:
        return plan_expired(plan_id)
    except PlanOutdated as outdated:
        return plan_outdated(outdated)
    return Response(200, {"state": "confirmed", "plan": plan_id, "version": version})


@table.on("GET", "/plan/*")
@operator_request(NoQuorum)
async def get_plan(server: ConfigStore, request: Request) -> Response:
    """Report the state of a plan."""
    try:
        status = await server.plans.status(request.path.rpartition("/")[2])
    except PlanUnknown:
        return plan_unknown()
    return Response(
        200,
        {
            "plan": status.plan_id,
            "state": status.state.value,
            "version": status.version,
            "base": status.base,
            "head": status.current,
        },
    )


def plan_unknown() -> Response:
    """Build the response about a plan that no member has."""
    detail = "never made, or older than two plan lives: plan again"
    return Response(404, {"code": "plan_unknown", "detail": detail})


def plan_expired(plan_id: str) -> Response:
    """Build the response to the commit of a plan that is too old."""
    detail = f"a plan can be confirmed for {repair.PLAN_LIFETIME_US // SECOND} s; plan again"
    return Response(410, {"code": "plan_expired", "plan": plan_id, "detail": detail})


def plan_outdated(outdated: PlanOutdated) -> Response:
    """Build the response to the commit of a plan whose base is not the current revision."""
    return Response(
        409,
        {
            "code": "outdated",
            "plan": outdated.plan_id,
            "base": outdated.base,
            "head": outdated.current,
            "changed_since": outdated.changed_since,
        },
    )


@table.on("POST", "/items")
@operator_request()
async def change_items(server: ConfigStore, request: Request) -> Response:
    """Change either all items of a request, or none."""
    body = await request.body(MAX_CONFIGURATION_BYTES)
    with room_to_parse(body, server.node.client_memory, ITEM_VALUE_MEMORY_BYTES):
        return await change_items_of(server, body)


async def change_items_of(server: ConfigStore, body: bytes | bytearray) -> Response:
    """Carry out the change of a body that there is room to parse."""
    try:
        items = json.loads(body)["items"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return Response(400, {"code": "malformed", "detail": 'wanted: {"items": [...]}'})
    try:
        version = await server.item_changes.change(items)
    except InvalidItems as invalid:
        return Response(422, {"code": "invalid", "errors": invalid.errors})
    except VersionConflict as conflict:
        return Response(409, version_conflict(conflict))
    return Response(200, {"state": "accepted", "version": version})


def version_conflict(conflict: VersionConflict) -> dict[str, Any]:
    """Build the body of the response to a change that gives an existing version another content."""
    return {
        "code": "version_conflict",
        "detail": "another content stands under these numbers; nothing of the call holds",
        "items": [item._asdict() for item in conflict.conflicts],
    }


@table.on("GET", "/items")
@operator_request()
async def get_items(server: ConfigStore, request: Request) -> Response:
    """Return the items in force, by a quorum read."""
    deadline = monotonic_us() + server.operator_timing.read_us
    version, items = await server.item_changes.read(deadline)
    return Response(200, {"version": version, "items": items})


@table.on("GET", "/manifest")
@operator_request(NoQuorum)
async def get_configuration(server: ConfigStore, request: Request) -> Response:
    """Return the configuration in force, by a quorum read."""
    current = await server.plans.current_configuration()
    body = {
        "version": current.revision.version,
        "plan": current.revision.plan_id,
        "manifest": current.configuration,
    }
    return Response(200, body if current.items is None else {**body, "items": current.items})


@table.on("GET", "/audit")
@operator_request(NoQuorum)
async def get_audit_trail(server: ConfigStore, request: Request) -> Response:
    """Return the audit records up to the current revision, with their key and anchor."""
    deadline = monotonic_us() + server.operator_timing.change_us
    current = await server.revisions.read(deadline)
    state, records = await server.audit_log_transfer.fetch_records(current.version, deadline)
    if current.audit_record:
        records[current.version] = current.audit_record
    return Response(
        200,
        {
            "version": current.version,
            "key": server.audit_signer.key.as_dict(private=False),
            "anchor": state.anchor(),
            "records": list(records.values()),
        },
    )


@table.on("GET", "/status")
async def get_status(server: ConfigStore, request: Request) -> Response:
    """Return the state of the deployment as this member sees it, even without a quorum."""
    return unauthorized(server, request) or Response(200, await status_of(server))


@table.on("POST", "/members")
@operator_request()
async def change_members(server: ConfigStore, request: Request) -> Response:
    """Replace one member, or set all."""
    response: Response = await server.handle_members_request(request)
    return response


def no_quorum() -> Response:
    """Build the response when too few members answer and nothing was changed."""
    detail = "too few members of the register answer; nothing was changed"
    return Response(503, {"code": "no_majority", "detail": detail}, RETRY_AFTER)


def redirect(request: Request, address: str | None) -> Response:
    """Build the redirect to a member that has a quorum, if the address of one is known."""
    if address is None:
        return no_quorum()
    location = f"http://{address}{request.path}"
    return Response(307, {"code": "elsewhere"}, [(b"location", location.encode())])
