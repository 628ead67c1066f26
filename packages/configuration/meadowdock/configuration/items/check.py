"""What a call's items must be by themselves. All errors at once, each with its path."""

from __future__ import annotations

TIMEOUT_MAX = 600_000_000  # us
ERRORS_MAX = 200
WEIGHT_END = 1 << 63  # what chunks can hold as a whole number


class Invalid(Exception):
    """errors: texts, each with its path."""

    def __init__(self, errors):
        super().__init__("; ".join(errors))
        self.errors = errors


def whole(least, most=1 << 63):
    def wrong(value):
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value < most:
            return f"{value!r:.80} is no whole number from {least}" + (
                f" to {most - 1}" if most < 1 << 63 else ""
            )
        return None

    return wrong


def text(value):
    return None if value and encodable(value) else f"{value!r:.80} is no text, or empty"


def encodable(value):
    """A text that UTF-8 can carry: JSON also knows halves of surrogate pairs."""
    try:
        return isinstance(value, str) and (value.isascii() or bool(value.encode()))
    except UnicodeEncodeError:
        return False


def prefix(value):
    good = encodable(value) and value[:1] == "/" == value[-1:]
    return None if good else f"{value!r:.80} does not begin and end with '/'"


def repeat(value):
    return None if value in ("safe", "once") else f"{value!r:.80} is neither 'safe' nor 'once'"


def split(value):
    if not isinstance(value, (list, tuple)) or not value:
        return f"{value!r:.80} is no list of [service, weight], or empty"
    for share in value:
        if not isinstance(share, (list, tuple)) or len(share) != 2 or text(share[0]):
            return f"{share!r:.80} is no [service, weight]"
        if (
            isinstance(share[1], bool)
            or not isinstance(share[1], (int, float))
            or not 0 <= share[1] < WEIGHT_END
        ):
            return f"weight {share[1]!r:.80} is no number from 0"
    return None


# kind -> (needed fields, fields that may be absent); others of a spec are ignored
SPECS = {
    "route": (
        {
            "host": text,
            "prefix": prefix,
            "repeat": repeat,
            "timeout_us": whole(1, TIMEOUT_MAX + 1),
            "tries": whole(1),
            "split": split,
        },
        {"aim_us": whole(0), "priority": whole(0)},
    ),
    "service": ({}, {"health": text, "connections": whole(0)}),
    "limits": (
        {name: whole(1) for name in ("header_bytes", "body_bytes", "header_us", "idle_us")},
        {},
    ),
}


def check(items):
    """Every error of a call's items, as texts with paths; empty if there is none.

    >>> check([{"kind": "service", "name": "a", "version": 1, "spec": {"x": 1}, "source": ""}])
    []
    >>> check([{"kind": "limits", "name": "a", "version": -1, "spec": None, "source": ""}])
    ["items.0.name: limits has no name of its own: 'a'", 'items.0.version: -1 is no whole number from 0']
    >>> check({})
    ['items: no list']
    """
    if not isinstance(items, list):
        return ["items: no list"]
    errors = [
        f"items.{place}{path}: {error}"
        for place, item in enumerate(items)
        for path, error in faults(item)
    ]
    return (errors or twins(items))[:ERRORS_MAX]


def faults(item):
    """(path, error) of one item."""
    if not isinstance(item, dict):
        return [("", "no item")]
    kind, name, spec = (item.get(field) for field in ("kind", "name", "spec"))
    if not isinstance(kind, str) or kind not in SPECS:
        return [(".kind", f"{kind!r:.80} is no kind of item")]
    found = []
    if kind == "limits":
        if name != "":
            found.append((".name", f"limits has no name of its own: {name!r:.80}"))
    elif text(name):
        found.append((".name", text(name)))
    if whole(0)(item.get("version")):
        found.append((".version", whole(0)(item.get("version"))))
    if not encodable(item.get("source")):
        found.append((".source", "no text"))
    if spec is None and "spec" in item:
        return found
    if not isinstance(spec, dict):
        return [*found, (".spec", "no object")]
    needed, optional = SPECS[kind]
    asked = {f: spec.get(f) for f in needed} | {f: spec[f] for f in optional if f in spec}
    told = ((f, (needed.get(f) or optional[f])(value)) for f, value in asked.items())
    return found + [(f".spec.{field}", error) for field, error in told if error]


def clean(item):
    """An item that passed `check`, with the fields that have a meaning alone."""
    spec = item["spec"]
    if spec is not None:
        needed, optional = SPECS[item["kind"]]
        spec = {field: spec[field] for field in (*needed, *optional) if field in spec}
    return {**{field: item[field] for field in ("kind", "name", "version", "source")}, "spec": spec}


def twins(items):
    """The same name twice with one version: only if spec and source of both are the same."""
    first, errors = {}, []
    for place, item in enumerate(items):
        key = item["kind"], item["name"], item["version"]
        content = item["spec"], item["source"]
        if first.setdefault(key, content) != content:
            errors.append(
                f"items.{place}: {item['kind']} '{item['name']}' is given twice with "
                f"version {item['version']} and differs"
            )
    return errors
