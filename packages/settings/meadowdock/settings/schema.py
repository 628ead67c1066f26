"""The valid values of each setting, as a JSON schema and as a check that needs no library.

The checks save a daemon the time and memory of a schema validator. Invariant: a check accepts
nothing that its schema rejects. If a check fails, the settings are validated with the schema, which
also provides the error messages.
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
MAX_SERVICE_LENGTH = 256  # characters
MAX_MEMORY_MB = 1_000_000
MAX_DISK_MB = 1_000_000_000
MAX_DESCRIPTORS = 1 << 30
MAX_RESERVE = 1_000_000  # retries

REQUIRED = ("host", "hall", "seeds")


class Rule(NamedTuple):
    """The valid values of one setting."""

    schema: Schema
    accepts: Check


def integer_between(low: int, high: int) -> Check:
    """Return a check that accepts integers within bounds, but no booleans."""
    return lambda value: type(value) is int and low <= value <= high


def is_text(value: Any) -> bool:
    """Return whether a value is text and not empty."""
    return isinstance(value, str) and value != ""


def is_boolean(value: Any) -> bool:
    """Return whether a value is a boolean."""
    return isinstance(value, bool)


def matches(pattern: str) -> Check:
    """Return a check that accepts text in which a pattern is found."""
    search = re.compile(pattern).search
    return lambda value: isinstance(value, str) and search(value) is not None


def is_ipv4(value: Any) -> bool:
    """Return whether a value is an IPv4 address in dotted-decimal notation."""
    try:
        return isinstance(value, str) and bool(socket.inet_pton(socket.AF_INET, value))
    except (OSError, ValueError):
        return False


def list_of(accepts: Check) -> Check:
    """Return a check that accepts lists whose items all pass another check."""
    return lambda value: isinstance(value, list) and all(map(accepts, value))


def distinct_list(low: int, high: int, accepts: Check) -> Check:
    """Return a check that accepts lists of low to high distinct items that pass another check."""
    accepts_items = list_of(accepts)
    return lambda value: (
        accepts_items(value) and low <= len(value) <= high and len(set(value)) == len(value)
    )


def is_service(value: Any) -> bool:
    """Return whether a value is a valid name of a service."""
    return is_text(value) and len(value) <= MAX_SERVICE_LENGTH


def is_retry_budget(value: Any) -> bool:
    """Return whether a value is a table with exactly the settings of a retry budget."""
    return (
        isinstance(value, dict)
        and set(value) == set(RETRY_BUDGET_SCHEMA["properties"])
        and type(value["ratio"]) in (int, float)
        and 0 <= value["ratio"] <= 1
        and DURATION_US.accepts(value["window_us"])
        and integer_between(0, MAX_RESERVE)(value["reserve"])
    )


def integer_rule(low: int, high: int) -> Rule:
    """Return the rule for integers within bounds."""
    return Rule({"type": "integer", "minimum": low, "maximum": high}, integer_between(low, high))


def pattern_rule(pattern: str) -> Rule:
    """Return the rule for text in which a pattern is found."""
    return Rule({"type": "string", "pattern": pattern}, matches(pattern))


def addresses_rule(low: int, high: int) -> Rule:
    """Return the rule for lists of low to high distinct addresses."""
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
DURATION_US = integer_rule(1, MAX_TIME_US)
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
        "window_us": DURATION_US.schema,
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
    "first_start": FLAG,
    "losses": LOSSES,
    "zone_losses": LOSSES,
    "region_losses": LOSSES,
    "region": ZONE,
    "contact_us": DURATION_US,
    "ack_us": DURATION_US,
    "apply_us": DURATION_US,
    "linger_us": DURATION_US,
    "stop_us": DURATION_US,
    "catch_up_us": DURATION_US,
    "beat_us": DURATION_US,
    "drain_us": DURATION_US,
    "memory_mb": integer_rule(1, MAX_MEMORY_MB),
    "disk_mb": integer_rule(1, MAX_DISK_MB),
    "descriptors": integer_rule(1, MAX_DESCRIPTORS),
    "tries": Rule(RETRY_BUDGET_SCHEMA, is_retry_budget),
}
SCHEMA: Schema = {
    "type": "object",
    "additionalProperties": False,
    "required": [*REQUIRED],
    "properties": {name: rule.schema for name, rule in RULES.items()},
}


def passes_checks(values: dict[str, Any]) -> bool:
    """Return whether all settings pass their checks.

    False doesn't mean that they are invalid: the schema decides.
    """
    return set(REQUIRED) <= values.keys() <= RULES.keys() and all(
        RULES[name].accepts(value) for name, value in values.items()
    )


def schema_errors(values: dict[str, Any]) -> ValidationErrors:
    """Return all errors that the schema finds, with their paths."""
    import jsonschema  # imported here, since a daemon with valid settings never needs it

    validator = jsonschema.Draft202012Validator(SCHEMA, format_checker=jsonschema.FormatChecker())
    return [
        (".".join(["boot", *map(str, error.absolute_path)]), error.message)
        for error in validator.iter_errors(values)
    ]
