"""The daemons' command line with settings files and flags, run as processes."""

from __future__ import annotations

import subprocess
import sys

import pytest

from meadowdock.local_fleet.fleet import PROGRAM_PACKAGES

VALID_SETTINGS = """
host = "127.0.0.1"
hall = "a"
seeds = ["127.0.0.1:7411"]
fleet_key = "%s"
data = "x"
members = ["127.0.0.1:7421"]
""" % ("ab" * 32)


def run_program(program, *arguments):
    argv = [sys.executable, "-m", PROGRAM_PACKAGES[program], *arguments]
    result = subprocess.run(argv, capture_output=True, text=True, timeout=30, check=False)
    return result.returncode, result.stdout, result.stderr


@pytest.mark.parametrize("role", ["mdproxy", "mdreg", "mdconf"])
def test_check_version_and_help(role, tmp_path):
    settings_file = tmp_path / "boot.toml"
    settings_file.write_text(VALID_SETTINGS)
    assert run_program(role, "check", "--boot", str(settings_file))[:2] == (0, "boot is good\n")
    assert run_program(role, "--version")[1].startswith(f"{role} ")
    status, out, err = run_program(role, "run", "--help")
    assert status == 0
    assert "--fleet_key" in out + err


def test_invalid_settings_exit_with_2_and_list_every_error(tmp_path):
    settings_file = tmp_path / "boot.toml"
    settings_file.write_text(
        'host = "here"\nzone = 1\nseeds = ["10.0.0.999:1"]\nfleet_key = "short"\n'
    )
    status, _, err = run_program("mdconf", "run", "--boot", str(settings_file))
    assert status == 2
    for message in (
        "'zone' was unexpected",
        "boot.host:",
        "'hall' is a required",
        "boot.seeds.0:",
        "boot.fleet_key:",
        "'data' is needed",
        "'members' is needed",
    ):
        assert message in err
    assert run_program("mdconf", "run", "--boot", str(tmp_path / "none"))[0] == 2


def test_flags_override_the_file(tmp_path):
    settings_file = tmp_path / "boot.toml"
    settings_file.write_text(VALID_SETTINGS.replace('127.0.0.1"\nhall', 'nonsense"\nhall'))
    assert run_program("mdreg", "check", "--boot", str(settings_file))[0] == 2
    assert (
        run_program("mdreg", "check", "--boot", str(settings_file), "--host", "127.0.0.1")[0] == 0
    )
