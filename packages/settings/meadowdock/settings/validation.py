"""From the values of a settings file and flags to ProcessSettings: schema, cross-checks, key files."""

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

KEY_DIGITS = 64
HEXADECIMAL = frozenset("0123456789abcdef")
BOOTSTRAP_SIZES = (1, 3, 5)
# Settings that are taken as they are, and that have a default in ProcessSettings.
OPTIONAL = (
    "gate_port",
    "gate",
    "app",
    "service",
    "founding",
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
)


def checked(role: str, values: dict[str, Any]) -> ProcessSettings:
    """The settings of a process of a role ("mdproxy", "mdreg" or "mdconf").

    :raises InvalidSettings: with every error and its path.

    >>> try: checked("mdreg", {"host": "x", "hall": "H", "zone": "b"})
    ... except InvalidSettings as invalid: print(invalid)
    boot: 'seeds' is a required property
    boot: Additional properties are not allowed ('zone' was unexpected)
    boot: one of fleet_key and fleet_key_file is needed
    boot.hall: 'H' does not match '^[a-z0-9-]{1,32}$'
    boot.host: 'x' is not a 'ipv4'
    """
    errors = [] if passes_checks(values) else schema_errors(values)
    fleet_key = fleet_key_of(values, errors)
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
    return settings_of(role, values, fleet_key, operator_key)


def settings_of(
    role: str, values: dict[str, Any], fleet_key: str, operator_key: str | None
) -> ProcessSettings:
    """The settings that valid values describe."""
    optional = {FIELD_NAMES.get(n, n): values[n] for n in OPTIONAL if n in values}
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


def fleet_key_of(values: dict[str, Any], errors: ValidationErrors) -> str | None:
    """The fleet's key, given or from its file; what is wrong with it is added to `errors`."""
    key, path = values.get("fleet_key"), values.get("fleet_key_file")
    if key:
        return str(key)
    if not path:
        errors.append(("boot", "one of fleet_key and fleet_key_file is needed"))
        return None
    key = read_key_file(path, "boot.fleet_key_file", errors)
    if key is not None and (len(key) != KEY_DIGITS or set(key) - HEXADECIMAL):
        errors.append(("boot.fleet_key_file", "the file must hold 64 hexadecimal digits"))
    return key


def read_key_file(path: str, setting: str, errors: ValidationErrors) -> str | None:
    """The text of a key file; if it can't be read, None, and an error of the setting is added."""
    try:
        with open(path, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError) as cause:
        errors.append((setting, f"can't be read: {cause}"))
        return None


def config_store_errors(values: dict[str, Any]) -> ValidationErrors:
    """What the settings of a member of the config store lack."""
    given = {"data": bool(values.get("data")), "members": "members" in values}
    errors = [
        ("boot", f"'{name}' is needed by mdconf") for name, present in given.items() if not present
    ]
    if values.get("members") and len(values["members"]) not in BOOTSTRAP_SIZES:
        errors.append(("boot.members", "must list 1, 3 or 5 members, or none: the seeds found"))
    return errors


def address_errors(values: dict[str, Any]) -> ValidationErrors:
    """The seeds and members that are no IP address and port."""
    return [
        (f"boot.{name}.{index}", "is no IP number and port")
        for name in ("seeds", "members")
        for index, address in enumerate(values.get(name) or ())
        if not is_address(str(address))
    ]


def is_address(address: str) -> bool:
    """Whether a text is "ip:port" with numbers within their bounds."""
    host, _, port = address.rpartition(":")
    try:
        return is_ipv4(host) and 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def shutdown_errors(values: dict[str, Any]) -> ValidationErrors:
    """That a process would stop before it has lingered, if so."""
    linger_us = values.get("linger_us", ProcessSettings.linger_us)
    stop_us = values.get("stop_us", ProcessSettings.stop_us)
    if linger_us < stop_us:
        return []
    return [("boot.linger_us", f"{linger_us} is not less than stop_us, {stop_us}")]
