"""Boot files (TOML) and the flags that override them, checked; every error listed at once."""

from __future__ import annotations

import ipaddress
import os
import sys
import tomllib
from dataclasses import dataclass

import fire
import jsonschema

VERSION = "0.1.0"
ADDRESS = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
KEY = r"^[0-9a-f]{64}$"

SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["host", "hall", "seeds"],
    "properties": {
        "host": {"type": "string", "format": "ipv4"},
        "hall": {"type": "string", "pattern": "^[a-z0-9-]{1,32}$"},
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
            "minItems": 1,
            "maxItems": 5,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": ADDRESS},
        },
        "local": {"type": "array", "items": {"type": "string", "format": "ipv4"}},
        "nodes_expected": {"type": "integer", "minimum": 1, "maximum": 10000},
        "http_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "link_port": {"type": "integer", "minimum": 1, "maximum": 65535},
    },
}
PORTS = {"mdproxy": (7400, 7401), "mdreg": (7410, 7411), "mdconf": (7420, 7421)}


@dataclass(frozen=True)
class Boot:
    # Invariant: made only by `checked`, so every field has passed SCHEMA and the cross-checks.
    role: str
    host: str
    hall: str
    seeds: tuple
    fleet_key: bytes
    data: str | None
    members: tuple
    local: frozenset
    nodes_expected: int
    operator_key: str | None
    http_port: int
    link_port: int

    @property
    def name(self):
        return f"{self.role}@{self.host}"

    @property
    def link(self):
        return f"{self.host}:{self.link_port}"

    @property
    def http(self):
        return f"{self.host}:{self.http_port}"


class BootErrors(Exception):
    def __init__(self, errors):
        super().__init__("\n".join(errors))
        self.errors = errors


def checked(role, facts):
    """A Boot, or BootErrors with every error and its path.

    >>> try: checked("mdreg", {"host": "x", "hall": "H", "zone": "b"})
    ... except BootErrors as bad: print(bad)
    boot: 'seeds' is a required property
    boot: Additional properties are not allowed ('zone' was unexpected)
    boot: one of fleet_key and fleet_key_file is needed
    boot.hall: 'H' does not match '^[a-z0-9-]{1,32}$'
    boot.host: 'x' is not a 'ipv4'
    """
    checker = jsonschema.Draft202012Validator(SCHEMA, format_checker=jsonschema.FormatChecker())
    found = [
        (".".join(["boot", *map(str, error.absolute_path)]), error.message)
        for error in checker.iter_errors(facts)
    ]
    key, operator_key = facts.get("fleet_key"), None
    if not key and not facts.get("fleet_key_file"):
        found.append(("boot", "one of fleet_key and fleet_key_file is needed"))
    if not key and facts.get("fleet_key_file"):
        key = secret(facts["fleet_key_file"], "boot.fleet_key_file", found)
        if key is not None and (len(key) != 64 or set(key) - set("0123456789abcdef")):
            found.append(("boot.fleet_key_file", "the file must hold 64 hexadecimal digits"))
    if facts.get("operator_key_file"):
        operator_key = secret(facts["operator_key_file"], "boot.operator_key_file", found)
    if role == "mdconf":
        found += [
            ("boot", f"'{needed}' is needed by mdconf")
            for needed in ("data", "members")
            if not facts.get(needed)
        ]
        if facts.get("members") and len(facts["members"]) not in (1, 3, 5):
            found.append(("boot.members", "must list 1, 3 or 5 members"))
    for key_of_list in ("seeds", "members"):
        for index, address in enumerate(facts.get(key_of_list) or ()):
            try:
                host, _, port = str(address).rpartition(":")
                ipaddress.IPv4Address(host)
                if not 0 < int(port) < 65536:
                    raise ValueError
            except ValueError:
                found.append((f"boot.{key_of_list}.{index}", "is no IP number and port"))
    if found:
        raise BootErrors([f"{path}: {message}" for path, message in sorted(set(found), key=str)])
    http_port, link_port = PORTS[role]
    return Boot(
        role=role,
        host=facts["host"],
        hall=facts["hall"],
        seeds=tuple(facts["seeds"]),
        fleet_key=bytes.fromhex(key),
        data=facts.get("data"),
        members=tuple(facts.get("members", ())),
        local=frozenset([facts["host"], *facts.get("local", ())]),
        nodes_expected=facts.get("nodes_expected", 8),
        operator_key=operator_key,
        http_port=facts.get("http_port", http_port),
        link_port=facts.get("link_port", link_port),
    )


def secret(path, where, found):
    try:
        with open(path, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError) as cause:
        found.append((where, f"can't be read: {cause}"))
        return None


def load(role, boot=None, **flags):
    facts = {}
    if boot is not None:
        try:
            with open(boot, "rb") as file:
                facts = tomllib.load(file)
        except OSError as cause:
            raise BootErrors([f"boot: can't be read: {cause}"]) from None
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as cause:
            raise BootErrors([f"boot: is no TOML: {cause}"]) from None
    given = {name: value for name, value in flags.items() if value is not None}
    if "seeds" in given:
        seeds = given["seeds"]
        given["seeds"] = seeds.split(",") if isinstance(seeds, str) else [str(s) for s in seeds]
    if "fleet_key" in given:
        facts.pop("fleet_key_file", None)
    return checked(role, {**facts, **{name: as_text(value) for name, value in given.items()}})


def as_text(value):
    return value if isinstance(value, list) else str(value)


def command(role, start, **extra):
    """The command line of a daemon: run, check, --version, --help, and extra commands of
    (boot file, **flags)."""

    @fire.decorators.SetParseFn(str)
    def run(boot=None, host=None, hall=None, seeds=None, data=None, fleet_key=None):
        """Serve until told to stop. Flags override the boot file."""
        start(load(role, boot, host=host, hall=hall, seeds=seeds, data=data, fleet_key=fleet_key))

    @fire.decorators.SetParseFn(str)
    def check(boot=None, host=None, hall=None, seeds=None, data=None, fleet_key=None):
        """Check a boot file and flags; list every error."""
        load(role, boot, host=host, hall=hall, seeds=seeds, data=data, fleet_key=fleet_key)
        return "boot is good"

    def main(argv=None):
        words = sys.argv[1:] if argv is None else argv
        if words == ["--version"]:
            print(f"{role} {VERSION}")
            return
        os.environ.setdefault("PAGER", "cat")
        try:
            fire.Fire({"run": run, "check": check, **extra}, command=words, name=role)
        except BootErrors as bad:
            print("\n".join(bad.errors), file=sys.stderr)
            sys.exit(2)

    return main
