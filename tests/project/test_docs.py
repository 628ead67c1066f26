"""The tables of the documentation agree with the code."""

from __future__ import annotations

import os
import re

import pytest

from meadowdock.logs import CATALOGUE
from meadowdock.logs import events as log_events
from meadowdock.outcome import REJECTION_CODES, SECOND

DOCS = os.path.join(os.path.dirname(__file__), "..", "..", "docs")


def table_rows(name):
    """Return the cells of all table rows of a page."""
    with open(os.path.join(DOCS, name), encoding="utf-8") as file:
        return [
            [cell.strip() for cell in line.strip("|\n").split("|")]
            for line in file
            if line[0] == "|"
        ]


def test_the_catalogue_of_events():
    documented = {
        int(row[0]): (row[1], row[2]) for row in table_rows("events.md") if row[0].isdigit()
    }
    assert documented == CATALOGUE


def test_the_rejection_codes():
    documented = {
        row[0]: (int(row[1]), row[2], int(re.sub(r"\D", "", row[3]) or 0) * SECOND)
        for row in table_rows("calls.md")
        if row[0] in REJECTION_CODES
    }
    assert documented == {
        code: (kind.status, kind.verdict.value, kind.retry_after_us)
        for code, kind in REJECTION_CODES.items()
    }


def test_the_files_that_the_architecture_page_names_exist():
    root = os.path.join(DOCS, "..")
    with open(os.path.join(DOCS, "architecture.md"), encoding="utf-8") as file:
        named = re.findall(r"`((?:packages|platform|tests|deploy|docs)/[^`]*)`", file.read())
    assert len(named) > 30
    assert [path for path in named if not os.path.exists(os.path.join(root, path))] == []


ROUTINE_EVENTS = re.compile(r"^Routine, nothing to do: ([\d, ]+)\.$", re.MULTILINE)
MODULE = re.compile(r"`((?:[a-z_]+/)+(?:[a-z_]+\.py)?)`")
PACKAGES = sorted(os.listdir(os.path.join(DOCS, "..", "packages")))


def read_page(name):
    with open(os.path.join(DOCS, name), encoding="utf-8") as file:
        return file.read()


def test_the_on_call_page_has_each_event_once():
    alarms = [int(row[0].split()[0]) for row in table_rows("oncall.md") if row[0][:1].isdigit()]
    routine_list = ROUTINE_EVENTS.search(read_page("oncall.md"))[1]
    routine = [int(number) for number in routine_list.split(",")]
    assert sorted(alarms + routine) == sorted(CATALOGUE)


def test_the_on_call_page_names_events_as_the_log_does():
    for row in table_rows("oncall.md"):
        match = re.fullmatch(r"(\d{3}) `(\w+)`", row[0])
        if match:
            assert CATALOGUE[int(match[1])][0] == match[2]


@pytest.mark.parametrize("name", ["oncall.md", "glossary.md"])
def test_the_modules_that_a_page_names_exist(name):
    named = {path for path in MODULE.findall(read_page(name)) if path.split("/")[0] in PACKAGES}
    assert len(named) > 10
    missing = [
        path
        for path in sorted(named)
        if not os.path.exists(
            os.path.join(DOCS, "..", "packages", path.split("/")[0], "meadowdock", path)
        )
    ]
    assert missing == []


LOG_CALL = re.compile(r"log\(\s*(?:log_events\.)?([A-Z_]+|\d{3})\b")


def modules_by_event():
    """Return {event number: modules of the daemons that log it}."""
    modules = {}
    for folder, _, names in os.walk(os.path.join(DOCS, "..", "packages")):
        for name in names:
            path = os.path.join(folder, name)
            if not name.endswith(".py") or "simulator" in path or "soak" in path:
                continue
            with open(path, encoding="utf-8") as file:
                for event in LOG_CALL.findall(file.read()):
                    number = int(event) if event.isdigit() else getattr(log_events, event)
                    module = path.split("/meadowdock/")[1]
                    modules.setdefault(number, set()).add(module)
    return modules


def test_the_on_call_page_names_each_module_that_logs_an_alarm():
    modules = modules_by_event()
    assert len(modules) > 25
    for row in table_rows("oncall.md"):
        if row[0][:1].isdigit():
            missing = modules.get(int(row[0].split()[0]), set()) - set(MODULE.findall(row[2]))
            assert not missing, row[0]
