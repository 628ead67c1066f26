"""The docs' tables say what the code does."""

from __future__ import annotations

import os
import re

import pytest

from meadowdock.logs import CATALOGUE
from meadowdock.logs import events as log_events
from meadowdock.outcome import REJECTION_CODES, SECOND

DOCS = os.path.join(os.path.dirname(__file__), "..", "..", "docs")


def rows(name):
    with open(os.path.join(DOCS, name), encoding="utf-8") as file:
        return [
            [c.strip() for c in line.strip("|\n").split("|")] for line in file if line[0] == "|"
        ]


def test_the_catalogue_of_events():
    told = {int(r[0]): (r[1], r[2]) for r in rows("events.md") if r[0].isdigit()}
    assert told == CATALOGUE


def test_the_refusals():
    told = {
        r[0]: (int(r[1]), r[2], int(re.sub(r"\D", "", r[3]) or 0) * SECOND)
        for r in rows("calls.md")
        if r[0] in REJECTION_CODES
    }
    assert told == {
        code: (kind.status, kind.verdict.value, kind.retry_after_us)
        for code, kind in REJECTION_CODES.items()
    }


def test_the_files_that_the_architecture_names_are_there():
    root = os.path.join(DOCS, "..")
    with open(os.path.join(DOCS, "architecture.md"), encoding="utf-8") as file:
        named = re.findall(r"`((?:packages|platform|tests|deploy|docs)/[^`]*)`", file.read())
    assert len(named) > 30
    assert [path for path in named if not os.path.exists(os.path.join(root, path))] == []


ROUTINE = re.compile(r"^Routine, nothing to do: ([\d, ]+)\.$", re.MULTILINE)
MODULE = re.compile(r"`((?:[a-z_]+/)+(?:[a-z_]+\.py)?)`")
PACKAGES = sorted(os.listdir(os.path.join(DOCS, "..", "packages")))


def page(name):
    with open(os.path.join(DOCS, name), encoding="utf-8") as file:
        return file.read()


def test_the_on_call_page_has_each_event_once():
    alarms = [int(row[0].split()[0]) for row in rows("oncall.md") if row[0][:1].isdigit()]
    routine = [int(number) for number in ROUTINE.search(page("oncall.md"))[1].split(",")]
    assert sorted(alarms + routine) == sorted(CATALOGUE)


def test_the_on_call_page_names_events_as_the_log_does():
    for row in rows("oncall.md"):
        found = re.fullmatch(r"(\d{3}) `(\w+)`", row[0])
        if found:
            assert CATALOGUE[int(found[1])][0] == found[2]


@pytest.mark.parametrize("name", ["oncall.md", "glossary.md"])
def test_modules_that_a_page_names_are_there(name):
    named = {path for path in MODULE.findall(page(name)) if path.split("/")[0] in PACKAGES}
    assert len(named) > 10
    missing = [
        path
        for path in sorted(named)
        if not os.path.exists(
            os.path.join(DOCS, "..", "packages", path.split("/")[0], "meadowdock", path)
        )
    ]
    assert missing == []


LOGGED = re.compile(r"log\(\s*(?:log_events\.)?([A-Z_]+|\d{3})\b")


def modules_that_log():
    """{event number: modules of the daemons that log it}."""
    found = {}
    for folder, _, names in os.walk(os.path.join(DOCS, "..", "packages")):
        for name in names:
            path = os.path.join(folder, name)
            if not name.endswith(".py") or "simulator" in path or "soak" in path:
                continue
            with open(path, encoding="utf-8") as file:
                for event in LOGGED.findall(file.read()):
                    number = int(event) if event.isdigit() else getattr(log_events, event)
                    module = path.split("/meadowdock/")[1]
                    found.setdefault(number, set()).add(module)
    return found


def test_the_on_call_page_names_each_module_that_logs_an_alarm():
    logged = modules_that_log()
    assert len(logged) > 25
    for row in rows("oncall.md"):
        if row[0][:1].isdigit():
            unnamed = logged.get(int(row[0].split()[0]), set()) - set(MODULE.findall(row[2]))
            assert not unnamed, row[0]
