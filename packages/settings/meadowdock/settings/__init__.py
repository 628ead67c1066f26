"""Boot files (TOML) and the flags that override them, checked; every error listed at once."""

from __future__ import annotations

import os
import re
import socket
import sys
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

VERSION = "0.1.0"
Check = Callable[[Any], bool]
Errors = list[tuple[str, str]]  # (path, message)
ADDRESS = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
KEY = r"^[0-9a-f]{64}$"
HALL = "^[a-z0-9-]{1,32}$"
SECOND = 1_000_000
LINGER = 2_300_000  # two probes, a second apart, miss us while the doors are still open
TIME = {"type": "integer", "minimum": 1, "maximum": 3600 * SECOND}
PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
LOSSES = {"type": "integer", "minimum": 0, "maximum": 2}
# Second tries of the whole fleet for one service: a part of its calls in the window, and a reserve.
TRIES = {"ratio": 0.15, "window_us": 10 * SECOND, "reserve": 24}

SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["host", "hall", "seeds"],
    "properties": {
        "host": {"type": "string", "format": "ipv4"},
        "hall": {"type": "string", "pattern": HALL},
        "seeds": {
            "type": "array",
            "minItems": 1,
            "maxItems": 3,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": ADDRESS},
        },
        "data": {"type": "string", "minLength": 1},
        "fleet_key": {"type": "string", "pattern": KEY},
        "fleet_key_file": {"type": "string", "minLength": 1},
        "operator_key_file": {"type": "string", "minLength": 1},
        "members": {
            "type": "array",
            "maxItems": 5,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": ADDRESS},
        },
        "local": {"type": "array", "items": {"type": "string", "format": "ipv4"}},
        "nodes_expected": {"type": "integer", "minimum": 1, "maximum": 10000},
        "http_port": PORT,
        "link_port": PORT,
        "gate_port": PORT,
        "gate": {"type": "string", "pattern": ADDRESS},
        "app": {"type": "string", "pattern": ADDRESS},
        "service": {"type": "string", "minLength": 1, "maxLength": 256},
        "founding": {"type": "boolean"},
        "losses": LOSSES,
        "zone_losses": LOSSES,
        "region_losses": LOSSES,
        "region": {"type": "string", "pattern": HALL},
        "contact_us": TIME,
        "ack_us": TIME,
        "apply_us": TIME,
        "linger_us": TIME,
        "stop_us": TIME,
        "catch_up_us": TIME,
        "beat_us": TIME,
        "drain_us": TIME,
        "tries": {
            "type": "object",
            "additionalProperties": False,
            "required": ["ratio", "window_us", "reserve"],
            "properties": {
                "ratio": {"type": "number", "minimum": 0, "maximum": 1},
                "window_us": TIME,
                "reserve": {"type": "integer", "minimum": 0, "maximum": 1_000_000},
            },
        },
    },
}
PORTS = {"mdproxy": (7400, 7401), "mdreg": (7410, 7411), "mdconf": (7420, 7421)}


def whole(low: int, high: int) -> Check:
    """A check for whole numbers within bounds."""
    return lambda value: type(value) is int and low <= value <= high


def text(value: Any) -> bool:
    """Whether a value is text, and not empty."""
    return isinstance(value, str) and value != ""


def fits(pattern: str) -> Check:
    """A check for text in which a pattern is found."""
    found = re.compile(pattern).search
    return lambda value: isinstance(value, str) and found(value) is not None


def is_ipv4(value: Any) -> bool:
    """Whether a value is an IPv4 address in its usual form."""
    try:
        return isinstance(value, str) and bool(socket.inet_pton(socket.AF_INET, value))
    except (OSError, ValueError):
        return False


def listed(low: int, high: int, good: Check) -> Check:
    """A check for lists of different items that pass a check, of a length within bounds."""
    return lambda value: (
        isinstance(value, list)
        and low <= len(value) <= high
        and all(map(good, value))
        and len(set(value)) == len(value)
    )


