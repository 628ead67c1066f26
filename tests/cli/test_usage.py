"""The help of mdctl, which needs no core."""

from __future__ import annotations

import re
import subprocess
import sys

import pytest

COMMANDS = ("plan", "confirm", "settle", "get", "items", "status", "audit", "check", "version")


@pytest.mark.parametrize("arguments", [[], ["--help"], ["-h"]])
def test_help_lists_every_command(arguments):
    result = subprocess.run(
        [sys.executable, "-m", "meadowdock.cli", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (result.returncode, result.stderr) == (0, "")
    listed = re.findall(r"^  ([a-z]+) ", result.stdout, re.MULTILINE)
    assert listed == list(COMMANDS)
