"""The merge of calls against a plain model that forgets nothing within its bound."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from item_builders import service

from meadowdock.configuration import items as config_items
from meadowdock.configuration.items.merge import MAX_SUPERSEDED


def item(name, version, content):
    """content 0 is a drop."""
    made = service(name, version, health=f"/{content}")
    return made if content else {**made, "spec": None}


ITEMS = st.builds(item, st.sampled_from("ab"), st.integers(0, MAX_SUPERSEDED), st.integers(0, 2))
FAR_ITEMS = st.builds(item, st.just("a"), st.integers(0, 4 * MAX_SUPERSEDED), st.integers(0, 2))


def content_of(sent):
    return None if sent["spec"] is None else sent["spec"]["health"]


class Model:
    """All contents ever acknowledged, by name and version."""

    def __init__(self):
        self.taken = {}

    def order(self, call):
        """Whether the call is acknowledged; only then it is kept."""
        after = dict(self.taken)
        for sent in call:
            if after.setdefault((sent["name"], sent["version"]), content_of(sent)) != content_of(
                sent
            ):
                return False
        self.taken = after
        return True

    def standing(self):
        highest = {}
        for (name, version), content in self.taken.items():
            highest[name] = max(highest.get(name, (-1, None)), (version, content), key=first)
        return {n: pair for n, pair in highest.items() if pair[1] is not None}


def first(pair):
    return pair[0]


def merged(held, call):
    """(held after the call, whether it was acknowledged)"""
    try:
        return config_items.merge(held, call)[0], True
    except config_items.VersionConflict:
        return held, False


def shown(held):
    return {i["name"]: (i["version"], content_of(i)) for i in config_items.current_items(held)}


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(st.lists(ITEMS, min_size=1, max_size=3), max_size=20))
def test_the_merge_does_as_the_model_while_all_versions_are_remembered(calls):
    held, model = {}, Model()
    for call in calls:
        held, acknowledged = merged(held, call)
        assert acknowledged == model.order(call)
        assert shown(held) == model.standing()


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(st.tuples(FAR_ITEMS, st.booleans()), max_size=60))
def test_what_was_taken_is_acknowledged_again_however_much_came_since(orders):
    """Also beyond what is remembered."""
    held, taken = {}, []
    for order, again in orders:
        held, acknowledged = merged(held, [order])
        if acknowledged:
            taken.append(order)
        for former in taken if again else ():
            held, acknowledged = merged(held, [former])
            assert acknowledged
        for sent in held.values():
            assert len(sent.get("superseded", [])) <= MAX_SUPERSEDED


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.permutations([item("a", version, 1) for version in range(2 * MAX_SUPERSEDED)]))
def test_what_is_remembered_does_not_depend_on_the_order(orders):
    held = {}
    for order in orders:
        held, _ = config_items.merge(held, [order])
    versions = [version for version, _ in held["service", "a"]["superseded"]]
    top = 2 * MAX_SUPERSEDED - 1
    assert versions == list(range(top - 1, top - 1 - MAX_SUPERSEDED, -1))