def is_tries(value: Any) -> bool:
    """Whether a value is a good retry budget."""
    return (
        isinstance(value, dict)
        and set(value) == set(TRIES)
        and type(value["ratio"]) in (int, float)
        and 0 <= value["ratio"] <= 1
        and time_us(value["window_us"])
        and whole(0, 1_000_000)(value["reserve"])
    )


time_us, port, address = whole(1, TIME["maximum"]), whole(1, 65535), fits(ADDRESS)
# Invariant: names what SCHEMA names, and passes nothing that SCHEMA refuses. It saves a daemon the
# time and memory of a schema checker: what fails here is checked and worded by SCHEMA.
PLAIN = {
    "host": is_ipv4,
    "hall": fits(HALL),
    "seeds": listed(1, 3, address),
    "data": text,
    "fleet_key": fits(KEY),
    "fleet_key_file": text,
    "operator_key_file": text,
    "members": listed(0, 5, address),
    "local": lambda value: isinstance(value, list) and all(map(is_ipv4, value)),
    "nodes_expected": whole(1, 10000),
    "http_port": port,
    "link_port": port,
    "gate_port": port,
    "gate": address,
    "app": address,
    "service": lambda value: text(value) and len(value) <= 256,
    "founding": lambda value: isinstance(value, bool),
    "losses": whole(0, LOSSES["maximum"]),
    "zone_losses": whole(0, LOSSES["maximum"]),
    "region_losses": whole(0, LOSSES["maximum"]),
    "region": fits(HALL),
    "contact_us": time_us,
    "ack_us": time_us,
    "apply_us": time_us,
    "linger_us": time_us,
    "stop_us": time_us,
    "catch_up_us": time_us,
    "beat_us": time_us,
    "drain_us": time_us,
    "tries": is_tries,
}


@dataclass(frozen=True)
class ProcessSettings:
    """The checked settings of one process."""

    # Invariant: made only by `checked`, so every field has passed SCHEMA and the cross-checks.
    role: str
    host: str
    zone: str
    seeds: tuple
    fleet_key: bytes
    data: str | None
    members: tuple
    local_addresses: frozenset
    nodes_expected: int
    operator_key: str | None
    http_port: int
    link_port: int
    gate_port: int = 7402  # where the mdproxy of other machines hand calls over
    gate_address: str | None = None  # ip:port where calls of this machine arrive
    service: str | None = None  # of the endpoint beside
    app_address: str | None = None  # ip:port of the endpoint beside
    may_bootstrap: bool = True  # may this process take part in founding the register
    losses: int = 1  # members lost at once to be borne: 2 * losses + 1 voters are wanted
    zone_losses: int = 0  # whole zones lost at once to be borne
    region_losses: int = 0  # whole regions lost at once to be borne
    region: str = ""  # of the zone, if told
    contact_us: int = 3 * SECOND  # after the last trouble, processes are in touch within this
    ack_us: int = 4 * SECOND  # an operator's order is acknowledged within this
    apply_us: int = 2 * SECOND  # an acknowledged change is in force everywhere within this
    linger_us: int = 1_200_000  # a stopping process keeps its doors open for so long
    stop_us: int = 4_700_000  # and ends within this; linger_us is less
    catch_up_us: int = 4 * SECOND  # how long a machine that is back still counts as lost
    heartbeat_us: int = 500_000  # how often endpoints beat
    drain_us: int = 2 * SECOND  # how long an endpoint serves on once it said that it drains
    retry_budget: dict = field(default_factory=lambda: dict(TRIES))

    @property
    def name(self) -> str:
        """The node's name in logs and records."""
        return f"{self.role}@{self.host}"

    @property
    def link(self) -> str:
        """The address that other nodes' links reach."""
        return f"{self.host}:{self.link_port}"

    @property
    def http(self) -> str:
        """The address of the process's own HTTP interface."""
        return f"{self.host}:{self.http_port}"


