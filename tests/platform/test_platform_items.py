"""The operator's calls and the endpoints' heartbeats, translated; the listeners that take them."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio

from meadowdock.admin_http import App
from meadowdock.configuration.items import InvalidItems, current_items, merge, validate_items
from meadowdock.consensus import NoQuorum, OutcomeUnknown
from meadowdock.proxy.exceptions import RegistrationDenied

sys.path.insert(0, str(Path(__file__).parents[2] / "platform"))

from platform_adapter import items  # noqa: E402
from platform_adapter.endpoint_api import HEARTBEAT_MAX_BYTES, endpoint_calls, readiness  # noqa: E402
from platform_adapter.listeners import tables_by_address  # noqa: E402
from platform_adapter.operator_api import control  # noqa: E402


def entry(kind, name, version, **spec):
    metadata = {"name": name, "configVersion": f"r{version}"} if name else {"configVersion": "r1"}
    return {"resourceType": kind, "metadata": metadata, "specification": spec}


def route(name="grind", version=3, **spec):
    plain = {
        "host": "Mill.example",
        "pathPrefix": "/grain/",
        "routeType": "non_idempotent",
        "timeout": "1.5s",
        "targetLatency": "250ms",
        "priority": 1,
        "retryCount": 2,
        "trafficSplit": [{"service": "mill", "weight": 3}, {"service": "forge", "weight": 0}],
    }
    plain |= spec
    return entry("routeTable", name, version, **{k: v for k, v in plain.items() if v is not ...})


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
    read = items.read(change(route(), *SERVICES, LIMITS, routeTable=[drop("old", 12)]))
    assert validate_items(read) == []
    first, mill, _, limits, dropped = read
    assert (first["kind"], first["version"]) == ("route", 3)
    assert first["spec"] == {
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
    assert dropped == {"kind": "route", "name": "old", "version": 12, "spec": None, "source": ""}


def drop(name, version):
    return {"name": name, "configVersion": f"r{version}"}


def test_one_service_is_a_split_of_one():
    (read,) = items.read(change(route(trafficSplit=..., service="mill")))
    assert read["spec"]["split"] == [["mill", 1]]


def test_the_read_back_gives_what_was_sent():
    sent = [LIMITS, route(), *SERVICES]
    held, _ = merge({}, items.read(change(*sent)))
    back = items.written(current_items(held))
    assert sorted(json.loads(back)["resourceList"], key=str) == sorted(sent, key=str)
    assert json.loads(items.written([])) == {"resourceList": []}


def test_an_item_of_the_products_own_door_reads_back_as_the_like():
    sent = [route(timeout="1500ms"), LIMITS]
    plain = [{**item, "source": ""} for item in items.read(change(*sent))]
    told = json.loads(items.written(plain))["resourceList"]
    again = items.read(change(*told))
    assert [{**item, "source": ""} for item in again] == plain


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
def test_a_call_that_cant_be_read_whole_is_malformed(body):
    with pytest.raises(items.Malformed):
        items.read(body)


@pytest.mark.parametrize(
    "wrong",
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
def test_what_has_no_counterpart_is_refused_by_the_products_check(wrong):
    assert validate_items(items.read(change(wrong, *SERVICES)))
    assert not validate_items(items.read(change(route(), *SERVICES, LIMITS)))


# ---------------------------------------------------------------- the listeners


class Kept:
    """An mdconf's part, its register a dict of this process."""

    def __init__(self, fails=None):
        self.store = SimpleNamespace(membership=object())
        self.node = SimpleNamespace(runtime=SimpleNamespace(offload=self.apart))
        self.held, self.fails, self.beside = {}, fails, 0

    async def apart(self, work, *args):
        self.beside += 1
        return work(*args)

    def check(self):
        if self.store.membership is None:
            raise NoQuorum("members")
        if self.fails:
            raise self.fails("x")

    async def change_items(self, change):
        self.check()
        errors = validate_items(change)
        if errors:
            raise InvalidItems(errors)
        self.held, _ = merge(self.held, change)
        return 1

    async def read_items(self):
        self.check()
        return current_items(self.held)


def asked(table, owner, method, path, body=b""):
    """(status, headers, JSON) of one request."""
    sent = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(event):
        sent.append(event)

    async def ask():
        headers = [(b"content-length", str(len(body)).encode())]
        scope = {"type": "http", "method": method, "path": path, "query_string": b""}
        await App(table, owner, None)({**scope, "headers": headers}, receive, send)

    trio.run(ask)
    return sent[0]["status"], dict(sent[0]["headers"]), json.loads(sent[1]["body"])


def modify(daemon, body):
    return asked(control, daemon, "POST", "/api/config/modify", body)


def test_a_change_is_taken_and_read_back_and_an_invalid_one_changes_nothing():
    daemon = Kept()
    assert modify(daemon, change(route(), *SERVICES))[::2] == (200, {})
    status, _, told = asked(control, daemon, "GET", "/api/config/fetch")
    assert (status, len(told["resourceList"])) == (200, 3)
    for body, word in (
        (change(route(version=9, service="none", trafficSplit=...)), "none"),
        (change(serviceTable=[drop("mill", 9)]), "mill"),
        (change(route(version=9, retryCount=0)), "tries"),
        (b"{", "JSON"),
    ):
        status, _, why = modify(daemon, body)
        assert status == 400
        assert word in why["errorMessage"]
    assert asked(control, daemon, "GET", "/api/config/fetch")[2] == told


