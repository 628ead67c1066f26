"""The merge of a change into the items that are stored.

The merge is commutative and idempotent: changes may arrive in any order and more than once, and the
result is the same. So changes that arrive together need no order among themselves.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import ormsgpack

from meadowdock.configuration.items.exceptions import InvalidItems, ItemVersion, VersionConflict
from meadowdock.configuration.items.validation import MAX_ERRORS, Item
from meadowdock.runtime import fingerprint

MAX_SUPERSEDED = 8  # versions below the current one whose content is remembered, for each item
DIGEST_LENGTH = 16  # hexadecimal digits
SUPERSEDED_FIELD = "superseded"

ItemKey = tuple[str, str]  # kind and name
Items = Mapping[ItemKey, Item]  # dropped items included


class Merged(NamedTuple):
    """What a merge gives."""

    items: Items
    changed: list[ItemKey]  # whose current version is another one now


def item_key(item: Item) -> ItemKey:
    """What identifies an item over all its versions."""
    return item["kind"], item["name"]


def content_digest(item: Item) -> str:
    """A short digest of the spec and source: what two changes under one version must agree on."""
    content = [item["spec"], item["source"]]
    body = ormsgpack.packb(content, option=ormsgpack.OPT_SORT_KEYS)
    return fingerprint(body)[:DIGEST_LENGTH]


def superseded(item: Item) -> list[Any]:
    """[version, digest] of versions below the current one, the highest first. Chunks written by
    releases before this field have none."""
    versions: list[Any] = item.get(SUPERSEDED_FIELD, [])
    return versions


def known_digest(item: Item, version: int) -> str | None:
    """The digest of the content that a version of this item has, or None if it isn't known."""
    if version == item["version"]:
        return content_digest(item)
    return next((digest for known, digest in superseded(item) if known == version), None)


def combine(former: Item, item: Item) -> Item | None:
    """The item that is current after `item` came; `former` itself if nothing is new about it, or
    None if `item` gives a known version another content.

    Invariant: the result is the same in whatever order the versions come.
    """
    digest = content_digest(item)
    known = known_digest(former, item["version"])
    if known is not None:
        return former if known == digest else None
    if item["version"] > former["version"]:
        below = [[former["version"], content_digest(former)], *superseded(former)]
        return {**item, SUPERSEDED_FIELD: below[:MAX_SUPERSEDED]}
    below = sorted([*superseded(former), [item["version"], digest]], reverse=True)[:MAX_SUPERSEDED]
    return former if below == superseded(former) else {**former, SUPERSEDED_FIELD: below}


def merge(stored: Items, items: Iterable[Item]) -> Merged:
    """Merge the items of a change, which `validate_items` passed, into the stored ones.

    Invariants: an item's current version is the highest that ever came, set or dropped; `stored` is
    left as it is. Of the MAX_SUPERSEDED highest versions below the current one the content is
    remembered, and another content under one of those numbers is a conflict.

    :raises VersionConflict: another content under a known version.
    :raises InvalidItems: a route without its service.

    >>> drop = {"kind": "service", "name": "a", "version": 3, "spec": None, "source": ""}
    >>> stored, changed = merge({}, [drop])
    >>> merge(stored, [{**drop, "version": 2, "spec": {}}]).changed
    []
    >>> merge(stored, [{**drop, "spec": {}}])
    Traceback (most recent call last):
    meadowdock.configuration.items.exceptions.VersionConflict: service 'a' version 3
    """
    updates: dict[ItemKey, Item] = {}
    current: dict[ItemKey, Item] = {}  # of the updates, those that are the highest version
    conflicts = []
    for item in items:
        key = item_key(item)
        former = updates.get(key) or stored.get(key)
        combined = item if former is None else combine(former, item)
        if combined is None:
            conflicts.append(ItemVersion(*key, item["version"]))
        elif combined is not former:
            updates[key] = combined
            if former is None or combined["version"] > former["version"]:
                current[key] = combined
    if conflicts:
        raise VersionConflict(list(dict.fromkeys(conflicts)))
    if not updates:
        return Merged(stored, [])
    merged = {**stored, **updates}
    errors = missing_service_errors(merged, current)
    if errors:
        raise InvalidItems(errors[:MAX_ERRORS])
    return Merged(merged, list(current))


def missing_service_errors(merged: Items, changed: Items) -> list[str]:
    """Errors of the routes that a change sets, and of those whose service it drops."""

    def exists(service: str) -> bool:
        item = merged.get(("service", service))
        return item is not None and item["spec"] is not None

    dropped = {
        name for (kind, name), item in changed.items() if kind == "service" and item["spec"] is None
    }
    suspects = merged.values() if dropped else changed.values()
    return [
        f"items.route '{item['name']}'.spec.split: no service '{service}'"
        for item in suspects
        if item["kind"] == "route" and item["spec"] is not None
        for service, _ in item["spec"]["split"]
        if not exists(service) and (service in dropped or item_key(item) in changed)
    ]


def current_items(stored: Items) -> list[Item]:
    """The items that are not dropped, by kind and name, as they came."""
    return [
        without_history(stored[key]) for key in sorted(stored) if stored[key]["spec"] is not None
    ]


def without_history(item: Item) -> Item:
    """An item without what is remembered of its former versions."""
    return {field: value for field, value in item.items() if field != SUPERSEDED_FIELD}
