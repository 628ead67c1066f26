"""The merge of items, compared with a model that stores the content of every version."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from item_builders import service

from meadowdock.configuration import items as config_items
from meadowdock.configuration.items.merge import MAX_SUPERSEDED


def item(name, version, content):
    """Build a version of a service, which is dropped if `content` is 0."""
    set_item = service(name, version, health=f"/{content}")
    return set_item if content else {**set_item, "spec": None}


ITEMS = st.builds(item, st.sampled_from("ab"), st.integers(0, MAX_SUPERSEDED), st.integers(0, 2))
FAR_ITEMS = st.builds(item, st.just("a"), st.integers(0, 4 * MAX_SUPERSEDED), st.integers(0, 2))


def content_of(sent):
    return None if sent["spec"] is None else sent["spec"]["health"]


class Model:
    """The content of all acknowledged versions, by name and version."""

    def __init__(self):
        self.contents = {}

    def order(self, call):
        """Store the items of a call, and return True, unless one of them is a conflict."""
        after = dict(self.contents)
        for sent in call:
            if after.setdefault((sent["name"], sent["version"]), content_of(sent)) != content_of(
                sent
            ):
                return False
        self.contents = after
        return True

    def standing(self):
        """Return the current version and content of the items that are not dropped, by name."""
        highest = {}
        for (name, version), content in self.contents.items():
            highest[name] = max(highest.get(name, (-1, None)), (version, content), key=version_of)
        return {name: pair for name, pair in highest.items() if pair[1] is not None}


def version_of(pair):
    return pair[0]


def merged(stored, call):
    """Return the stored items after a call, and whether the call was acknowledged."""
    try:
        return config_items.merge_items(stored, call)[0], True
    except config_items.VersionConflict:
        return stored, False


def shown(stored):
    """Return version and content of the current items, by name."""
    return {
        item["name"]: (item["version"], content_of(item))
        for item in config_items.current_items(stored)
    }


# hypothesis seeds a derandomized test with its source text: an edit changes the generated examples.


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
        held, _ = config_items.merge_items(held, [order])
    versions = [version for version, _ in held["service", "a"]["superseded"]]
    top = 2 * MAX_SUPERSEDED - 1
    assert versions == list(range(top - 1, top - 1 - MAX_SUPERSEDED, -1))
