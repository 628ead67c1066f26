"""What each setting may be: a JSON schema, and for each setting a check that needs no library.

The checks save a daemon the time and memory of a schema validator. Invariant: a check accepts
nothing that its schema rejects. What a check doesn't accept is validated, and the errors are
worded, by the schema.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from typing import Any, NamedTuple

Check = Callable[[Any], bool]
Schema = dict[str, Any]
ValidationErrors = list[tuple[str, str]]  # (path, message)

ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
KEY_PATTERN = r"^[0-9a-f]{64}$"
ZONE_PATTERN = "^[a-z0-9-]{1,32}$"
MAX_TIME_US = 3600 * 1_000_000
MAX_PORT = 65535
MAX_LOSSES = 2
MAX_SEEDS = 3
MAX_MEMBERS = 5
MAX_NODES = 10_000
MAX_SERVICE_LENGTH = 256
MAX_RESERVE = 1_000_000

REQUIRED = ("host", "hall", "seeds")


class Rule(NamedTuple):
    """What one setting may be."""

    schema: Schema
    accepts: Check


# ---------------------------------------------------------------- checks


def integer_between(low: int, high: int) -> Check:
    """A check for integers within bounds; a boolean is none."""
    return lambda value: type(value) is int and low <= value <= high


def is_text(value: Any) -> bool:
    """Whether a value is text, and not empty."""
    return isinstance(value, str) and value != ""


def is_boolean(value: Any) -> bool:
    """Whether a value is true or false."""
    return isinstance(value, bool)


def matches(pattern: str) -> Check:
    """A check for text in which a pattern is found."""
    search = re.compile(pattern).search
    return lambda value: isinstance(value, str) and search(value) is not None


def is_ipv4(value: Any) -> bool:
    """Whether a value is an IPv4 address in its usual form."""
    try:
        return isinstance(value, str) and bool(socket.inet_pton(socket.AF_INET, value))
    except (OSError, ValueError):
        return False


def list_of(accepts: Check) -> Check:
    """A check for lists whose items pass a check."""
    return lambda value: isinstance(value, list) and all(map(accepts, value))


def distinct_list(low: int, high: int, accepts: Check) -> Check:
    """A check for lists of low to high different items that pass a check."""
    accepts_items = list_of(accepts)
    return lambda value: (
        accepts_items(value) and low <= len(value) <= high and len(set(value)) == len(value)
    )


def is_service(value: Any) -> bool:
    """Whether a value is the name of a service."""
    return is_text(value) and len(value) <= MAX_SERVICE_LENGTH


def is_retry_budget(value: Any) -> bool:
    """Whether a value is a table with all settings of a retry budget, and no others."""
    return (
        isinstance(value, dict)
        and set(value) == set(RETRY_BUDGET_SCHEMA["properties"])
        and type(value["ratio"]) in (int, float)
        and 0 <= value["ratio"] <= 1
        and TIME.accepts(value["window_us"])
        and integer_between(0, MAX_RESERVE)(value["reserve"])
    )


# ---------------------------------------------------------------- rules


def integer_rule(low: int, high: int) -> Rule:
    """The rule for integers within bounds."""
    return Rule({"type": "integer", "minimum": low, "maximum": high}, integer_between(low, high))


def pattern_rule(pattern: str) -> Rule:
    """The rule for text in which a pattern is found."""
    return Rule({"type": "string", "pattern": pattern}, matches(pattern))


def addresses_rule(low: int, high: int) -> Rule:
    """The rule for lists of low to high different addresses."""
    schema: Schema = {
        "type": "array",
        "maxItems": high,
        "uniqueItems": True,
        "items": ADDRESS.schema,
    }
    if low:
        schema["minItems"] = low
    return Rule(schema, distinct_list(low, high, ADDRESS.accepts))


TEXT = Rule({"type": "string", "minLength": 1}, is_text)
FLAG = Rule({"type": "boolean"}, is_boolean)
IPV4 = Rule({"type": "string", "format": "ipv4"}, is_ipv4)
IPV4_LIST = Rule({"type": "array", "items": IPV4.schema}, list_of(is_ipv4))
ADDRESS = pattern_rule(ADDRESS_PATTERN)
ZONE = pattern_rule(ZONE_PATTERN)
TIME = integer_rule(1, MAX_TIME_US)
PORT = integer_rule(1, MAX_PORT)
LOSSES = integer_rule(0, MAX_LOSSES)
SERVICE = Rule(
    {"type": "string", "minLength": 1, "maxLength": MAX_SERVICE_LENGTH},
    is_service,
)
RETRY_BUDGET_SCHEMA: Schema = {
    "type": "object",
    "additionalProperties": False,
    "required": ["ratio", "window_us", "reserve"],
    "properties": {
        "ratio": {"type": "number", "minimum": 0, "maximum": 1},
        "window_us": TIME.schema,
        "reserve": {"type": "integer", "minimum": 0, "maximum": MAX_RESERVE},
    },
}

RULES = {
    "host": IPV4,
    "hall": ZONE,
    "seeds": addresses_rule(1, MAX_SEEDS),
    "data": TEXT,
    "fleet_key": pattern_rule(KEY_PATTERN),
    "fleet_key_file": TEXT,
    "operator_key_file": TEXT,
    "members": addresses_rule(0, MAX_MEMBERS),
    "local": IPV4_LIST,
    "nodes_expected": integer_rule(1, MAX_NODES),
    "http_port": PORT,
    "link_port": PORT,
    "gate_port": PORT,
    "gate": ADDRESS,
    "app": ADDRESS,
    "service": SERVICE,
    "founding": FLAG,
    "losses": LOSSES,
    "zone_losses": LOSSES,
    "region_losses": LOSSES,
    "region": ZONE,
    "contact_us": TIME,
    "ack_us": TIME,
    "apply_us": TIME,
    "linger_us": TIME,
    "stop_us": TIME,
    "catch_up_us": TIME,
    "beat_us": TIME,
    "drain_us": TIME,
    "tries": Rule(RETRY_BUDGET_SCHEMA, is_retry_budget),
}
SCHEMA: Schema = {
    "type": "object",
    "additionalProperties": False,
    "required": [*REQUIRED],
    "properties": {name: rule.schema for name, rule in RULES.items()},
}


def passes_checks(values: dict[str, Any]) -> bool:
    """Whether all settings pass their checks; False says only that the schema has to look."""
    return set(REQUIRED) <= values.keys() <= RULES.keys() and all(
        RULES[name].accepts(value) for name, value in values.items()
    )


def schema_errors(values: dict[str, Any]) -> ValidationErrors:
    """All that the schema finds wrong."""
    import jsonschema  # here, since a daemon whose settings are good never needs it

    validator = jsonschema.Draft202012Validator(SCHEMA, format_checker=jsonschema.FormatChecker())
    return [
        (".".join(["boot", *map(str, error.absolute_path)]), error.message)
        for error in validator.iter_errors(values)
    ]
