"""Merging a change into the stored items.

The merge is commutative and idempotent: the result is the same in whatever order changes arrive,
and however often. Concurrent changes therefore need no ordering.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import ormsgpack

from meadowdock.configuration.items.exceptions import InvalidItems, ItemVersion, VersionConflict
from meadowdock.configuration.items.validation import MAX_ERRORS, Item
from meadowdock.runtime import fingerprint

MAX_SUPERSEDED = 8  # superseded versions of one item whose digests are stored
DIGEST_LENGTH = 16  # hexadecimal digits
SUPERSEDED_FIELD = "superseded"

ItemKey = tuple[str, str]  # kind and name
Items = Mapping[ItemKey, Item]  # dropped items included


class MergeResult(NamedTuple):
    """The result of a merge."""

    items: Items
    changed: list[ItemKey]  # items whose current version changed


def item_key(item: Item) -> ItemKey:
    """Return the kind and name, which identify an item across its versions."""
    return item["kind"], item["name"]


def content_digest(item: Item) -> str:
    """Return a digest of spec and source, which must be the same for the same version."""
    content = [item["spec"], item["source"]]
    body = ormsgpack.packb(content, option=ormsgpack.OPT_SORT_KEYS)
    return fingerprint(body)[:DIGEST_LENGTH]


def superseded(item: Item) -> list[Any]:
    """Return [version, digest] of the stored superseded versions, the highest first.

    Chunks written by releases that didn't have this field yet have none.
    """
    versions: list[Any] = item.get(SUPERSEDED_FIELD, [])
    return versions


def known_digest(item: Item, version: int) -> str | None:
    """Return the digest of a version of this item, or None if it isn't known."""
    if version == item["version"]:
        return content_digest(item)
    return next((digest for known, digest in superseded(item) if known == version), None)


def merge_version(stored_item: Item, item: Item) -> Item | None:
    """Merge a version into the stored item, and return the result.

    It is `stored_item` itself if that doesn't change, and None if `item` has a known version with a
    different content.

    Invariant: the result is the same in whatever order the versions arrive.
    """
    digest = content_digest(item)
    known = known_digest(stored_item, item["version"])
    if known is not None:
        return stored_item if known == digest else None
    if item["version"] > stored_item["version"]:
        history = [
            [stored_item["version"], content_digest(stored_item)],
            *superseded(stored_item),
        ]
        return {**item, SUPERSEDED_FIELD: history[:MAX_SUPERSEDED]}
    history = sorted([*superseded(stored_item), [item["version"], digest]], reverse=True)[
        :MAX_SUPERSEDED
    ]
    return (
        stored_item
        if history == superseded(stored_item)
        else {**stored_item, SUPERSEDED_FIELD: history}
    )


def merge_items(stored: Items, items: Iterable[Item]) -> MergeResult:
    """Merge the items of a change into the stored ones.

    The current version of an item is the highest that was ever merged, whether set or dropped. The
    digests of the MAX_SUPERSEDED versions below it are stored; a different content for one of those
    versions is a conflict. `stored` is not modified.

    :param items: items that passed `validate_items`.
    :raises VersionConflict: a known version has a different content.
    :raises InvalidItems: a route refers to a service that doesn't exist.

    >>> drop = {"kind": "service", "name": "a", "version": 3, "spec": None, "source": ""}
    >>> stored, changed = merge_items({}, [drop])
    >>> merge_items(stored, [{**drop, "version": 2, "spec": {}}]).changed
    []
    >>> merge_items(stored, [{**drop, "spec": {}}])
    Traceback (most recent call last):
    meadowdock.configuration.items.exceptions.VersionConflict: service 'a' version 3
    """
    updates: dict[ItemKey, Item] = {}
    current_updates: dict[ItemKey, Item] = {}  # the updates that change an item's current version
    conflicts = []
    for item in items:
        key = item_key(item)
        stored_item = updates.get(key) or stored.get(key)
        merged_item = item if stored_item is None else merge_version(stored_item, item)
        if merged_item is None:
            conflicts.append(ItemVersion(*key, item["version"]))
        elif merged_item is not stored_item:
            updates[key] = merged_item
            if stored_item is None or merged_item["version"] > stored_item["version"]:
                current_updates[key] = merged_item
    if conflicts:
        raise VersionConflict(list(dict.fromkeys(conflicts)))
    if not updates:
        return MergeResult(stored, [])
    merged = {**stored, **updates}
    errors = missing_service_errors(merged, current_updates)
    if errors:
        raise InvalidItems(errors[:MAX_ERRORS])
    return MergeResult(merged, list(current_updates))


def missing_service_errors(merged: Items, changed: Items) -> list[str]:
    """Report routes without their service: routes set by a change, or whose service it drops."""

    def exists(service: str) -> bool:
        item = merged.get(("service", service))
        return item is not None and item["spec"] is not None

    dropped = {
        name for (kind, name), item in changed.items() if kind == "service" and item["spec"] is None
    }
    candidates = merged.values() if dropped else changed.values()
    return [
        f"items.route '{item['name']}'.spec.split: no service '{service}'"
        for item in candidates
        if item["kind"] == "route" and item["spec"] is not None
        for service, _ in item["spec"]["split"]
        if not exists(service) and (service in dropped or item_key(item) in changed)
    ]


def current_items(stored: Items) -> list[Item]:
    """Return the items that are not dropped, as submitted, sorted by kind and name."""
    return [
        without_history(stored[key]) for key in sorted(stored) if stored[key]["spec"] is not None
    ]


def without_history(item: Item) -> Item:
    """Return an item without the digests of its superseded versions."""
    return {field: value for field, value in item.items() if field != SUPERSEDED_FIELD}
