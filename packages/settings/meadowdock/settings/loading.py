"""Reads settings files (TOML) and the flags that override them."""

from __future__ import annotations

import tomllib
from typing import Any

from meadowdock.settings.exceptions import InvalidSettings
from meadowdock.settings.model import SECOND, ProcessSettings
from meadowdock.settings.validation import checked

# Readiness is looked at once a second: two looks fail while the listeners are still open.
MAX_LINGER_US = 2_300_000
# A process is to end so long before its platform kills it.
KILL_MARGIN_US = SECOND


def load(role: str, boot: str | None = None, **flags: Any) -> ProcessSettings:
    """The settings of a process: those of the file `boot`, if one is named, and flags over them.

    Flags that are None are not given.

    :raises InvalidSettings: the file can't be read, or a setting is wrong.
    """
    values = {} if boot is None else read_file(boot)
    given = {name: value for name, value in flags.items() if value is not None}
    if "seeds" in given:
        seeds = given["seeds"]
        given["seeds"] = seeds.split(",") if isinstance(seeds, str) else [str(s) for s in seeds]
    if "fleet_key" in given:
        values.pop("fleet_key_file", None)
    return checked(role, values | {name: flag_value(value) for name, value in given.items()})


def read_file(path: str) -> dict[str, Any]:
    """The values of a settings file.

    :raises InvalidSettings: it can't be read, or is no TOML.
    """
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as cause:
        raise InvalidSettings([f"boot: can't be read: {cause}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as cause:
        raise InvalidSettings([f"boot: is no TOML: {cause}"]) from None


def flag_value(value: Any) -> str | list[str]:
    """A flag's value as a settings file would have it."""
    return value if isinstance(value, list) else str(value)


def stop_times(grace_us: int) -> dict[str, int]:
    """{linger_us, stop_us} for a platform that kills a process grace_us after it asked it to stop.

    The process ends a second before, and lingers for two looks at its readiness if there is time.

    >>> stop_times(6_000_000)
    {'linger_us': 2300000, 'stop_us': 5000000}
    >>> stop_times(1_500_000)
    {'linger_us': 375000, 'stop_us': 750000}
    """
    stop_us = max(grace_us - KILL_MARGIN_US, grace_us // 2, 2)
    return {"linger_us": min(MAX_LINGER_US, stop_us // 2), "stop_us": stop_us}
