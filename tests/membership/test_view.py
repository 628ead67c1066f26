"""The membership view alone: which entries are taken, removed and dropped."""

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


def test_only_newer_entries_count_and_a_removed_member_stays_removed(view):
    view.merge([entry("a", 1, 5)], 0)
    view.merge([entry("a", 1, 4)], 9 * SECOND)
    for at in range(0, 9 * SECOND, SECOND):
        view.expire(at)
    assert "a" not in view.entries  # an old entry did not keep it
    view.merge([entry("a", 1, 5)], 9 * SECOND)
    assert "a" not in view.entries  # nor brought it back
    view.merge([entry("a", 2, 0)], 9 * SECOND)
    assert view.entries["a"].entry.incarnation == 2  # a new incarnation is another process
    view.merge([entry("a", 2, 1, leaving=True)], 9 * SECOND)
    assert "a" not in view.entries


def test_a_pause_of_the_process_itself_expires_nobody(view):
    view.merge([entry("a", 1, 5)], 0)
    view.expire(60 * SECOND)
    assert "a" in view.entries
    for at in range(60 * SECOND, 70 * SECOND, SECOND):
        view.expire(at)
    assert "a" not in view.entries


def test_the_view_is_bounded_and_core_members_have_a_bound_of_their_own(view):
    view.merge([entry(f"p{n}") for n in range(50)], 0)
    view.merge([entry(f"c{n}", role="mdreg") for n in range(40)], 0)
    roles = [s.entry.role for s in view.entries.values()]
    assert (roles.count("mdproxy"), roles.count("mdreg")) == (VIEW_MAX, CORE_VIEW_MAX)


def test_a_process_whose_clock_went_back_overtakes_its_former_incarnation(view):
    view.merge([entry("me", incarnation=99)], 0)
    assert view.me.incarnation == 100
