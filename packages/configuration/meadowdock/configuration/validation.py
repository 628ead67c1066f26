"""Parsing and validation of operators' configurations.

All errors are reported at once, each with its path, and no part of an invalid configuration is
used. The validation libraries are imported on first use, since most daemons validate nothing.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Mapping
from functools import cache
from itertools import islice
from typing import TYPE_CHECKING, Any

from meadowdock.configuration.exceptions import InvalidJson
from meadowdock.configuration.schema import (
    ANONYMOUS_CALLER,
    CONFIGURATION_SCHEMA,
    DEFAULT_LOAD,
    DEFAULT_SERVICE,
    MAX_CONFIGURATION_BYTES,
    MAX_TOTAL_WAIT_US,
    NAME_SCHEMA,
    STAGES,
    ConfigurationMap,
)

if TYPE_CHECKING:
    from returns.result import Result

MAX_ERRORS = 200
MAX_ERROR_LENGTH = 300  # characters of one message of the schema validator
RESERVED_PREFIXES = ("md", "live", "ready")  # first path segments reserved for the mesh itself


def validate_configuration(data: bytes | bytearray) -> Result[ConfigurationMap, list[str]]:
    """Return the configuration with its defaults filled in, or all errors."""
    return parse_json(data).bind(check_schema).bind(check_references)


def parse_json(data: bytes | bytearray) -> Result[ConfigurationMap, list[str]]:
    """Parse JSON strictly: duplicate keys, NaN and infinities are errors.

    >>> parse_json(b'{"a": 1, "a": 2}')
    <Failure: ["duplicate key 'a' in an object"]>
    """
    from returns.result import Failure, Success

    if len(data) > MAX_CONFIGURATION_BYTES:
        return Failure([f"manifest is over {MAX_CONFIGURATION_BYTES} bytes"])
    try:
        value = json.loads(
            data, object_pairs_hook=object_without_duplicates, parse_constant=reject_constant
        )
    except InvalidJson as invalid:
        return Failure(invalid.errors)
    except (ValueError, RecursionError) as cause:
        return Failure([f"manifest is no JSON: {cause}"])
    return Success(value)


def object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object from its pairs.

    :raises InvalidJson: a key occurs more than once.
    """
    duplicates = [key for key, count in Counter(key for key, _ in pairs).items() if count > 1]
    if duplicates:
        raise InvalidJson([f"duplicate key '{key}' in an object" for key in duplicates])
    return dict(pairs)


def reject_constant(word: str) -> None:
    """Reject NaN and the infinities, which Python's parser would accept.

    :raises InvalidJson: always.
    """
    raise InvalidJson([f"{word} is no JSON number"])


def check_schema(configuration: ConfigurationMap) -> Result[ConfigurationMap, list[str]]:
    """Return the configuration with its defaults, or up to MAX_ERRORS schema errors."""
    from returns.result import Failure, Success

    reduced = with_distinct_routes(configuration)
    if reduced is not None and schema_validator().is_valid(reduced):
        return Success(with_defaults(configuration))
    errors = [
        f"{'.'.join(['manifest', *map(str, error.absolute_path)])}: "
        f"{error.message[:MAX_ERROR_LENGTH]}"
        for error in islice(schema_validator().iter_errors(configuration), MAX_ERRORS)
    ]
    return Failure(sorted(errors)) if errors else Success(with_defaults(configuration))


@cache
def schema_validator() -> Any:
    """Return the schema validator, which is built once."""
    import jsonschema

    jsonschema.Draft202012Validator.check_schema(CONFIGURATION_SCHEMA)
    return jsonschema.Draft202012Validator(CONFIGURATION_SCHEMA)


def with_distinct_routes(configuration: ConfigurationMap) -> ConfigurationMap | None:
    """Return the configuration without routes that differ from another only in name and path.

    A configuration may have tens of thousands of routes, but only dozens that differ otherwise, and
    the schema validator is slow. The names and paths of all routes are checked here; if one of them
    doesn't match its pattern, the result is None.
    """
    path_schema = CONFIGURATION_SCHEMA["properties"]["ways"]["items"]["properties"]["path"]
    name_pattern = re.compile(NAME_SCHEMA["pattern"])
    path_pattern = re.compile(path_schema["pattern"])
    distinct_routes: dict[str, Any] = {}
    try:
        for route in configuration["ways"]:
            if not (name_pattern.search(route["name"]) and path_pattern.search(route["path"])):
                return None
            if len(route["path"]) > path_schema["maxLength"]:
                return None
            other_fields = json.dumps({**route, "name": "", "path": ""}, sort_keys=True)
            distinct_routes.setdefault(other_fields, route)
    except (KeyError, TypeError):
        return None
    return {**configuration, "ways": list(distinct_routes.values())}


