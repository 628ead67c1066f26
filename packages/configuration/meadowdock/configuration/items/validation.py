"""Validation of the items of one change by themselves. All errors are given at once, each with its
path."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

Item = dict[str, Any]  # as it is sent and stored; see the package's docstring
Check = Callable[[Any], str | None]  # gives what is wrong with a value, or None
FieldError = tuple[str, str]  # the path within an item, and what is wrong there

MAX_TIMEOUT_US = 600_000_000
MAX_ERRORS = 200
INTEGER_END = 1 << 63  # chunks hold integers below it
NAMELESS_KIND = "limits"


# ---------------------------------------------------------------- checks of single values


def integer(least: int, end: int = INTEGER_END) -> Check:
    """A check that a value is an integer from `least`, below `end`."""

    def check(value: Any) -> str | None:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and least <= value < end:
            return None
        limit = f" to {end - 1}" if end < INTEGER_END else ""
        return f"{value!r:.80} is no whole number from {least}{limit}"

    return check


def text(value: Any) -> str | None:
    """A check that a value is a text, and not empty."""
    return None if value and is_encodable(value) else f"{value!r:.80} is no text, or empty"


def is_encodable(value: Any) -> bool:
    """Whether a value is a text that UTF-8 can carry: JSON also knows halves of surrogate pairs."""
    try:
        return isinstance(value, str) and (value.isascii() or bool(value.encode()))
    except UnicodeEncodeError:
        return False


def prefix(value: Any) -> str | None:
    """A check that a value is the prefix of paths."""
    if is_encodable(value) and value[:1] == "/" == value[-1:]:
        return None
    return f"{value!r:.80} does not begin and end with '/'"


def repeat(value: Any) -> str | None:
    """A check that a value says whether a route's calls are idempotent."""
    return None if value in ("safe", "once") else f"{value!r:.80} is neither 'safe' nor 'once'"


def split(value: Any) -> str | None:
    """A check that a value is a list of services with their weights."""
    if not isinstance(value, (list, tuple)) or not value:
        return f"{value!r:.80} is no list of [service, weight], or empty"
    for entry in value:
        if not isinstance(entry, (list, tuple)) or len(entry) != 2 or text(entry[0]):
            return f"{entry!r:.80} is no [service, weight]"
        if not is_weight(entry[1]):
            return f"weight {entry[1]!r:.80} is no number from 0"
    return None


def is_weight(value: Any) -> bool:
    """Whether a value is a number that can be a weight."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and 0 <= value < INTEGER_END


# ---------------------------------------------------------------- checks of items


class SpecFields(NamedTuple):
    """The fields of a kind's spec; others are ignored."""

    required: dict[str, Check]
    optional: dict[str, Check]


SPECS = {
    "route": SpecFields(
        {
            "host": text,
            "prefix": prefix,
            "repeat": repeat,
            "timeout_us": integer(1, MAX_TIMEOUT_US + 1),
            "tries": integer(1),
            "split": split,
        },
        {"aim_us": integer(0), "priority": integer(0)},
    ),
    "service": SpecFields({}, {"health": text, "connections": integer(0)}),
    "limits": SpecFields(
        {field: integer(1) for field in ("header_bytes", "body_bytes", "header_us", "idle_us")},
        {},
    ),
}


def validate_items(items: Any) -> list[str]:
    """Every error of a change's items, as texts with paths; empty if there is none.

    >>> validate_items([{"kind": "service", "name": "a", "version": 1, "spec": {"x": 1}, "source": ""}])
    []
    >>> validate_items([{"kind": "limits", "name": "a", "version": -1, "spec": None, "source": ""}])
    ["items.0.name: limits has no name of its own: 'a'", 'items.0.version: -1 is no whole number from 0']
    >>> validate_items({})
    ['items: no list']
    """
    if not isinstance(items, list):
        return ["items: no list"]
    errors = [
        f"items.{position}{path}: {error}"
        for position, item in enumerate(items)
        for path, error in item_errors(item)
    ]
    return (errors or contradictions(items))[:MAX_ERRORS]


def item_errors(item: Any) -> list[FieldError]:
    """What is wrong with one item."""
    if not isinstance(item, dict):
        return [("", "no item")]
    kind = item.get("kind")
    if not isinstance(kind, str) or kind not in SPECS:
        return [(".kind", f"{kind!r:.80} is no kind of item")]
    return [*identity_errors(item), *spec_errors(item)]


def identity_errors(item: Item) -> list[FieldError]:
    """What is wrong with an item's name, version and source."""
    errors = []
    name = item.get("name")
    if item["kind"] == NAMELESS_KIND:
        if name != "":
            errors.append((".name", f"limits has no name of its own: {name!r:.80}"))
    elif error := text(name):
        errors.append((".name", error))
    if error := integer(0)(item.get("version")):
        errors.append((".version", error))
    if not is_encodable(item.get("source")):
        errors.append((".source", "no text"))
    return errors


def spec_errors(item: Item) -> list[FieldError]:
    """What is wrong with an item's spec. That of a dropped item is None."""
    spec = item.get("spec")
    if spec is None and "spec" in item:
        return []
    if not isinstance(spec, dict):
        return [(".spec", "no object")]
    fields = SPECS[item["kind"]]
    checks = fields.required | {f: check for f, check in fields.optional.items() if f in spec}
    outcomes = ((field, check(spec.get(field))) for field, check in checks.items())
    return [(f".spec.{field}", error) for field, error in outcomes if error]


def contradictions(items: list[Item]) -> list[str]:
    """Items that are given twice with one version, but not the same spec and source."""
    first: dict[tuple[str, str, int], tuple[Any, str]] = {}
    errors = []
    for position, item in enumerate(items):
        key = item["kind"], item["name"], item["version"]
        content = item["spec"], item["source"]
        if first.setdefault(key, content) != content:
            errors.append(
                f"items.{position}: {item['kind']} '{item['name']}' is given twice with "
                f"version {item['version']} and differs"
            )
    return errors


def normalize(item: Item) -> Item:
    """An item that is valid, with the fields that have a meaning alone."""
    spec = item["spec"]
    if spec is not None:
        fields = SPECS[item["kind"]]
        names = (*fields.required, *fields.optional)
        spec = {field: spec[field] for field in names if field in spec}
    return {**{field: item[field] for field in ("kind", "name", "version", "source")}, "spec": spec}
