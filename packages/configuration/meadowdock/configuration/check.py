"""Reading and checking. All errors at once, each with its path; nothing of a broken one is kept."""

from __future__ import annotations

import json
import re
from collections import Counter
from functools import cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # else only by who checks: daemons that don't are spared its memory
    from returns.result import Result

SIZE_MAX = 16 << 20
TOTAL_WAIT_MAX = 3_900_000  # a stop is forced after about 6 s; no call may need 4 s
ERRORS_MAX = 200

NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,63}$"}
STAGE = {
    "type": "object",
    "additionalProperties": False,
    "required": ["wait_us", "tries"],
    "properties": {
        "wait_us": {"type": "integer", "minimum": 0, "maximum": TOTAL_WAIT_MAX},
        "tries": {"type": "integer", "minimum": 0, "maximum": 3},
    },
}
SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["services", "ways", "budgets"],
    "properties": {
        "services": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name"],
                "properties": {
                    "name": NAME,
                    "identity": {"type": "boolean"},
                    "echo": {"type": "boolean"},
                    "record": {"type": "boolean"},
                    "body_max": {"type": "integer", "minimum": 1, "maximum": 4194304},
                },
            },
        },
        "budgets": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "arrival", "spill", "endpoint"],
                "properties": {"name": NAME, "arrival": STAGE, "spill": STAGE, "endpoint": STAGE},
            },
        },
        "ways": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "callers", "service", "methods", "path", "repeat", "budget"],
                "properties": {
                    "name": NAME,
                    "callers": {
                        "type": "array",
                        "minItems": 1,
                        "uniqueItems": True,
                        "items": NAME,
                    },
                    "service": NAME,
                    "methods": {
                        "type": "array",
                        "minItems": 1,
                        "uniqueItems": True,
                        "items": {"enum": ["GET", "POST", "PUT", "PATCH", "DELETE"]},
                    },
                    "path": {
                        "type": "string",
                        "pattern": "^(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+$",
                        "maxLength": 512,
                    },
                    "repeat": {"enum": ["safe", "once"]},
                    "budget": NAME,
                },
            },
        },
        "load": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "interval_us": {"type": "integer", "minimum": 50000, "maximum": 10000000},
                "omega": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
                "phi": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
                "share": {"type": "number", "minimum": 0, "maximum": 1},
                "stale_us": {"type": "integer", "minimum": 100000, "maximum": 60000000},
            },
        },
    },
}
LOAD = {
    "interval_us": 500_000,
    "omega": 0.95,
    "phi": 0.8,
    "share": 0.05,
    "stale_us": 2_000_000,
}
SERVICE = {"identity": False, "echo": False, "record": False, "body_max": 262_144}


class Bad(Exception):
    def __init__(self, errors):
        super().__init__("; ".join(errors))
        self.errors = errors


@cache
def validator():
    import jsonschema  # heavy, and only who checks needs it

    jsonschema.Draft202012Validator.check_schema(SCHEMA)
    return jsonschema.Draft202012Validator(SCHEMA)


def no_twins(pairs):
    twins = [key for key, count in Counter(key for key, _ in pairs).items() if count > 1]
    if twins:
        raise Bad([f"duplicate key '{key}' in an object" for key in twins])
    return dict(pairs)


def no_constant(word):
    raise Bad([f"{word} is no JSON number"])


def parse(data) -> Result[dict, list]:
    """
    >>> parse(b'{"a": 1, "a": 2}')
    <Failure: ["duplicate key 'a' in an object"]>
    """
    from returns.result import Failure, Success

    if len(data) > SIZE_MAX:
        return Failure([f"manifest is over {SIZE_MAX} bytes"])
    try:
        return Success(json.loads(data, object_pairs_hook=no_twins, parse_constant=no_constant))
    except Bad as bad:
        return Failure(bad.errors)
    except (ValueError, RecursionError) as cause:
        return Failure([f"manifest is no JSON: {cause}"])


