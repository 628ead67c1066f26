"""CI passes over exactly the tests that KNOWN-RED.txt lists, and says so."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

PLUGIN_FOLDER = Path(__file__).parents[2] / ".ci"
TESTS = """
import pytest

def test_broken():
    assert False

def test_broken_too():
    assert True

@pytest.mark.parametrize("number", [1, 2])
def test_broken_with_parameters(number):
    assert False
"""


LINE_FORM = "not TEST | COMMAND AND SEED | SEEN | ISSUE"


def run_pytest(folder: Path, listed: str | None, *arguments: str) -> subprocess.CompletedProcess:
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_sample.py").write_text(TESTS)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"]
    return subprocess.run(
        [*command, *arguments],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(PLUGIN_FOLDER)},
        capture_output=True,
        text=True,
        check=False,
    )


BROKEN = "test_sample.py::test_broken | pytest, seed 7 | a cause | #1\n"
PARAMETERS = "test_sample.py::test_broken_with_parameters | pytest, no seed | another | #2\n"


@pytest.mark.parametrize("arguments", [(), ("-n", "2", "--dist", "loadfile")])
def test_just_the_listed_tests_are_passed_over_and_printed(tmp_path, arguments):
    ended = run_pytest(tmp_path, BROKEN + PARAMETERS, *arguments)
    assert ended.returncode == 0, ended.stdout
    assert "1 passed" in ended.stdout  # test_broken_too, although its name begins alike
    for line in (BROKEN, PARAMETERS):
        assert f"KNOWN RED, passed over: {line}" in ended.stdout


def test_a_failure_that_is_not_listed_fails(tmp_path):
    ended = run_pytest(tmp_path, BROKEN)
    assert ended.returncode == 1
    assert "2 failed, 1 passed" in ended.stdout


def test_without_the_file_all_tests_run(tmp_path):
    ended = run_pytest(tmp_path, None)
    assert ended.returncode == 1
    assert "3 failed, 1 passed" in ended.stdout
    assert "KNOWN RED" not in ended.stdout


@pytest.mark.parametrize(
    "listed, complaint",
    [
        (BROKEN * 4, "4 tests, at most 3 may be listed"),
        ("test_sample.py::test_broken | pytest | a cause\n", LINE_FORM),
        ("test_sample.py::test_broken | a cause | #1\n", LINE_FORM),
        ("test_sample.py::test_broken | | a cause | #1\n", LINE_FORM),
        ("test_sample.py::test_broken | pytest | | #1\n", LINE_FORM),
        ("test_sample.py::test_broken | pytest | a cause |\n", LINE_FORM),
        ("test_sample.py | pytest | a whole file | #1\n", "names no test"),
        ("test_gone.py::test_broken | pytest | a cause | #1\n", "names no test"),
        ("test_sample.py::test_mended | pytest | a cause | #1\n", "no such test"),
    ],
)
def test_a_wrong_list_ends_the_run(tmp_path, listed, complaint):
    ended = run_pytest(tmp_path, listed)
    assert ended.returncode == pytest.ExitCode.USAGE_ERROR
    assert complaint in ended.stderr
    assert "passed" not in ended.stdout
