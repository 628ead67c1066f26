"""The platform's settings file as the settings of a process, and the checks of those settings."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

from meadowdock.process import Node
from meadowdock.settings import (
    InvalidSettings,
    RetryBudgetSettings,
    passes_checks,
    schema_errors,
    validate_settings,
)

ADAPTER_FOLDER = Path(__file__).parents[2] / "platform"
sys.path.insert(0, str(ADAPTER_FOLDER))

from platform_adapter.settings import Settings, load_settings  # noqa: E402
from platform_adapter.times import parse_time  # noqa: E402

EXAMPLE_FILE = """
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
VALID = {
    "host": "127.0.0.1",
    "hall": "a",
    "seeds": ["127.0.0.1:7411"],
    "fleet_key": "ab" * 32,
}


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(EXAMPLE_FILE)
    return path


def test_platform_is_still_the_standard_library():
    completed = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.python_version())"],
        env={**os.environ, "PYTHONPATH": str(ADAPTER_FOLDER)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.startswith("3.")
    assert not (ADAPTER_FOLDER / "__init__.py").exists()
    import platform

    assert Path(platform.__file__).parent == Path(os.__file__).parent


def test_a_proxy_gets_its_addresses_zone_and_bounds(file):
    settings = Settings("mdproxy", file)
    process = settings.process_settings
    assert (process.host, process.zone, process.service) == ("127.0.9.1", "hill-a", "mill")
    assert process.seeds == ("127.0.9.1:9100", "127.0.9.2:9100")
    assert (process.link_port, process.http_port, process.gate_port) == (9102, 9106, 9103)
    assert process.gate_address == "127.0.9.1:9091"
    assert (process.heartbeat_us, process.catch_up_us, process.drain_us) == (
        700_000,
        2_500_000,
        1_500_000,
    )
    assert (process.linger_us, process.stop_us) == (2_300_000, 5_000_000)
    assert process.retry_budget == RetryBudgetSettings(ratio=0.25, window_us=8_000_000, reserve=30)
    assert process.may_bootstrap is True
    assert process.losses == 2
    assert process.data is None
    assert settings.listeners == {"readiness": "127.0.9.1:9092", "controlPlane": "127.0.9.1:9090"}


def test_the_core_roles_have_ports_of_their_own(file):
    conf, reg = Settings("mdconf", file).process_settings, Settings("mdreg", file).process_settings
    assert (conf.link_port, conf.http_port) == (9100, 9104)
    assert (reg.link_port, reg.http_port) == (9101, 9105)
    assert (conf.data, conf.members, reg.data) == ("DATA", (), None)
    assert conf.rpc_address in conf.seeds


def test_each_deployment_has_a_fleet_key_of_its_own(file):
    key = Settings("mdreg", file).process_settings.fleet_key
    file.write_text(EXAMPLE_FILE.replace('zone = "hill-a"', 'zone = "vale-b"'))
    assert Settings("mdconf", file).process_settings.fleet_key == key
    file.write_text(EXAMPLE_FILE.replace("vale-b", "vale-c"))
    assert Settings("mdreg", file).process_settings.fleet_key != key


def test_every_error_is_named_and_ends_with_status_2(file, monkeypatch, capsys):
    invalid_file = EXAMPLE_FILE.replace('"6s"', '"6 hours"').replace("[9100, 9115]", "[9100, 9102]")
    file.write_text(
        invalid_file.replace('zone = "hill-a"', "zone = 7").replace("outboundProxy", "other")
    )
    monkeypatch.setenv("MEADOWDOCK_CONFIG", str(file))
    with pytest.raises(SystemExit) as exit_info:
        load_settings("mdproxy")
    assert exit_info.value.code == 2
    reported = capsys.readouterr().err
    for path in (
        "localNode.zone:",
        "network.internalPortRange:",
        "ruleBounds.gracePeriod:",
        "listenAddresses.outboundProxy: is missing",
    ):
        assert path in reported
    assert len(reported.splitlines()) == 4


@pytest.mark.parametrize("content", [b"[localNode", b"\xff", b""])
def test_a_file_that_cant_be_parsed_or_is_empty_is_rejected(file, content):
    file.write_bytes(content)
    with pytest.raises(InvalidSettings):
        Settings("mdreg", file)


def test_a_changed_file_is_reread_and_an_invalid_one_changes_nothing(file, capsys):
    settings = Settings("mdproxy", file)
    assert settings.reread() is None
    file.write_text(EXAMPLE_FILE.replace('service = "mill"', 'service = "forge-house"'))
    assert settings.reread().service == "forge-house"
    assert settings.reread(forced=True) is None
    file.write_text("nonsense")
    assert settings.reread() is None
    assert "no TOML" in capsys.readouterr().err
    assert settings.process_settings.service == "forge-house"
    file.write_text(EXAMPLE_FILE)
    assert settings.reread().service == "mill"


@pytest.mark.parametrize("text", ["", "5", "5m", "-1s", "1e3ms", "1.s", " 1s", "٣s", 5, None])
def test_times_are_a_number_and_a_unit(text):
    with pytest.raises(ValueError, match="is no time"):
        parse_time(text)


INVALID_VALUES = {
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


@pytest.mark.parametrize(
    ("name", "value"), [(n, v) for n, vs in INVALID_VALUES.items() for v in vs]
)
def test_an_invalid_setting_is_rejected_with_its_path(name, value):
    with pytest.raises(InvalidSettings, match=f"boot.{name}"):
        validate_settings("mdreg", {**VALID, name: value})


@pytest.mark.parametrize(
    ("name", "value"), [(n, v) for n, vs in INVALID_VALUES.items() for v in vs] + [("other", 1)]
)
def test_the_checks_pass_nothing_that_the_schema_rejects(name, value):
    fields = {**VALID, name: value}
    assert not (passes_checks(fields) and schema_errors(fields))


def test_defaults_and_a_config_store_without_listed_members():
    process = validate_settings("mdconf", {**VALID, "data": "x", "members": []})
    assert process.members == ()
    assert (process.may_bootstrap, process.losses, process.gate_address, process.service) == (
        True,
        1,
        None,
        None,
    )
    assert process.linger_us < process.stop_us
    assert process.retry_budget.reserve == 24
    assert passes_checks(VALID)
    with pytest.raises(InvalidSettings, match="'members' is needed"):
        validate_settings("mdconf", {**VALID, "data": "x"})


def test_valid_settings_dont_import_the_schema_checker(file):
    program = (
        "import sys; from platform_adapter.settings import Settings;"
        f"Settings('mdproxy', {str(file)!r});"
        "print([m for m in ('jsonschema', 'fire', 'mdconf', 'mdreg') if m in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program],
        env={**os.environ, "PYTHONPATH": str(ADAPTER_FOLDER)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout == "[]\n"


def test_a_running_node_applies_seeds_service_and_retry_budget_but_not_addresses(file):
    settings = Settings("mdproxy", file)
    notified = []
    node = SimpleNamespace(
        settings=settings.process_settings,
        membership=SimpleNamespace(seeds=settings.process_settings.seeds),
        daemon=SimpleNamespace(settings_changed=notified.append),
    )
    changed = EXAMPLE_FILE.replace("127.0.9.2:9090", "127.0.9.3:9090").replace("9091", "9099")
    file.write_text(changed.replace('"mill"', '"forge"').replace("0.25", "0.5"))
    Node.apply_settings(node, settings.reread())
    assert node.settings.seeds == node.membership.seeds == ("127.0.9.1:9100", "127.0.9.3:9100")
    assert (node.settings.service, node.settings.retry_budget.ratio) == ("forge", 0.5)
    assert node.settings.gate_address == "127.0.9.1:9091"
    assert notified == [node.settings]
