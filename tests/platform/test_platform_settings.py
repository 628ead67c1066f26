"""The platform's settings file as a boot; the boot's own new fields."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

from meadowdock.settings import (
    InvalidSettings,
    RetryBudgetSettings,
    checked,
    passes_checks,
    schema_errors,
)

FOLDER = Path(__file__).parents[2] / "platform"
sys.path.insert(0, str(FOLDER))

from platform_adapter.main import apply_settings  # noqa: E402
from platform_adapter.settings import Settings, load  # noqa: E402
from platform_adapter.times import as_us  # noqa: E402

EXAMPLE = """
[localNode]
ipAddress = "127.0.9.1"
zone = "hill-a"
bootstrap = true
dataDirectory = "DATA"
service = "mill"
later = "unknown"
[network]
internalPortRange = [9100, 9115]
seedNodes = ["127.0.9.1:9090", "127.0.9.2:9090"]
[network.listenAddresses]
outboundProxy = "127.0.9.1:9091"
readiness = "127.0.9.1:9092"
controlPlane = "127.0.9.1:9090"
[network.zones]
hill-a = "land"
vale-b = "land"
[platform]
heartbeatInterval = "700ms"
[policyTerms.faultTolerance]
machineFailures = 2
[policyTerms.ruleBounds]
catchUp = "2.5s"
gracePeriod = "6s"
drainTimeout = "1500ms"
retryBudgetRatio = 0.25
retryWindow = "8s"
retryBudgetSlack = 30
"""
GOOD = {
    "host": "127.0.0.1",
    "hall": "a",
    "seeds": ["127.0.0.1:7411"],
    "fleet_key": "ab" * 32,
}


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(EXAMPLE)
    return path


def test_platform_is_still_the_standard_library():
    found = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.python_version())"],
        env={**os.environ, "PYTHONPATH": str(FOLDER)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.startswith("3.")
    assert not (FOLDER / "__init__.py").exists()
    import platform

    assert Path(platform.__file__).parent == Path(os.__file__).parent


def test_a_proxy_is_told_its_place_and_the_bounds(file):
    settings = Settings("mdproxy", file)
    boot = settings.boot
    assert (boot.host, boot.zone, boot.service) == ("127.0.9.1", "hill-a", "mill")
    assert boot.seeds == ("127.0.9.1:9100", "127.0.9.2:9100")
    assert (boot.link_port, boot.http_port, boot.gate_port) == (9102, 9106, 9103)
    assert boot.gate_address == "127.0.9.1:9091"
    assert (boot.heartbeat_us, boot.catch_up_us, boot.drain_us) == (700_000, 2_500_000, 1_500_000)
    assert (boot.linger_us, boot.stop_us) == (2_300_000, 5_000_000)
    assert boot.retry_budget == RetryBudgetSettings(ratio=0.25, window_us=8_000_000, reserve=30)
    assert boot.may_bootstrap is True
    assert boot.losses == 2
    assert boot.data is None
    assert settings.listeners == {"readiness": "127.0.9.1:9092", "controlPlane": "127.0.9.1:9090"}


def test_the_core_roles_have_ports_of_their_own(file):
    conf, reg = Settings("mdconf", file).boot, Settings("mdreg", file).boot
    assert (conf.link_port, conf.http_port) == (9100, 9104)
    assert (reg.link_port, reg.http_port) == (9101, 9105)
    assert (conf.data, conf.members, reg.data) == ("DATA", (), None)
    assert conf.link in conf.seeds


def test_one_key_for_a_deployment_and_another_for_another(file):
    key = Settings("mdreg", file).boot.fleet_key
    file.write_text(EXAMPLE.replace('zone = "hill-a"', 'zone = "vale-b"'))
    assert Settings("mdconf", file).boot.fleet_key == key
    file.write_text(EXAMPLE.replace("vale-b", "vale-c"))
    assert Settings("mdreg", file).boot.fleet_key != key


def test_every_error_is_named_and_ends_with_status_2(file, monkeypatch, capsys):
    bad = EXAMPLE.replace('"6s"', '"6 hours"').replace("[9100, 9115]", "[9100, 9102]")
    file.write_text(bad.replace('zone = "hill-a"', "zone = 7").replace("outboundProxy", "other"))
    monkeypatch.setenv("MEADOWDOCK_CONFIG", str(file))
    with pytest.raises(SystemExit) as ended:
        load("mdproxy")
    assert ended.value.code == 2
    told = capsys.readouterr().err
    for path in (
        "localNode.zone:",
        "network.internalPortRange:",
        "ruleBounds.gracePeriod:",
        "listenAddresses.outboundProxy: is missing",
    ):
        assert path in told
    assert len(told.splitlines()) == 4


@pytest.mark.parametrize("content", [b"[localNode", b"\xff", b""])
def test_a_file_that_cant_be_read_is_refused(file, content):
    file.write_bytes(content)
    with pytest.raises(InvalidSettings):
        Settings("mdreg", file)


def test_a_changed_file_is_noticed_and_a_bad_one_changes_nothing(file, capsys):
    settings = Settings("mdproxy", file)
    assert settings.reread() is None
    file.write_text(EXAMPLE.replace('service = "mill"', 'service = "forge-house"'))
    assert settings.reread().service == "forge-house"
    assert settings.reread(asked=True) is None
    file.write_text("nonsense")
    assert settings.reread() is None
    assert "no TOML" in capsys.readouterr().err
    assert settings.boot.service == "forge-house"
    file.write_text(EXAMPLE)
    assert settings.reread().service == "mill"


@pytest.mark.parametrize("text", ["", "5", "5m", "-1s", "1e3ms", "1.s", " 1s", "٣s", 5, None])
def test_times_are_a_number_and_a_unit(text):
    with pytest.raises(ValueError, match="is no time"):
        as_us(text)


WRONG = {
    "host": ["x", 7],
    "hall": ["A", ""],
    "seeds": [[], ["x"], ["127.0.0.1:1"] * 2, "127.0.0.1:1"],
    "members": [["x"], [f"127.0.0.{n}:1" for n in range(1, 7)]],
    "gate": ["127.0.0.1", 4],
    "gate_port": [0, 65536, True],
    "founding": [1, "yes"],
    "losses": [-1, 3, True],
    "linger_us": [0, "1s", 4_700_000],
    "beat_us": [1.5],
    "service": [""],
    "tries": [{}, {"ratio": 2, "window_us": 1, "reserve": 1}, {"ratio": 0.1, "window_us": 1}],
}


@pytest.mark.parametrize(("name", "value"), [(n, v) for n, vs in WRONG.items() for v in vs])
def test_a_wrong_field_of_a_boot_is_refused_by_its_path(name, value):
    with pytest.raises(InvalidSettings, match=f"boot.{name}"):
        checked("mdreg", {**GOOD, name: value})


@pytest.mark.parametrize(
    ("name", "value"), [(n, v) for n, vs in WRONG.items() for v in vs] + [("other", 1)]
)
def test_the_checks_pass_nothing_that_the_schema_rejects(name, value):
    facts = {**GOOD, name: value}
    assert not (passes_checks(facts) and schema_errors(facts))


def test_defaults_and_members_founded_by_the_seeds():
    boot = checked("mdconf", {**GOOD, "data": "x", "members": []})
    assert boot.members == ()
    assert (boot.may_bootstrap, boot.losses, boot.gate_address, boot.service) == (
        True,
        1,
        None,
        None,
    )
    assert boot.linger_us < boot.stop_us
    assert boot.retry_budget.reserve == 24
    assert passes_checks(GOOD)
    with pytest.raises(InvalidSettings, match="'members' is needed"):
        checked("mdconf", {**GOOD, "data": "x"})


def test_a_good_boot_needs_no_schema_checker(file):
    program = (
        "import sys; from platform_adapter.settings import Settings;"
        f"Settings('mdproxy', {str(file)!r});"
        "print([m for m in ('jsonschema', 'fire', 'mdconf', 'mdreg') if m in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program],
        env={**os.environ, "PYTHONPATH": str(FOLDER)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout == "[]\n"


def test_a_running_node_takes_over_seeds_service_and_tries_and_keeps_its_place(file):
    settings = Settings("mdproxy", file)
    heard = []
    node = SimpleNamespace(
        settings=settings.boot,
        view=SimpleNamespace(seeds=settings.boot.seeds),
        daemon=SimpleNamespace(settings_changed=heard.append),
    )
    changed = EXAMPLE.replace("127.0.9.2:9090", "127.0.9.3:9090").replace("9091", "9099")
    file.write_text(changed.replace('"mill"', '"forge"').replace("0.25", "0.5"))
    apply_settings(node, settings.reread())
    assert node.settings.seeds == node.view.seeds == ("127.0.9.1:9100", "127.0.9.3:9100")
    assert (node.settings.service, node.settings.retry_budget.ratio) == ("forge", 0.5)
    assert node.settings.gate_address == "127.0.9.1:9091"
    assert heard == [node.settings]
