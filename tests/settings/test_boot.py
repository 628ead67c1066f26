"""Boot files and command lines, as processes."""

from __future__ import annotations

import subprocess
import sys

import pytest

from meadowdock.local_fleet.fleet import PROGRAM_PACKAGES

GOOD = """
host = "127.0.0.1"
hall = "a"
seeds = ["127.0.0.1:7411"]
fleet_key = "%s"
data = "x"
members = ["127.0.0.1:7421"]
""" % ("ab" * 32)


def command(program, *words):
    argv = [sys.executable, "-m", PROGRAM_PACKAGES[program], *words]
    found = subprocess.run(argv, capture_output=True, text=True, timeout=30, check=False)
    return found.returncode, found.stdout, found.stderr


@pytest.mark.parametrize("role", ["mdproxy", "mdreg", "mdconf"])
def test_check_version_help(role, tmp_path):
    boot = tmp_path / "boot.toml"
    boot.write_text(GOOD)
    assert command(role, "check", "--boot", str(boot))[:2] == (0, "boot is good\n")
    assert command(role, "--version")[1].startswith(f"{role} ")
    status, out, err = command(role, "run", "--help")
    assert status == 0
    assert "--fleet_key" in out + err


def test_every_error_is_listed_with_its_path_and_exit_status_2(tmp_path):
    boot = tmp_path / "boot.toml"
    boot.write_text('host = "here"\nzone = 1\nseeds = ["10.0.0.999:1"]\nfleet_key = "short"\n')
    status, _, err = command("mdconf", "run", "--boot", str(boot))
    assert status == 2
    for part in (
        "'zone' was unexpected",
        "boot.host:",
        "'hall' is a required",
        "boot.seeds.0:",
        "boot.fleet_key:",
        "'data' is needed",
        "'members' is needed",
    ):
        assert part in err
    assert command("mdconf", "run", "--boot", str(tmp_path / "none"))[0] == 2


def test_flags_override_the_file(tmp_path):
    boot = tmp_path / "boot.toml"
    boot.write_text(GOOD.replace('127.0.0.1"\nhall', 'nonsense"\nhall'))
    assert command("mdreg", "check", "--boot", str(boot))[0] == 2
    assert command("mdreg", "check", "--boot", str(boot), "--host", "127.0.0.1")[0] == 0
