"""Validation of settings and their conversion to ProcessSettings, with the reading of key files."""

from __future__ import annotations

from typing import Any

from meadowdock.settings.exceptions import InvalidSettings
from meadowdock.settings.model import (
    DEFAULT_NODES_EXPECTED,
    DEFAULT_PORTS,
    FIELD_NAMES,
    ProcessSettings,
    RetryBudgetSettings,
)
from meadowdock.settings.schema import (
    MAX_PORT,
    ValidationErrors,
    is_ipv4,
    passes_checks,
    schema_errors,
)

FLEET_KEY_DIGITS = 64
HEXADECIMAL = frozenset("0123456789abcdef")
BOOTSTRAP_SIZES = (1, 3, 5)
# Settings that need no conversion and have a default in ProcessSettings.
OPTIONAL = (
    "gate_port",
    "gate",
    "app",
    "service",
    "founding",
    "first_start",
    "losses",
    "zone_losses",
    "region_losses",
    "region",
    "contact_us",
    "ack_us",
    "apply_us",
    "linger_us",
    "stop_us",
    "catch_up_us",
    "beat_us",
    "drain_us",
    "memory_mb",
    "disk_mb",
    "descriptors",
)


def validate_settings(role: str, values: dict[str, Any]) -> ProcessSettings:
    """Validate the settings of a process and return them as ProcessSettings.

    :param role: "mdproxy", "mdreg" or "mdconf".
    :raises InvalidSettings: with all errors and their paths.

    >>> try: validate_settings("mdreg", {"host": "x", "hall": "H", "zone": "b"})
    ... except InvalidSettings as invalid: print(invalid)
    boot: 'seeds' is a required property
    boot: Additional properties are not allowed ('zone' was unexpected)
    boot: one of fleet_key and fleet_key_file is needed
    boot.hall: 'H' does not match '^[a-z0-9-]{1,32}$'
    boot.host: 'x' is not a 'ipv4'
    """
    errors = [] if passes_checks(values) else schema_errors(values)
    fleet_key = find_fleet_key(values, errors)
    operator_key = None
    if values.get("operator_key_file"):
        operator_key = read_key_file(values["operator_key_file"], "boot.operator_key_file", errors)
    if role == "mdconf":
        errors += config_store_errors(values)
    errors += address_errors(values)
    if not errors:
        errors += shutdown_errors(values)
    if errors or fleet_key is None:
        distinct = sorted(set(errors), key=str)
        raise InvalidSettings([f"{path}: {message}" for path, message in distinct])
    return build_settings(role, values, fleet_key, operator_key)


def build_settings(
    role: str, values: dict[str, Any], fleet_key: str, operator_key: str | None
) -> ProcessSettings:
    """Build ProcessSettings from valid values."""
    optional = {FIELD_NAMES.get(name, name): values[name] for name in OPTIONAL if name in values}
    if "tries" in values:
        optional["retry_budget"] = RetryBudgetSettings(**values["tries"])
    http_port, link_port = DEFAULT_PORTS[role]
    return ProcessSettings(
        role=role,
        host=values["host"],
        zone=values["hall"],
        seeds=tuple(values["seeds"]),
        fleet_key=bytes.fromhex(fleet_key),
        data=values.get("data"),
        members=tuple(values.get("members", ())),
        local_addresses=frozenset([values["host"], *values.get("local", ())]),
        nodes_expected=values.get("nodes_expected", DEFAULT_NODES_EXPECTED),
        operator_key=operator_key,
        http_port=values.get("http_port", http_port),
        link_port=values.get("link_port", link_port),
        **optional,
    )


def find_fleet_key(values: dict[str, Any], errors: ValidationErrors) -> str | None:
    """Return the fleet key, from the settings or its file; add what is wrong with it to `errors`."""
    key, path = values.get("fleet_key"), values.get("fleet_key_file")
    if key:
        return str(key)
    if not path:
        errors.append(("boot", "one of fleet_key and fleet_key_file is needed"))
        return None
    key = read_key_file(path, "boot.fleet_key_file", errors)
    if key is not None and (len(key) != FLEET_KEY_DIGITS or set(key) - HEXADECIMAL):
        errors.append(("boot.fleet_key_file", "the file must hold 64 hexadecimal digits"))
    return key


def read_key_file(path: str, setting: str, errors: ValidationErrors) -> str | None:
    """Return the text of a key file; if it can't be read, add an error and return None.

    :param setting: the path of the setting that names the file.
    """
    try:
        with open(path, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError) as cause:
        errors.append((setting, f"can't be read: {cause}"))
        return None


def config_store_errors(values: dict[str, Any]) -> ValidationErrors:
    """Return the errors in the settings that only members of the config store need."""
    is_present = {"data": bool(values.get("data")), "members": "members" in values}
    errors = [
        ("boot", f"'{name}' is needed by mdconf")
        for name, present in is_present.items()
        if not present
    ]
    if values.get("members") and len(values["members"]) not in BOOTSTRAP_SIZES:
        errors.append(("boot.members", "must list 1, 3 or 5 members, or none: the seeds found"))
    return errors


def address_errors(values: dict[str, Any]) -> ValidationErrors:
    """Return an error for each seed and member that is no valid IP address with a port."""
    return [
        (f"boot.{name}.{index}", "is no IP number and port")
        for name in ("seeds", "members")
        for index, address in enumerate(values.get(name) or ())
        if not is_address(str(address))
    ]


def is_address(address: str) -> bool:
    """Return whether a text is a valid "ip:port"."""
    host, _, port = address.rpartition(":")
    try:
        return is_ipv4(host) and 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def shutdown_errors(values: dict[str, Any]) -> ValidationErrors:
    """Return an error if a process would have to end before it has lingered."""
    linger_us = values.get("linger_us", ProcessSettings.linger_us)
    stop_us = values.get("stop_us", ProcessSettings.stop_us)
    if linger_us < stop_us:
        return []
    return [("boot.linger_us", f"{linger_us} is not less than stop_us, {stop_us}")]
