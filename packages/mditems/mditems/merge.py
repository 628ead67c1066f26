"""The merge of a call into what is held."""

from __future__ import annotations

from mditems.check import ERRORS_MAX, Invalid


def key_of(item):
    return item["kind"], item["name"]


def merge(held, items):
    """(new held, names whose item changed). held: {(kind, name): item}, drops included; it is left
    as it is. items passed `check`. Raises Invalid; then nothing of the call holds.

    Invariant: what holds for a name is the item of the highest version that ever came, set or
    dropped; so calls may come in any order, and again.

    >>> drop = {"kind": "service", "name": "a", "version": 3, "spec": None, "source": ""}
    >>> held, changed = merge({}, [drop])
    >>> merge(held, [{**drop, "version": 2, "spec": {}}])[1]
    []
    """
    won = {}
    for item in items:
        key = key_of(item)
        former = won.get(key) or held.get(key)
        if former is None or item["version"] > former["version"]:
            won[key] = item
    if not won:
        return held, []
    merged = {**held, **won}
    errors = dangling(merged, won)
    if errors:
        raise Invalid(errors[:ERRORS_MAX])
    return merged, list(won)


def dangling(merged, won):
    """Routes that this call sets, and those it takes a service from."""

    def stands(service):
        item = merged.get(("service", service))
        return item is not None and item["spec"] is not None

    dropped = {n for (kind, n), item in won.items() if kind == "service" and item["spec"] is None}
    judged = merged.values() if dropped else won.values()
    return [
        f"items.route '{item['name']}'.spec.split: no service '{service}'"
        for item in judged
        if item["kind"] == "route" and item["spec"] is not None
        for service, _ in item["spec"]["split"]
        if not stands(service) and (service in dropped or key_of(item) in won)
    ]


def standing(held):
    """The items that are not dropped, by kind and name."""
    return [held[key] for key in sorted(held) if held[key]["spec"] is not None]