def test_another_content_under_a_known_version_is_a_conflict():
    daemon = Kept()
    assert modify(daemon, change(route(), *SERVICES))[0] == 200
    assert modify(daemon, change(route(), *SERVICES))[::2] == (200, {})
    status, _, why = modify(daemon, change(entry("serviceTable", "new", 1), route(retryCount=3)))
    assert status == 409
    assert "routeTable grind r3" in why["errorMessage"]
    assert modify(daemon, change(routeTable=[drop("grind", 3)]))[0] == 409
    told = asked(control, daemon, "GET", "/api/config/fetch")[2]["resourceList"]
    assert route() in told
    assert "new" not in [given["metadata"].get("name") for given in told]
    assert modify(daemon, change(route(version=5)))[0] == 200
    assert modify(daemon, change(route()))[0] == 200  # sent again after a newer version
    assert modify(daemon, change(route(retryCount=3)))[0] == 409


def test_a_large_change_is_read_beside_the_loop():
    daemon = Kept()
    large = [entry("serviceTable", f"s{n}", 1, note="x" * 500) for n in range(100)]
    assert modify(daemon, change(*large))[0] == 200
    assert daemon.beside == 1
    assert len(daemon.held) == 100


@pytest.mark.parametrize(("fails", "status"), [(NoQuorum, 503), (OutcomeUnknown, 504)])
def test_a_register_that_doesnt_answer(fails, status):
    daemon = Kept(fails)
    got, headers, why = modify(daemon, change(*SERVICES))
    assert got == status
    assert why["errorMessage"]
    assert (b"retry-after" in headers) is (status == 503)
    assert asked(control, daemon, "GET", "/api/config/fetch")[0] == status
    daemon.store.membership = None
    assert modify(daemon, change(*SERVICES))[0] == 503


class Beside:
    def __init__(self, why=()):
        self.logged = []
        self.node = SimpleNamespace(
            unready_reasons=lambda: list(why),
            log=lambda number, **facts: self.logged.append(number),
        )
        self.told = []

    def endpoint_heartbeat(self, facts):
        if facts["service"] == "stranger":
            raise RegistrationDenied(403, "stranger")
        self.told.append(facts)

    def deregister_endpoint(self, instance):
        self.told.append(instance)


BEAT = {
    "service": "mill",
    "address": "127.0.9.1:80",
    "zone": "hill-a",
    "configVersion": "v1",
    "capacitySlots": 4,
    "state": "ready",
    "warmupLeft": "1.2s",
    "callSequence": 7,
}


def beat(daemon, facts, verb="heartbeat"):
    body = facts if isinstance(facts, bytes) else json.dumps(facts).encode()
    return asked(endpoint_calls, daemon, "POST", f"/api/instances/i-1/{verb}", body)[0]


def test_heartbeats_and_the_deregistration_of_an_endpoint():
    daemon = Beside()
    assert beat(daemon, BEAT) == 200
    assert beat(daemon, {**BEAT, "state": "draining"}) == 200
    assert beat(daemon, b"", "deregister") == 200
    first, second, last = daemon.told
    assert first == {
        "service": "mill",
        "address": "127.0.9.1:80",
        "instance": "i-1",
        "capacity": 4,
        "draining": False,
        "warm_us": 1_200_000,
        "sequence": 7,
    }
    assert second == {**first, "draining": True}
    assert last == "i-1"


@pytest.mark.parametrize(
    ("facts", "status"),
    [
        (b"{", 400),
        ([], 400),
        ({**BEAT, "state": "well"}, 400),
        ({**BEAT, "capacitySlots": -1}, 400),
        ({**BEAT, "callSequence": True}, 400),
        ({**BEAT, "warmupLeft": "soon"}, 400),
        ({**BEAT, "service": ""}, 400),
        ({**BEAT, "service": "stranger"}, 400),
        ({**BEAT, "more": "x" * HEARTBEAT_MAX_BYTES}, 413),
    ],
)
def test_a_wrong_beat_is_refused(facts, status):
    daemon = Beside()
    assert beat(daemon, facts) == status
    assert daemon.told == []


def test_readiness_and_listeners_that_share_an_address():
    assert asked(readiness, Beside(), "GET", "/api/readiness")[0] == 200
    status, _, why = asked(readiness, Beside(["stopping"]), "GET", "/api/readiness")
    assert (status, why["errorMessage"]) == (503, "stopping")
    both = SimpleNamespace(listeners={"controlPlane": "a:1", "readiness": "a:1"})
    (shared,) = tables_by_address(
        both, {"controlPlane": endpoint_calls, "readiness": readiness}
    ).values()
    assert asked(shared, Beside(), "GET", "/api/readiness")[0] == 200
    assert beat_at(shared) == 200
    assert readiness.prefixes == []


def beat_at(table):
    body = json.dumps(BEAT).encode()
    return asked(table, Beside(), "POST", "/api/instances/i-1/heartbeat", body)[0]
