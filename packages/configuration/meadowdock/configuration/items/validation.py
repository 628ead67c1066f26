"""Validation of the items of one change, regardless of the stored items.

All errors are reported at once, each with its path.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

Item = dict[str, Any]  # as sent and stored; see the package's docstring
Check = Callable[[Any], str | None]  # returns what is wrong with a value, or None
FieldError = tuple[str, str]  # the path within an item, and what is wrong there

MAX_TIMEOUT_US = 600_000_000
MAX_ERRORS = 200
INTEGER_LIMIT = 1 << 63  # integers in chunks are below this
UNNAMED_KIND = "limits"


def integer_check(minimum: int, end: int = INTEGER_LIMIT) -> Check:
    """Return a check that accepts integers from `minimum` up to, but not including, `end`."""

    def check(value: Any) -> str | None:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and minimum <= value < end:
            return None
        limit = f" to {end - 1}" if end < INTEGER_LIMIT else ""
        return f"{value!r:.80} is no whole number from {minimum}{limit}"

    return check


def check_text(value: Any) -> str | None:
    """Check that a value is a text and not empty."""
    return None if value and is_encodable(value) else f"{value!r:.80} is no text, or empty"


def is_encodable(value: Any) -> bool:
    """Return whether a value is text that UTF-8 can encode.

    A JSON string may also contain unpaired surrogates, which UTF-8 can't.
    """
    try:
        return isinstance(value, str) and (value.isascii() or bool(value.encode()))
    except UnicodeEncodeError:
        return False


def check_prefix(value: Any) -> str | None:
    """Check that a value is a path prefix."""
    if is_encodable(value) and value[:1] == "/" == value[-1:]:
        return None
    return f"{value!r:.80} does not begin and end with '/'"


def check_repeat(value: Any) -> str | None:
    """Check that a value states whether a route's calls are idempotent."""
    return None if value in ("safe", "once") else f"{value!r:.80} is neither 'safe' nor 'once'"


def check_split(value: Any) -> str | None:
    """Check that a value is a list of services with their weights."""
    if not isinstance(value, (list, tuple)) or not value:
        return f"{value!r:.80} is no list of [service, weight], or empty"
    for entry in value:
        if not isinstance(entry, (list, tuple)) or len(entry) != 2 or check_text(entry[0]):
            return f"{entry!r:.80} is no [service, weight]"
        if not is_weight(entry[1]):
            return f"weight {entry[1]!r:.80} is no number from 0"
    return None


def is_weight(value: Any) -> bool:
    """Return whether a value is a number that can be a weight."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and 0 <= value < INTEGER_LIMIT


class SpecFields(NamedTuple):
    """The checks of the fields in the spec of one kind; other fields are ignored."""

    required: dict[str, Check]
    optional: dict[str, Check]


SPECS = {
    "route": SpecFields(
        {
            "host": check_text,
            "prefix": check_prefix,
            "repeat": check_repeat,
            "timeout_us": integer_check(1, MAX_TIMEOUT_US + 1),
            "tries": integer_check(1),
            "split": check_split,
        },
        {"aim_us": integer_check(0), "priority": integer_check(0)},
    ),
    "service": SpecFields({}, {"health": check_text, "connections": integer_check(0)}),
    "limits": SpecFields(
        {
            field: integer_check(1)
            for field in ("header_bytes", "body_bytes", "header_us", "idle_us")
        },
        {},
    ),
}


def validate_items(items: Any) -> list[str]:
    """Return all errors of a change's items, each with its path; empty if they are valid.

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
    return (errors or contradiction_errors(items))[:MAX_ERRORS]


def item_errors(item: Any) -> list[FieldError]:
    """Report what is wrong with one item."""
    if not isinstance(item, dict):
        return [("", "no item")]
    kind = item.get("kind")
    if not isinstance(kind, str) or kind not in SPECS:
        return [(".kind", f"{kind!r:.80} is no kind of item")]
    return [*identity_errors(item), *spec_errors(item)]


def identity_errors(item: Item) -> list[FieldError]:
    """Report what is wrong with an item's name, version and source."""
    errors = []
    name = item.get("name")
    if item["kind"] == UNNAMED_KIND:
        if name != "":
            errors.append((".name", f"limits has no name of its own: {name!r:.80}"))
    elif error := check_text(name):
        errors.append((".name", error))
    if error := integer_check(0)(item.get("version")):
        errors.append((".version", error))
    if not is_encodable(item.get("source")):
        errors.append((".source", "no text"))
    return errors


def spec_errors(item: Item) -> list[FieldError]:
    """Report what is wrong with an item's spec, which is None if the item is dropped."""
    spec = item.get("spec")
    if spec is None and "spec" in item:
        return []
    if not isinstance(spec, dict):
        return [(".spec", "no object")]
    fields = SPECS[item["kind"]]
    checks = fields.required | {f: check for f, check in fields.optional.items() if f in spec}
    outcomes = ((field, check(spec.get(field))) for field, check in checks.items())
    return [(f".spec.{field}", error) for field, error in outcomes if error]


def contradiction_errors(items: list[Item]) -> list[str]:
    """Report items that occur twice with the same version but another spec or source."""
    contents: dict[tuple[str, str, int], tuple[Any, str]] = {}
    errors = []
    for position, item in enumerate(items):
        key = item["kind"], item["name"], item["version"]
        content = item["spec"], item["source"]
        if contents.setdefault(key, content) != content:
            errors.append(
                f"items.{position}: {item['kind']} '{item['name']}' is given twice with "
                f"version {item['version']} and differs"
            )
    return errors


def normalize_item(item: Item) -> Item:
    """Return a valid item reduced to its known fields."""
    spec = item["spec"]
    if spec is not None:
        fields = SPECS[item["kind"]]
        names = (*fields.required, *fields.optional)
        spec = {field: spec[field] for field in names if field in spec}
    return {**{field: item[field] for field in ("kind", "name", "version", "source")}, "spec": spec}