def with_defaults(facts):
    """Whole and in one order, so that equal intents give equal ranges."""
    return {
        "services": sorted(
            ({**SERVICE, **service} for service in facts["services"]), key=lambda s: s["name"]
        ),
        "budgets": sorted(facts["budgets"], key=lambda b: b["name"]),
        "ways": sorted(
            (
                {**w, "callers": sorted(w["callers"]), "methods": sorted(w["methods"])}
                for w in facts["ways"]
            ),
            key=lambda w: w["name"],
        ),
        "load": {**LOAD, **facts.get("load", {})},
    }


def checked(data) -> Result[dict, list]:
    """The whole manifest, or every error."""
    return parse(data).bind(shape).bind(cross)


def forms(facts):
    """The same manifest with one way of each form: equal but for name and path. None unless all
    names and paths fit their patterns. Ways come by the ten thousand, forms by the dozen."""
    properties = SCHEMA["properties"]["ways"]["items"]["properties"]
    name, path = re.compile(NAME["pattern"]), re.compile(properties["path"]["pattern"])
    found = {}
    try:
        for way in facts["ways"]:
            if not (name.search(way["name"]) and path.search(way["path"])):
                return None
            if len(way["path"]) > properties["path"]["maxLength"]:
                return None
            found.setdefault(json.dumps({**way, "name": "", "path": ""}, sort_keys=True), way)
    except (KeyError, TypeError):
        return None
    return {**facts, "ways": list(found.values())}


def shape(facts):
    from returns.result import Failure, Success

    few = forms(facts)
    if few is not None and validator().is_valid(few):
        return Success(with_defaults(facts))
    errors = [
        f"{'.'.join(['manifest', *map(str, error.absolute_path)])}: {error.message[:300]}"
        for error, _ in zip(validator().iter_errors(facts), range(ERRORS_MAX), strict=False)
    ]
    return Failure(sorted(errors)) if errors else Success(with_defaults(facts))


def cross(facts):
    from returns.result import Failure, Success

    errors = [*twins(facts), *dangling(facts), *over_cap(facts), *overlapping(facts)]
    load = facts["load"]
    if load["phi"] > load["omega"]:
        errors.append("manifest.load: phi is above omega")
    if load["stale_us"] < 2 * load["interval_us"]:
        errors.append("manifest.load: stale_us is below two intervals")
    return Failure(sorted(errors)[:ERRORS_MAX]) if errors else Success(facts)


def twins(facts):
    return [
        f"manifest.{section}: name '{name}' is given {count} times"
        for section in ("services", "budgets", "ways")
        for name, count in Counter(item["name"] for item in facts[section]).items()
        if count > 1
    ]


def dangling(facts):
    known = {
        section: {item["name"] for item in facts[section]} for section in facts if section != "load"
    }
    return [
        f"manifest.ways '{way['name']}': no {kind} '{way[kind]}'"
        for way in facts["ways"]
        for kind in ("service", "budget")
        if way[kind] not in known[kind + "s"]
    ] + [
        f"manifest.ways '{way['name']}': caller '{caller}' is neither 'guest' nor a service"
        for way in facts["ways"]
        for caller in way["callers"]
        if caller != "guest" and caller not in known["services"]
    ]


def over_cap(facts):
    totals = (
        (b["name"], sum(b[stage]["wait_us"] for stage in ("arrival", "spill", "endpoint")))
        for b in facts["budgets"]
    )
    return [
        f"manifest.budgets '{name}': waits add up to {total} us, over {TOTAL_WAIT_MAX}"
        for name, total in totals
        if total > TOTAL_WAIT_MAX
    ]


def overlapping(facts):
    """The same caller, method and path in two ways. A longer path inside a shorter one is no
    overlap: the longest wins."""
    claims = Counter(
        (caller, method, way["path"])
        for way in facts["ways"]
        for caller in way["callers"]
        for method in way["methods"]
    )
    return [
        f"manifest.ways: {count} ways overlap at {caller} {method} {path}"
        for (caller, method, path), count in claims.items()
        if count > 1
    ] + [
        f"manifest.ways '{way['name']}': paths below /md, /live and /ready are the mesh's own"
        for way in facts["ways"]
        if way["path"].split("/")[1] in ("md", "live", "ready")
    ]
