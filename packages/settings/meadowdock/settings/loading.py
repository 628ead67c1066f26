"""Loading of settings files (TOML) and the flags that override them."""

from __future__ import annotations

import tomllib
from typing import Any

from meadowdock.settings.exceptions import InvalidSettings
from meadowdock.settings.model import SECOND, ProcessSettings
from meadowdock.settings.validation import validate_settings

# Readiness is checked once a second: two checks fail while the listeners are still open.
MAX_LINGER_US = 2_300_000
# A process must end this long before its platform kills it.
KILL_MARGIN_US = SECOND


def load_settings(role: str, boot: str | None = None, **flags: Any) -> ProcessSettings:
    """Load the settings of a process from the file `boot`, if there is one, and from flags.

    Flags override the file; a flag that is None is ignored.

    :raises InvalidSettings: the file can't be read, or a setting is invalid.
    """
    values = {} if boot is None else read_file(boot)
    given_flags = {name: value for name, value in flags.items() if value is not None}
    if "seeds" in given_flags:
        seeds = given_flags["seeds"]
        given_flags["seeds"] = (
            seeds.split(",") if isinstance(seeds, str) else [str(s) for s in seeds]
        )
    if "fleet_key" in given_flags:
        values.pop("fleet_key_file", None)
    return validate_settings(
        role, values | {name: flag_value(value) for name, value in given_flags.items()}
    )


def read_file(path: str) -> dict[str, Any]:
    """Read the values of a settings file.

    :raises InvalidSettings: the file can't be read, or isn't valid TOML.
    """
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as cause:
        raise InvalidSettings([f"boot: can't be read: {cause}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as cause:
        raise InvalidSettings([f"boot: is no TOML: {cause}"]) from None


def flag_value(value: Any) -> str | list[str]:
    """Convert the value of a flag to the type that a settings file would have."""
    return value if isinstance(value, list) else str(value)


def shutdown_times(grace_us: int) -> dict[str, int]:
    """Return linger_us and stop_us for a platform that kills a process grace_us after the signal.

    The process ends one second earlier, and lingers for two readiness checks if there is time.

    >>> shutdown_times(6_000_000)
    {'linger_us': 2300000, 'stop_us': 5000000}
    >>> shutdown_times(1_500_000)
    {'linger_us': 375000, 'stop_us': 750000}
    """
    stop_us = max(grace_us - KILL_MARGIN_US, grace_us // 2, 2)
    return {"linger_us": min(MAX_LINGER_US, stop_us // 2), "stop_us": stop_us}
