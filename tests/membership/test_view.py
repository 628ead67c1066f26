"""The membership view alone: which entries are adopted, removed and trimmed."""

from __future__ import annotations

import random

import pytest

from meadowdock.membership import CORE_VIEW_MAX, VIEW_MAX, MemberEntry, MembershipView
from meadowdock.runtime import SECOND


def entry(address, incarnation=1, heartbeat=0, role="mdproxy", leaving=False):
    return MemberEntry(address, role, "a", incarnation, heartbeat, leaving, 0)


@pytest.fixture
def view():
    return MembershipView(entry("me"), (), random.Random(1), lambda *_, **__: None)


def test_only_newer_entries_are_adopted_and_a_removed_member_stays_removed(view):
    view.merge([entry("a", 1, 5)], 0)
    view.merge([entry("a", 1, 4)], 9 * SECOND)
    for now in range(0, 9 * SECOND, SECOND):
        view.expire(now)
    assert "a" not in view.entries  # the older entry did not count as a sign of life
    view.merge([entry("a", 1, 5)], 9 * SECOND)
    assert "a" not in view.entries  # the last entry before the removal does not bring it back
    view.merge([entry("a", 2, 0)], 9 * SECOND)
    assert view.entries["a"].entry.incarnation == 2  # a new incarnation is a new process
    view.merge([entry("a", 2, 1, leaving=True)], 9 * SECOND)
    assert "a" not in view.entries


def test_a_pause_of_the_process_itself_expires_no_member(view):
    view.merge([entry("a", 1, 5)], 0)
    view.expire(60 * SECOND)
    assert "a" in view.entries
    for now in range(60 * SECOND, 70 * SECOND, SECOND):
        view.expire(now)
    assert "a" not in view.entries


def test_core_members_and_other_members_have_separate_bounds(view):
    view.merge([entry(f"p{n}") for n in range(50)], 0)
    view.merge([entry(f"c{n}", role="mdreg") for n in range(40)], 0)
    roles = [known.entry.role for known in view.entries.values()]
    assert (roles.count("mdproxy"), roles.count("mdreg")) == (VIEW_MAX, CORE_VIEW_MAX)


def test_a_process_whose_clock_was_set_back_supersedes_its_previous_incarnation(view):
    view.merge([entry("me", incarnation=99)], 0)
    assert view.own_entry.incarnation == 100