class InvalidSettings(Exception):
    """Every error of a boot file and its flags."""

    def __init__(self, errors: Iterable[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def checked(role: str, facts: dict[str, Any]) -> ProcessSettings:
    """A Boot, or InvalidSettings with every error and its path.

    >>> try: checked("mdreg", {"host": "x", "hall": "H", "zone": "b"})
    ... except InvalidSettings as bad: print(bad)
    boot: 'seeds' is a required property
    boot: Additional properties are not allowed ('zone' was unexpected)
    boot: one of fleet_key and fleet_key_file is needed
    boot.hall: 'H' does not match '^[a-z0-9-]{1,32}$'
    boot.host: 'x' is not a 'ipv4'
    """
    found = [] if is_plain(facts) else schema_errors(facts)
    key, operator_key = fleet_key_of(facts, found), None
    if facts.get("operator_key_file"):
        operator_key = secret(facts["operator_key_file"], "boot.operator_key_file", found)
    if role == "mdconf":
        found += store_errors(facts)
    found += address_errors(facts)
    if not found:
        linger, stop = (facts.get(f, getattr(ProcessSettings, f)) for f in ("linger_us", "stop_us"))
        if linger >= stop:
            found.append(("boot.linger_us", f"{linger} is not less than stop_us, {stop}"))
    if found:
        raise InvalidSettings(
            [f"{path}: {message}" for path, message in sorted(set(found), key=str)]
        )
    http_port, link_port = PORTS[role]
    return ProcessSettings(
        role=role,
        host=facts["host"],
        zone=facts["hall"],
        seeds=tuple(facts["seeds"]),
        fleet_key=bytes.fromhex(key),
        data=facts.get("data"),
        members=tuple(facts.get("members", ())),
        local_addresses=frozenset([facts["host"], *facts.get("local", ())]),
        nodes_expected=facts.get("nodes_expected", 8),
        operator_key=operator_key,
        http_port=facts.get("http_port", http_port),
        link_port=facts.get("link_port", link_port),
        **{FIELDS.get(name, name): facts[name] for name in OPTIONAL if name in facts},
    )


def fleet_key_of(facts: dict[str, Any], found: Errors) -> str | None:
    """The fleet's key, given or from its file; what is wrong with it is added to `found`."""
    key, path = facts.get("fleet_key"), facts.get("fleet_key_file")
    if key:
        return key
    if not path:
        found.append(("boot", "one of fleet_key and fleet_key_file is needed"))
        return key
    key = secret(path, "boot.fleet_key_file", found)
    if key is not None and (len(key) != 64 or set(key) - set("0123456789abcdef")):
        found.append(("boot.fleet_key_file", "the file must hold 64 hexadecimal digits"))
    return key


def store_errors(facts: dict[str, Any]) -> Errors:
    """What an mdconf lacks."""
    present = {"data": facts.get("data"), "members": "members" in facts}
    found = [
        ("boot", f"'{needed}' is needed by mdconf")
        for needed, given in present.items()
        if not given
    ]
    if facts.get("members") and len(facts["members"]) not in (1, 3, 5):
        found.append(("boot.members", "must list 1, 3 or 5 members, or none: the seeds found"))
    return found


def address_errors(facts: dict[str, Any]) -> Errors:
    """Seeds and members that are no IP number and port."""
    found = []
    for name in ("seeds", "members"):
        for index, address in enumerate(facts.get(name) or ()):
            try:
                host, _, port = str(address).rpartition(":")
                if not is_ipv4(host) or not 0 < int(port) < 65536:
                    raise ValueError
            except ValueError:
                found.append((f"boot.{name}.{index}", "is no IP number and port"))
    return found


# Fields whose name in boot files is another.
FIELDS = {
    "gate": "gate_address",
    "app": "app_address",
    "founding": "may_bootstrap",
    "beat_us": "heartbeat_us",
    "tries": "retry_budget",
}
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
    "tries",
)


def is_plain(facts: dict[str, Any]) -> bool:
    """Is each field surely good? False says only that the schema has to look."""
    return {"host", "hall", "seeds"} <= facts.keys() <= PLAIN.keys() and all(
        PLAIN[name](value) for name, value in facts.items()
    )


def schema_errors(facts: dict[str, Any]) -> Errors:
    """All that the schema finds wrong."""
    import jsonschema  # here, since a daemon whose boot is good never needs it

    checker = jsonschema.Draft202012Validator(SCHEMA, format_checker=jsonschema.FormatChecker())
    return [
        (".".join(["boot", *map(str, error.absolute_path)]), error.message)
        for error in checker.iter_errors(facts)
    ]


def stop_times(grace_us: int) -> dict[str, int]:
    """{linger_us, stop_us} for a platform that kills a process `grace_us` after it was told to
    stop: done a second before, doors open for two probes if there is time.

    >>> stop_times(6_000_000)
    {'linger_us': 2300000, 'stop_us': 5000000}
    >>> stop_times(1_500_000)
    {'linger_us': 375000, 'stop_us': 750000}
    """
    stop_us = max(grace_us - SECOND, grace_us // 2, 2)
    return {"linger_us": min(LINGER, stop_us // 2), "stop_us": stop_us}


def secret(path: str, where: str, found: Errors) -> str | None:
    """The text of a key file; if it can't be read, None and an error more in `found`."""
    try:
        with open(path, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError) as cause:
        found.append((where, f"can't be read: {cause}"))
        return None


def load(role: str, boot: str | None = None, **flags: Any) -> ProcessSettings:
    """The settings of a boot file, if one is named, and flags over them; raises InvalidSettings."""
    facts = {}
    if boot is not None:
        try:
            with open(boot, "rb") as file:
                facts = tomllib.load(file)
        except OSError as cause:
            raise InvalidSettings([f"boot: can't be read: {cause}"]) from None
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as cause:
            raise InvalidSettings([f"boot: is no TOML: {cause}"]) from None
    given = {name: value for name, value in flags.items() if value is not None}
    if "seeds" in given:
        seeds = given["seeds"]
        given["seeds"] = seeds.split(",") if isinstance(seeds, str) else [str(s) for s in seeds]
    if "fleet_key" in given:
        facts.pop("fleet_key_file", None)
    return checked(role, {**facts, **{name: as_text(value) for name, value in given.items()}})


def as_text(value: Any) -> str | list:
    """A flag as a boot file would have it."""
    return value if isinstance(value, list) else str(value)


def command(
    role: str, start: Callable[[ProcessSettings], None], **extra: Callable
) -> Callable[..., None]:
    """The command line of a daemon: run, check, --version, --help, and extra commands of
    (boot file, **flags)."""
    import fire  # here, since who makes a Boot by itself has no command line

    @fire.decorators.SetParseFn(str)
    def run(
        boot: str | None = None,
        host: str | None = None,
        hall: str | None = None,
        seeds: str | None = None,
        data: str | None = None,
        fleet_key: str | None = None,
    ) -> None:
        """Serve until told to stop. Flags override the boot file."""
        start(load(role, boot, host=host, hall=hall, seeds=seeds, data=data, fleet_key=fleet_key))

    @fire.decorators.SetParseFn(str)
    def check(
        boot: str | None = None,
        host: str | None = None,
        hall: str | None = None,
        seeds: str | None = None,
        data: str | None = None,
        fleet_key: str | None = None,
    ) -> str:
        """Check a boot file and flags; list every error."""
        load(role, boot, host=host, hall=hall, seeds=seeds, data=data, fleet_key=fleet_key)
        return "boot is good"

    def main(argv: list[str] | None = None) -> None:
        words = sys.argv[1:] if argv is None else argv
        if words == ["--version"]:
            print(f"{role} {VERSION}")
            return
        os.environ.setdefault("PAGER", "cat")
        try:
            fire.Fire({"run": run, "check": check, **extra}, command=words, name=role)
        except InvalidSettings as bad:
            print("\n".join(bad.errors), file=sys.stderr)
            sys.exit(2)

    return main
