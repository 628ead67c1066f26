"""A small fleet of real processes, sockets and files, as its operators and callers see it."""

from __future__ import annotations

import json
import signal

import pytest
from fleets import small_fleet

from meadowdock.local_fleet.fleet import http_get


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with small_fleet(tmp_path_factory.mktemp("fleet")) as running_fleet:
        yield running_fleet


def test_http_calls_are_served_or_rejected(fleet):
    desk, paper = fleet.application
    status, body = http_get(f"{desk}:7400", "/balances/17")
    assert (status, body) == (
        200,
        {"service": "member-desk", "caller": "guest", "path": "/balances/17"},
    )
    fleet.wait_until_listed(paper, "member-desk")
    assert http_get(f"{paper}:7400", "/balances/17")[0] == 200  # forwarded to the other proxy
    assert http_get(f"{desk}:7400", "/nowhere") == (
        404,
        {"code": "way_unknown", "verdict": "not-run", "detail": "no way leads there"},
    )


def test_mdctl_reads_plans_confirms_and_settles(fleet, tmp_path):
    current = fleet.run_mdctl("get")
    changed = current["manifest"] | {"load": {**current["manifest"]["load"], "omega": 0.85}}
    path = tmp_path / "m.json"
    path.write_text(json.dumps(changed))
    planned = fleet.run_mdctl("plan", str(path))
    assert planned["changes"]["load"] == {"omega": [0.95, 0.85]}
    assert fleet.run_mdctl("settle", planned["plan"])["state"] == "open"
    version = fleet.run_mdctl("confirm", planned["plan"])["version"]
    assert version == current["version"] + 1
    assert fleet.run_mdctl("settle", planned["plan"])["version"] == version
    assert fleet.run_mdctl("get")["manifest"] == changed
    unchanged = fleet.run_mdctl("plan", "-", stdin=json.dumps(changed))
    assert unchanged["plan"] is None  # nothing to change
    with pytest.raises(RuntimeError, match="'services' is a required property"):
        fleet.run_mdctl("plan", "-", stdin='{"ways": 1}')
    with pytest.raises(RuntimeError, match="plan_unknown"):
        fleet.run_mdctl("confirm", "0" * 32)


def test_sigkill_of_the_whole_core_keeps_acknowledged_changes(fleet):
    version = fleet.run_mdctl("get")["version"]
    (core,) = fleet.core
    for role in ("mdconf", "mdreg"):
        fleet.stop(f"{role}-{core}", signal.SIGKILL)
        fleet.start_daemon(role, core)
    fleet.wait_ready(fleet.operator_addresses)
    assert fleet.run_mdctl("get")["version"] == version


def test_a_graceful_shutdown_exits_with_status_0(fleet):
    desk = next(iter(fleet.application))
    status, _ = fleet.stop(f"mdproxy-{desk}")  # killed, and then not 0, if it takes too long
    assert status == 0
    fleet.start_daemon("mdproxy", desk)
    fleet.wait_ready([f"{desk}:7400"])
    assert http_get(f"{desk}:7400", "/balances/1")[0] == 200
