"""The deploy file lists the system package of each command that a clean build or a role runs."""

from __future__ import annotations

import os
import re
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
SHELL_WORDS = {"if", "then", "else", "elif", "while", "until", "do", "fi", "done", "esac", "{", "}"}
BUILTINS = {"[", "set", "read", "case", "for", "exit", "echo", "printf", "command", ":"}
SEPARATOR = re.compile(r"\|\||&&|[|;\n]|\$\(|-exec ")
ASSIGNMENT = re.compile(r"^\w+=(?!\$\()\S*$")


def without_comments_and_labels(script: str) -> str:
    """Return a script with joined continuation lines, without comments and patterns of `case`."""
    joined = script.replace("\\\n", " ")
    lines = [line for line in joined.splitlines() if not line.lstrip().startswith("#")]
    return "\n".join(re.sub(r"^\s*[^\s()]+\) ", "", line) for line in lines)


def commands(script: str) -> set[str]:
    """Return the names of the programs that a shell script runs."""
    text = without_comments_and_labels(script)
    functions = set(re.findall(r"^(\w+)\(\)", text, re.MULTILINE))
    names = set()
    for part in SEPARATOR.split(text):
        words = [word for word in part.split() if word not in SHELL_WORDS and word != "!"]
        while words and ASSIGNMENT.match(words[0]):
            words = words[1:]
        if words and re.fullmatch(r"[\w.+-]+", words[0]):
            names.add(words[0])
    return names - functions - BUILTINS


def table_rows() -> list[list[str]]:
    """Return the rows of the table of commands and packages in the documentation."""
    text = (ROOT / "docs" / "platform.md").read_text(encoding="utf-8")
    section = text.split("## Clean build")[1].split("\n## ")[0]
    rows = [line.strip("|").split("|") for line in section.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in row] for row in rows[2:]]


def deploy_file() -> dict:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))


def test_commands_of_a_script():
    script = (
        "a=1\nif [ -e x ] || rm x; then\n  b=$(basename y)\n  find . -exec mv {} + | sort\nfi\n"
    )
    assert commands(script) == {"rm", "basename", "find", "mv", "sort"}
    assert commands("f() {\n  cp a b\n}\n# touch x\nf\ncase x in\n  y*) mkdir z ;;\nesac\n") == {
        "cp",
        "mkdir",
    }


def test_each_command_of_the_build_and_the_run_lines_has_its_package():
    documented = {name for row in table_rows() for name in re.findall(r"`([^`]+)`", row[0])}
    deploy = deploy_file()
    run_lines = [role["run"] for role in deploy["roles"].values()]
    script = (ROOT / "deploy" / "build.sh").read_text(encoding="utf-8")
    used = commands("\n".join([deploy["build"], *run_lines])) | commands(script)
    assert {"sh", "python3", "find", "basename"} <= used
    assert used <= documented
    assert ("python3 -m pip" in script) == ("python3 -m pip" in documented)


def test_the_packages_of_the_table_are_those_of_the_deploy_file():
    packages = deploy_file()["packages"]
    assert packages == sorted(set(packages))
    assert {row[1] for row in table_rows()} == set(packages)


def test_the_build_fails_with_a_python_that_is_too_old(tmp_path):
    """A fake python3 reports version 3.10; the build must not create anything."""
    script = tmp_path / "python3"
    script.write_text(
        '#!/bin/sh\ncase "$2" in *print*) echo 3.10 ;; *sys.exit*) exit 1 ;; *) exit 9 ;; esac\n'
    )
    script.chmod(0o755)
    path = f"{tmp_path}:{os.environ['PATH']}"
    process = subprocess.run(
        ["sh", ROOT / "deploy" / "build.sh"],
        cwd=tmp_path,
        env={"PATH": path},
        capture_output=True,
        text=True,
    )
    assert process.returncode == 1
    assert "python3 is 3.10, but 3.11 or later is needed" in process.stderr
    assert not (tmp_path / "target").exists()


FAKE_PYTHON = """#!/bin/sh
case "$*" in
    *cache_tag*) echo "$FAKE_PLATFORM" ;;
    *version_info*) echo 3.11 ;;
    *"pip install"*) mkdir -p target/deps; echo installed >>pip.log ;;
esac
"""


def test_target_deps_of_another_kind_of_machine_are_built_again(tmp_path):
    """A folder that was carried over has compiled parts that this machine can't load."""
    script = tmp_path / "python3"
    script.write_text(FAKE_PYTHON)
    script.chmod(0o755)
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "requirements-run.txt").write_text("")
    (tmp_path / "packages" / "x" / "meadowdock" / "x").mkdir(parents=True)
    (tmp_path / "platform" / "platform_adapter").mkdir(parents=True)

    def installations(platform):
        subprocess.run(
            ["sh", ROOT / "deploy" / "build.sh"],
            cwd=tmp_path,
            env={"PATH": f"{tmp_path}:{os.environ['PATH']}", "FAKE_PLATFORM": platform},
            check=True,
        )
        return len((tmp_path / "pip.log").read_text().splitlines())

    assert installations("cpython-311 linux-x86_64") == 1
    assert installations("cpython-311 linux-x86_64") == 1
    assert installations("cpython-311 linux-aarch64") == 2
    assert installations("cpython-312 linux-aarch64") == 3


def test_the_build_fails_at_once_with_a_python_that_has_no_wheels(tmp_path):
    """A fake python3 reports version 3.14; the build must neither install nor create anything."""
    script = tmp_path / "python3"
    script.write_text(
        '#!/bin/sh\ncase "$2" in *print*) echo 3.14 ;; *"(3, 13)"*) exit 1 ;; *"(3, 11)"*) exit 0 ;;'
        " *) exit 9 ;; esac\n"
    )
    script.chmod(0o755)
    process = subprocess.run(
        ["sh", ROOT / "deploy" / "build.sh"],
        cwd=tmp_path,
        env={"PATH": f"{tmp_path}:{os.environ['PATH']}"},
        capture_output=True,
        text=True,
    )
    assert process.returncode == 1, process.stderr
    assert "python3 is 3.14, but 3.11, 3.12 or 3.13 is needed" in process.stderr
    assert os.listdir(tmp_path) == ["python3"]