def with_defaults(configuration: ConfigurationMap) -> ConfigurationMap:
    """Return the configuration with its defaults filled in and its entries sorted.

    Equivalent configurations thereby yield equal chunks.
    """
    services = ({**DEFAULT_SERVICE, **service} for service in configuration["services"])
    routes = (
        {**route, "callers": sorted(route["callers"]), "methods": sorted(route["methods"])}
        for route in configuration["ways"]
    )
    return {
        "services": sorted(services, key=name_of),
        "budgets": sorted(configuration["budgets"], key=name_of),
        "ways": sorted(routes, key=name_of),
        "load": {**DEFAULT_LOAD, **configuration.get("load", {})},
    }


def name_of(entry: Mapping[str, Any]) -> str:
    """Return the name of a service, budget or route."""
    name: str = entry["name"]
    return name


def check_references(configuration: ConfigurationMap) -> Result[ConfigurationMap, list[str]]:
    """Return the configuration, or the errors that the schema can't express."""
    from returns.result import Failure, Success

    errors = [
        *duplicate_name_errors(configuration),
        *reference_errors(configuration),
        *wait_errors(configuration),
        *path_errors(configuration),
        *load_errors(configuration["load"]),
    ]
    return Failure(sorted(errors)[:MAX_ERRORS]) if errors else Success(configuration)


def duplicate_name_errors(configuration: ConfigurationMap) -> list[str]:
    """Report names that several entries of a section have in common."""
    return [
        f"manifest.{section}: name '{name}' is given {count} times"
        for section in ("services", "budgets", "ways")
        for name, count in Counter(map(name_of, configuration[section])).items()
        if count > 1
    ]


def reference_errors(configuration: ConfigurationMap) -> list[str]:
    """Report services, budgets and callers that routes refer to but that don't exist."""
    services = {name_of(service) for service in configuration["services"]}
    budgets = {name_of(budget) for budget in configuration["budgets"]}
    errors = []
    for route in configuration["ways"]:
        prefix = f"manifest.ways '{route['name']}'"
        for kind, known in (("service", services), ("budget", budgets)):
            if route[kind] not in known:
                errors.append(f"{prefix}: no {kind} '{route[kind]}'")
        for caller in route["callers"]:
            if caller != ANONYMOUS_CALLER and caller not in services:
                errors.append(f"{prefix}: caller '{caller}' is neither 'guest' nor a service")
    return errors


def wait_errors(configuration: ConfigurationMap) -> list[str]:
    """Report budgets whose stages add up to more than a call may take."""
    totals = (
        (budget["name"], sum(budget[stage]["wait_us"] for stage in STAGES))
        for budget in configuration["budgets"]
    )
    return [
        f"manifest.budgets '{name}': waits add up to {total} us, over {MAX_TOTAL_WAIT_US}"
        for name, total in totals
        if total > MAX_TOTAL_WAIT_US
    ]


def path_errors(configuration: ConfigurationMap) -> list[str]:
    """Report routes with the same caller, method and path, and routes with a reserved path.

    A path below that of another route is not an overlap, since the longest matching path decides.
    """
    match_counts = Counter(
        (caller, method, route["path"])
        for route in configuration["ways"]
        for caller in route["callers"]
        for method in route["methods"]
    )
    overlaps = [
        f"manifest.ways: {count} ways overlap at {caller} {method} {path}"
        for (caller, method, path), count in match_counts.items()
        if count > 1
    ]
    reserved = [
        f"manifest.ways '{route['name']}': paths below /md, /live and /ready are the mesh's own"
        for route in configuration["ways"]
        if route["path"].split("/")[1] in RESERVED_PREFIXES
    ]
    return overlaps + reserved


def load_errors(load: Mapping[str, Any]) -> list[str]:
    """Report settings of load sharing that contradict one another."""
    errors = []
    if load["phi"] > load["omega"]:
        errors.append("manifest.load: phi is above omega")
    if load["stale_us"] < 2 * load["interval_us"]:
        errors.append("manifest.load: stale_us is below two intervals")
    return errors
