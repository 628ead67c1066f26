"""Real processes, real sockets, real files: a small fleet, as an operator and a caller see it."""

from __future__ import annotations

import json
import signal

import pytest
from fleets import small_fleet

from meadowdock.local_fleet.fleet import get


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with small_fleet(tmp_path_factory.mktemp("fleet")) as made:
        yield made


def test_served_by_http_and_refused_by_http(fleet):
    desk, paper = fleet.application
    status, told = get(f"{desk}:7400", "/balances/17")
    assert (status, told) == (
        200,
        {"service": "member-desk", "caller": "guest", "path": "/balances/17"},
    )
    fleet.wait_for_list(paper, "member-desk")
    assert get(f"{paper}:7400", "/balances/17")[0] == 200  # over the link to its neighbour
    assert get(f"{desk}:7400", "/nowhere") == (
        404,
        {"code": "way_unknown", "verdict": "not-run", "detail": "no way leads there"},
    )


def test_mdctl_reads_plans_confirms_and_settles(fleet, tmp_path):
    facts = fleet.ctl("get")
    changed = facts["manifest"] | {"load": {**facts["manifest"]["load"], "omega": 0.85}}
    path = tmp_path / "m.json"
    path.write_text(json.dumps(changed))
    planned = fleet.ctl("plan", str(path))
    assert planned["changes"]["load"] == {"omega": [0.95, 0.85]}
    assert fleet.ctl("settle", planned["plan"])["state"] == "open"
    version = fleet.ctl("confirm", planned["plan"])["version"]
    assert version == facts["version"] + 1
    assert fleet.ctl("settle", planned["plan"])["version"] == version
    assert fleet.ctl("get")["manifest"] == changed
    assert fleet.ctl("plan", "-", given=json.dumps(changed))["plan"] is None  # nothing to change
    with pytest.raises(RuntimeError, match="'services' is a required property"):
        fleet.ctl("plan", "-", given='{"ways": 1}')
    with pytest.raises(RuntimeError, match="plan_unknown"):
        fleet.ctl("confirm", "0" * 32)


def test_kill_9_of_the_whole_core_keeps_what_was_acknowledged(fleet):
    version = fleet.ctl("get")["version"]
    (core,) = fleet.core
    for role in ("mdconf", "mdreg"):
        fleet.stop(f"{role}-{core}", signal.SIGKILL)
        fleet.start_daemon(role, core)
    fleet.wait_ready(fleet.conf_http)
    assert fleet.ctl("get")["version"] == version


def test_a_polite_stop_exits_0(fleet):
    desk = next(iter(fleet.application))
    status, _ = fleet.stop(f"mdproxy-{desk}")  # killed, so not 0, if it takes too long
    assert status == 0
    fleet.start_daemon("mdproxy", desk)
    fleet.wait_ready([f"{desk}:7400"])
    assert get(f"{desk}:7400", "/balances/1")[0] == 200
