"""Parsing and validation of operators' configurations.

All errors are given at once, each with its path; nothing of an invalid configuration is kept. The
libraries for it are imported when they are first needed: most daemons validate nothing.
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
MAX_ERROR_LENGTH = 300  # of what the schema's validator says
RESERVED_PREFIXES = ("md", "live", "ready")  # first segments of the mesh's own paths


def validate_configuration(data: bytes) -> Result[ConfigurationMap, list[str]]:
    """The complete configuration with defaults filled in, or all errors."""
    return parse_json(data).bind(check_schema).bind(check_references)


# ---------------------------------------------------------------- JSON


def parse_json(data: bytes) -> Result[ConfigurationMap, list[str]]:
    """The value of a JSON text, or errors. Keys that occur twice and NaN are errors.

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
    """The object of these pairs.

    :raises InvalidJson: a key occurs twice.
    """
    duplicates = [key for key, count in Counter(key for key, _ in pairs).items() if count > 1]
    if duplicates:
        raise InvalidJson([f"duplicate key '{key}' in an object" for key in duplicates])
    return dict(pairs)


def reject_constant(word: str) -> None:
    """For NaN and the infinities, which Python's parser would take.

    :raises InvalidJson: always.
    """
    raise InvalidJson([f"{word} is no JSON number"])


# ---------------------------------------------------------------- the schema


def check_schema(configuration: ConfigurationMap) -> Result[ConfigurationMap, list[str]]:
    """The configuration with defaults, or its first errors against the schema."""
    from returns.result import Failure, Success

    representative = one_route_of_each_form(configuration)
    if representative is not None and schema_validator().is_valid(representative):
        return Success(with_defaults(configuration))
    errors = [
        f"{'.'.join(['manifest', *map(str, error.absolute_path)])}: "
        f"{error.message[:MAX_ERROR_LENGTH]}"
        for error in islice(schema_validator().iter_errors(configuration), MAX_ERRORS)
    ]
    return Failure(sorted(errors)) if errors else Success(with_defaults(configuration))


@cache
def schema_validator() -> Any:
    """The validator of the schema, made once."""
    import jsonschema

    jsonschema.Draft202012Validator.check_schema(CONFIGURATION_SCHEMA)
    return jsonschema.Draft202012Validator(CONFIGURATION_SCHEMA)


def one_route_of_each_form(configuration: ConfigurationMap) -> ConfigurationMap | None:
    """The same configuration with one route of each form: equal but for name and path.

    Routes come by the ten thousand, forms by the dozen, and the schema's validator is slow. None
    unless all names and paths match their patterns, which are checked here for each route.
    """
    path_schema = CONFIGURATION_SCHEMA["properties"]["ways"]["items"]["properties"]["path"]
    name_pattern = re.compile(NAME_SCHEMA["pattern"])
    path_pattern = re.compile(path_schema["pattern"])
    forms: dict[str, Any] = {}
    try:
        for route in configuration["ways"]:
            if not (name_pattern.search(route["name"]) and path_pattern.search(route["path"])):
                return None
            if len(route["path"]) > path_schema["maxLength"]:
                return None
            form = json.dumps({**route, "name": "", "path": ""}, sort_keys=True)
            forms.setdefault(form, route)
    except (KeyError, TypeError):
        return None
    return {**configuration, "ways": list(forms.values())}


def with_defaults(configuration: ConfigurationMap) -> ConfigurationMap:
    """Complete and in one order, so that configurations that mean the same give equal chunks."""
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
    """The name of a service, budget or route."""
    name: str = entry["name"]
    return name


# ---------------------------------------------------------------- what the schema can't say


def check_references(configuration: ConfigurationMap) -> Result[ConfigurationMap, list[str]]:
    """The configuration, or errors between its parts."""
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
    """Names that are given to several entries of a section."""
    return [
        f"manifest.{section}: name '{name}' is given {count} times"
        for section in ("services", "budgets", "ways")
        for name, count in Counter(map(name_of, configuration[section])).items()
        if count > 1
    ]


def reference_errors(configuration: ConfigurationMap) -> list[str]:
    """Services, budgets and callers that routes name and that don't exist."""
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
    """Budgets whose stages add up to more than a call may take."""
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
    """Routes that have a caller, method and path in common, and paths of the mesh itself. A longer
    path inside a shorter one is no overlap: the longest wins."""
    claims = Counter(
        (caller, method, route["path"])
        for route in configuration["ways"]
        for caller in route["callers"]
        for method in route["methods"]
    )
    overlaps = [
        f"manifest.ways: {count} ways overlap at {caller} {method} {path}"
        for (caller, method, path), count in claims.items()
        if count > 1
    ]
    reserved = [
        f"manifest.ways '{route['name']}': paths below /md, /live and /ready are the mesh's own"
        for route in configuration["ways"]
        if route["path"].split("/")[1] in RESERVED_PREFIXES
    ]
    return overlaps + reserved


def load_errors(load: Mapping[str, Any]) -> list[str]:
    """Settings of load sharing that contradict one another."""
    errors = []
    if load["phi"] > load["omega"]:
        errors.append("manifest.load: phi is above omega")
    if load["stale_us"] < 2 * load["interval_us"]:
        errors.append("manifest.load: stale_us is below two intervals")
    return errors
