"""Translation of the operator's calls and the endpoints' heartbeats, and the listeners for them."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio

from meadowdock.admin_http import App
from meadowdock.configuration.items import InvalidItems, current_items, merge_items, validate_items
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.proxy.exceptions import RegistrationDenied
from meadowdock.runtime.client_memory import ClientMemory

sys.path.insert(0, str(Path(__file__).parents[2] / "platform"))

from platform_adapter import items  # noqa: E402
from platform_adapter.endpoint_api import HEARTBEAT_MAX_BYTES, endpoint_routes, readiness_routes  # noqa: E402
from platform_adapter.listeners import tables_by_address  # noqa: E402
from platform_adapter.operator_api import control_routes  # noqa: E402


def entry(kind, name, version, **spec):
    metadata = {"name": name, "configVersion": f"r{version}"} if name else {"configVersion": "r1"}
    return {"resourceType": kind, "metadata": metadata, "specification": spec}


def route(name="grind", version=3, **spec):
    defaults = {
        "host": "Mill.example",
        "pathPrefix": "/grain/",
        "routeType": "non_idempotent",
        "timeout": "1.5s",
        "targetLatency": "250ms",
        "priority": 1,
        "retryCount": 2,
        "trafficSplit": [{"service": "mill", "weight": 3}, {"service": "forge", "weight": 0}],
    }
    defaults |= spec
    return entry("routeTable", name, version, **{k: v for k, v in defaults.items() if v is not ...})


SERVICES = [
    entry("serviceTable", "mill", 1, healthCheckPath="/well", maxConnections=20, protocol="h1"),
    entry("serviceTable", "forge", 2, note='naïve \\ "quoted" \u2028', share=1.0, deep=[{}, None]),
]
LIMITS = entry(
    "limits",
    None,
    1,
    maxHeaderBytes=9000,
    maxBodyBytes=1 << 20,
    headerTimeout="2s",
    idleTimeout="10s",
)


def change(*entries, **remove):
    return json.dumps({"upsert": {"resourceList": entries}, "remove": remove}).encode()


def test_a_change_becomes_items():
    translated = items.items_from_change(
        change(route(), *SERVICES, LIMITS, routeTable=[removal("old", 12)])
    )
    assert validate_items(translated) == []
    grind, mill, _, limits, removed = translated
    assert (grind["kind"], grind["version"]) == ("route", 3)
    assert grind["spec"] == {
        "host": "Mill.example",
        "prefix": "/grain/",
        "repeat": "once",
        "timeout_us": 1_500_000,
        "aim_us": 250_000,
        "priority": 1,
        "split": [["mill", 3], ["forge", 0]],
        "tries": 2,
    }
    assert mill["spec"] == {"health": "/well", "connections": 20}
    assert (limits["kind"], limits["name"]) == ("limits", "")
    assert limits["spec"]["idle_us"] == 10_000_000
    assert removed == {"kind": "route", "name": "old", "version": 12, "spec": None, "source": ""}


def removal(name, version):
    return {"name": name, "configVersion": f"r{version}"}


def test_one_service_is_a_split_of_one():
    (item,) = items.items_from_change(change(route(trafficSplit=..., service="mill")))
    assert item["spec"]["split"] == [["mill", 1]]


def test_a_fetch_returns_the_entries_that_were_sent():
    sent = [LIMITS, route(), *SERVICES]
    stored, _ = merge_items({}, items.items_from_change(change(*sent)))
    body = items.items_to_body(current_items(stored))
    assert sorted(json.loads(body)["resourceList"], key=str) == sorted(sent, key=str)
    assert json.loads(items.items_to_body([])) == {"resourceList": []}


def test_an_item_of_the_products_own_api_is_fetched_as_an_equivalent_entry():
    sent = [route(timeout="1500ms"), LIMITS]
    without_source = [{**item, "source": ""} for item in items.items_from_change(change(*sent))]
    entries = json.loads(items.items_to_body(without_source))["resourceList"]
    translated = items.items_from_change(change(*entries))
    assert [{**item, "source": ""} for item in translated] == without_source


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"7",
        b"\xff",
        change(route())[:-1],
        b'{"upsert": {"resourceList": [NaN]}}',
        b'{"upsert": {"resourceList": [1e999]}}',
        b'{"upsert": {}, "upsert": {}}',
        b'{"upsert": []}',
        b'{"upsert": {"resourceList": {}}}',
        b'{"upsert": {"resourceList": [7]}}',
        b'{"remove": {"routeTable": {}}}',
        b'{"remove": {"routeTable": ["a"]}}',
        b'{"remove": null}',
        b'{"x": "\\ud800"}',
        b"[" * 100_000,
        change({**route(), "metadata": None}),
        change({**route(), "specification": None}),
        change({**route(), "resourceType": ["routeTable"]}),
    ],
)
def test_a_call_whose_shape_cant_be_read_is_malformed(body):
    with pytest.raises(items.Malformed):
        items.items_from_change(body)


@pytest.mark.parametrize(
    "invalid_entry",
    [
        route(host=""),
        route(host=...),
        route(timeout="601s"),
        route(timeout="0ms"),
        route(timeout=2000),
        route(timeout="2000"),
        route(retryCount=0),
        route(retryCount=True),
        route(retryCount=1.5),
        route(routeType="often"),
        route(routeType="safe"),
        route(trafficSplit=[["mill", 1]]),
        route(targetLatency=5),
        route(targetLatency=None),
        {**route(), "resourceType": "route"},
        route(routeType=["idempotent"]),
        route(pathPrefix="/open"),
        route(trafficSplit=[]),
        route(trafficSplit=...),
        route(trafficSplit=[{"service": "mill", "weight": -1}]),
        route(trafficSplit=[{"service": "mill"}]),
        route(trafficSplit=[{"service": "mill", "weight": True}]),
        route(name=7),
        {**route(), "metadata": {"name": "grind", "configVersion": 3}},
        {**route(), "metadata": {"name": "grind", "configVersion": "r-3"}},
        {**route(), "metadata": {"name": "grind", "configVersion": "r" + "9" * 30}},
        {**route(), "resourceType": "otherTable"},
        {**LIMITS, "specification": {**LIMITS["specification"], "idleTimeout": "soon"}},
    ],
)
def test_a_value_without_a_counterpart_is_rejected_by_the_products_check(invalid_entry):
    assert validate_items(items.items_from_change(change(invalid_entry, *SERVICES)))
    assert not validate_items(items.items_from_change(change(route(), *SERVICES, LIMITS)))


class ConfigStoreStub:
    """A config store that keeps its items in a dict."""

    def __init__(self, error_type=None):
        self.store = SimpleNamespace(membership=object())
        self.node = SimpleNamespace(
            runtime=SimpleNamespace(offload=self.offload), client_memory=ClientMemory(None)
        )
        self.stored, self.error_type, self.offloaded = {}, error_type, 0

    async def offload(self, work, *args):
        self.offloaded += 1
        return work(*args)

    def raise_error(self):
        if self.store.membership is None:
            raise NoQuorum("members")
        if self.error_type:
            raise self.error_type("x")

    async def change_items(self, change):
        self.raise_error()
        errors = validate_items(change)
        if errors:
            raise InvalidItems(errors)
        self.stored, _ = merge_items(self.stored, change)
        return 1

    async def read_items(self):
        self.raise_error()
        return current_items(self.stored)


def response_to(table, owner, method, path, body=b""):
    """Return (status, headers, JSON body) of the response to one request."""
    sent = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(event):
        sent.append(event)

    async def serve():
        headers = [(b"content-length", str(len(body)).encode())]
        scope = {"type": "http", "method": method, "path": path, "query_string": b""}
        await App(table, owner, None)({**scope, "headers": headers}, receive, send)

    trio.run(serve)
    return sent[0]["status"], dict(sent[0]["headers"]), json.loads(sent[1]["body"])


def modify(daemon, body):
    return response_to(control_routes, daemon, "POST", "/api/config/modify", body)


def test_a_change_is_stored_and_fetched_and_an_invalid_one_changes_nothing():
    daemon = ConfigStoreStub()
    assert modify(daemon, change(route(), *SERVICES))[::2] == (200, {})
    status, _, fetched = response_to(control_routes, daemon, "GET", "/api/config/fetch")
    assert (status, len(fetched["resourceList"])) == (200, 3)
    for body, expected_word in (
        (change(route(version=9, service="none", trafficSplit=...)), "none"),
        (change(serviceTable=[removal("mill", 9)]), "mill"),
        (change(route(version=9, retryCount=0)), "tries"),
        (b"{", "JSON"),
    ):
        status, _, error = modify(daemon, body)
        assert status == 400
        assert expected_word in error["errorMessage"]
    assert response_to(control_routes, daemon, "GET", "/api/config/fetch")[2] == fetched


def test_another_content_under_a_known_version_is_a_conflict():
    daemon = ConfigStoreStub()
    assert modify(daemon, change(route(), *SERVICES))[0] == 200
    assert modify(daemon, change(route(), *SERVICES))[::2] == (200, {})
    status, _, error = modify(daemon, change(entry("serviceTable", "new", 1), route(retryCount=3)))
    assert status == 409
    assert "routeTable grind r3" in error["errorMessage"]
    assert modify(daemon, change(routeTable=[removal("grind", 3)]))[0] == 409
    fetched = response_to(control_routes, daemon, "GET", "/api/config/fetch")[2]["resourceList"]
    assert route() in fetched
    assert "new" not in [listed["metadata"].get("name") for listed in fetched]
    assert modify(daemon, change(route(version=5)))[0] == 200
    assert modify(daemon, change(route()))[0] == 200  # sent again after a newer version
    assert modify(daemon, change(route(retryCount=3)))[0] == 409


def test_a_large_change_is_parsed_in_a_thread():
    daemon = ConfigStoreStub()
    large = [entry("serviceTable", f"s{n}", 1, note="x" * 500) for n in range(100)]
    assert modify(daemon, change(*large))[0] == 200
    assert daemon.offloaded == 1
    assert len(daemon.stored) == 100


@pytest.mark.parametrize(("error_type", "status"), [(NoQuorum, 503), (OutcomeUnknown, 504)])
def test_consensus_errors_become_the_platforms_statuses(error_type, status):
    daemon = ConfigStoreStub(error_type)
    actual_status, headers, error = modify(daemon, change(*SERVICES))
    assert actual_status == status
    assert error["errorMessage"]
    assert (b"retry-after" in headers) is (status == 503)
    assert response_to(control_routes, daemon, "GET", "/api/config/fetch")[0] == status
    daemon.store.membership = None
    assert modify(daemon, change(*SERVICES))[0] == 503


class ProxyStub:
    """A proxy that records heartbeats and deregistrations."""

    def __init__(self, reasons=()):
        self.logged = []
        self.node = SimpleNamespace(
            unready_reasons=lambda: list(reasons),
            log=lambda number, **fields: self.logged.append(number),
        )
        self.received = []

    def endpoint_heartbeat(self, fields):
        if fields["service"] == "stranger":
            raise RegistrationDenied(403, "stranger")
        self.received.append(fields)

    def deregister_endpoint(self, instance):
        self.received.append(instance)


HEARTBEAT = {
    "service": "mill",
    "address": "127.0.9.1:80",
    "zone": "hill-a",
    "configVersion": "v1",
    "capacitySlots": 4,
    "state": "ready",
    "warmupLeft": "1.2s",
    "callSequence": 7,
}


def status_of_call(daemon, content, action="heartbeat"):
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    return response_to(endpoint_routes, daemon, "POST", f"/api/instances/i-1/{action}", body)[0]


def test_heartbeats_and_the_deregistration_of_an_endpoint():
    daemon = ProxyStub()
    assert status_of_call(daemon, HEARTBEAT) == 200
    assert status_of_call(daemon, {**HEARTBEAT, "state": "draining"}) == 200
    assert status_of_call(daemon, b"", "deregister") == 200
    heartbeat, draining_heartbeat, deregistered = daemon.received
    assert heartbeat == {
        "service": "mill",
        "address": "127.0.9.1:80",
        "instance": "i-1",
        "capacity": 4,
        "draining": False,
        "warm_us": 1_200_000,
        "sequence": 7,
    }
    assert draining_heartbeat == {**heartbeat, "draining": True}
    assert deregistered == "i-1"


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (b"{", 400),
        ([], 400),
        ({**HEARTBEAT, "state": "well"}, 400),
        ({**HEARTBEAT, "capacitySlots": -1}, 400),
        ({**HEARTBEAT, "callSequence": True}, 400),
        ({**HEARTBEAT, "warmupLeft": "soon"}, 400),
        ({**HEARTBEAT, "service": ""}, 400),
        ({**HEARTBEAT, "service": "stranger"}, 400),
        ({**HEARTBEAT, "more": "x" * HEARTBEAT_MAX_BYTES}, 413),
    ],
)
def test_an_invalid_heartbeat_is_rejected(content, status):
    daemon = ProxyStub()
    assert status_of_call(daemon, content) == status
    assert daemon.received == []


def test_readiness_and_listeners_that_share_an_address():
    assert response_to(readiness_routes, ProxyStub(), "GET", "/api/readiness")[0] == 200
    status, _, error = response_to(
        readiness_routes, ProxyStub(["stopping"]), "GET", "/api/readiness"
    )
    assert (status, error["errorMessage"]) == (503, "stopping")
    settings = SimpleNamespace(listeners={"controlPlane": "a:1", "readiness": "a:1"})
    (shared,) = tables_by_address(
        settings, {"controlPlane": endpoint_routes, "readiness": readiness_routes}
    ).values()
    assert response_to(shared, ProxyStub(), "GET", "/api/readiness")[0] == 200
    assert status_of_heartbeat_at(shared) == 200
    assert readiness_routes.prefixes == []


def status_of_heartbeat_at(table):
    body = json.dumps(HEARTBEAT).encode()
    return response_to(table, ProxyStub(), "POST", "/api/instances/i-1/heartbeat", body)[0]
