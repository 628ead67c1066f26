"""The merge of a call into what is held."""

from __future__ import annotations

from typing import NamedTuple

import ormsgpack

from meadowdock.configuration.items.check import ERRORS_MAX, Invalid
from meadowdock.runtime import fingerprint

SUPERSEDED_MAX = 8  # versions below the standing one whose content is remembered, for each item
DIGEST_LENGTH = 16


class ItemVersion(NamedTuple):
    """One version of one item."""

    kind: str
    name: str
    version: int


class VersionConflict(Exception):
    """A call gives another content to versions that already have one. Nothing of the call holds.

    conflicts: every such ItemVersion of the call."""

    def __init__(self, conflicts):
        super().__init__("; ".join(f"{c.kind} '{c.name}' version {c.version}" for c in conflicts))
        self.conflicts = conflicts


def key_of(item):
    """What an item is known by."""
    return item["kind"], item["name"]


def content_digest(item):
    """A short digest of the spec and source: what two orders under one version must agree on."""
    content = [item["spec"], item["source"]]
    body = ormsgpack.packb(content, option=ormsgpack.OPT_SORT_KEYS)
    return fingerprint(body)[:DIGEST_LENGTH]


def superseded(item):
    """[version, digest] of versions below the standing one, the highest first. Chunks written by
    releases before this field have none."""
    return item.get("superseded", [])


def known_digest(item, version):
    """The digest of the content that a version of this item has, or None if it isn't known."""
    if version == item["version"]:
        return content_digest(item)
    return next((digest for known, digest in superseded(item) if known == version), None)


def combine(former, item):
    """The item that holds after `item` came; `former` itself if nothing is new about it, or None
    if `item` gives a known version another content.

    Invariant: the result is the same in whatever order the versions come."""
    digest = content_digest(item)
    known = known_digest(former, item["version"])
    if known is not None:
        return former if known == digest else None
    if item["version"] > former["version"]:
        below = [[former["version"], content_digest(former)], *superseded(former)]
        return {**item, "superseded": below[:SUPERSEDED_MAX]}
    below = sorted([*superseded(former), [item["version"], digest]], reverse=True)[:SUPERSEDED_MAX]
    return former if below == superseded(former) else {**former, "superseded": below}


def merge(held, items):
    """(new held, names whose item changed). held: {(kind, name): item}, drops included; it is left
    as it is. items passed `check`. Raises Invalid or VersionConflict; then nothing of the call holds.

    Invariants: what holds for a name is the item of the highest version that ever came, set or
    dropped; so calls may come in any order, and again. Of the SUPERSEDED_MAX highest versions below
    it the content is remembered, and another content under one of those numbers is a conflict.

    >>> drop = {"kind": "service", "name": "a", "version": 3, "spec": None, "source": ""}
    >>> held, changed = merge({}, [drop])
    >>> merge(held, [{**drop, "version": 2, "spec": {}}])[1]
    []
    >>> merge(held, [{**drop, "spec": {}}])
    Traceback (most recent call last):
    meadowdock.configuration.items.merge.VersionConflict: service 'a' version 3
    """
    updates, won, conflicts = {}, {}, []
    for item in items:
        key = key_of(item)
        former = updates.get(key) or held.get(key)
        combined = item if former is None else combine(former, item)
        if combined is None:
            conflicts.append(ItemVersion(*key, item["version"]))
        elif combined is not former:
            updates[key] = combined
            if former is None or combined["version"] > former["version"]:
                won[key] = combined
    if conflicts:
        raise VersionConflict(list(dict.fromkeys(conflicts)))
    if not updates:
        return held, []
    merged = {**held, **updates}
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
    """The items that are not dropped, by kind and name, as they came."""
    return [as_sent(held[key]) for key in sorted(held) if held[key]["spec"] is not None]


def as_sent(item):
    """An item without what is remembered beside it."""
    return {field: value for field, value in item.items() if field != "superseded"}
