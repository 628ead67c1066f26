"""mdctl, the operators' command line: submit a configuration, read the plan, confirm it.

Exit status: 0 done; 1 refused; 2 wrong usage; 3 unclear (ask with `mdctl settle PLAN`).
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Sequence
from typing import Any

import fire
from returns.pipeline import is_successful

from meadowdock import audit
from meadowdock.cli.exceptions import OutcomeUnknown, Unreachable
from meadowdock.cli.operator_client import ask
from meadowdock.configuration import validate_configuration
from meadowdock.settings import VERSION

EXIT_REJECTED, EXIT_USAGE, EXIT_OUTCOME_UNKNOWN = 1, 2, 3
IN_FORCE_TIMEOUT_S = 10
STATUS_POLL_S = 0.2


class Commands:
    """Operators' calls to the mesh. CORE lists mdconf addresses, ip:port, divided by commas
    (or the environment's MD_CORE); KEY_FILE holds the operators' key, if the core wants one."""

    @fire.decorators.SetParseFn(str)
    def __init__(self, core=None, key_file=None) -> None:
        core = core or os.environ.get("MD_CORE", "")
        self._cores = core.split(",")
        self._key = _read(key_file).decode("ascii").strip() if key_file else None

    @fire.decorators.SetParseFn(str)
    def plan(self, file) -> None:
        """Hand in a manifest (a file, or - for standard input); prints what would change."""
        _print(self._ask("POST", "/plan", _read(file)))

    @fire.decorators.SetParseFn(str, "plan")
    def confirm(self, plan, wait=False) -> None:
        """Put a plan in force. With --wait: until every live proxy has it, or 10 s."""
        facts = self._ask("POST", "/confirm", json.dumps({"plan": str(plan)}).encode(), str(plan))
        _print(facts)
        if wait:
            self._wait(facts["version"])

    @fire.decorators.SetParseFn(str, "plan")
    def settle(self, plan) -> None:
        """What became of a plan: open, confirmed, outdated or expired. Final once it answers."""
        _print(self._ask("GET", f"/plan/{plan}"))

    def get(self) -> None:
        """Read back the manifest, from a majority of the register."""
        _print(self._ask("GET", "/manifest"))

    @fire.decorators.SetParseFn(str)
    def items(self, what, file=None) -> None:
        """Configuration by items: `items get`, or `items set FILE`; set again if it is unclear."""
        if (what, bool(file)) not in (("get", False), ("set", True)):
            print("mdctl: say `items get` or `items set FILE`", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        if what == "get":
            _print(self._ask("GET", "/items"))
        else:
            _print(self._ask("POST", "/items", _read(file)))

    def status(self) -> None:
        """The register's members, the proxies and their versions, endpoints, the collector."""
        _print(self._ask("GET", "/status"))

    @fire.decorators.SetParseFn(str)
    def check(self, file) -> None:
        """Check a manifest without any mesh; lists every error."""
        found = validate_configuration(_read(file))
        if not is_successful(found):
            _print({"code": "invalid", "errors": found.failure()})
            sys.exit(EXIT_REJECTED)
        _print({"good": True, "ways": len(found.unwrap()["ways"])})

    @fire.decorators.SetParseFn(str)
    def audit(self, out=None, file=None, key=None) -> None:
        """Check the audit trail: of the core, or of a FILE that --out wrote. --key: a file with
        the public key (JWK) that you trust; else the one that the trail brings."""
        facts = (
            _json_object(file, ("version", "key", "records"))
            if file
            else self._ask("GET", "/audit")
        )
        trusted = _json_object(key, ("kty", "crv", "x")) if key else facts["key"]
        try:
            wrong = audit.verify(facts["records"], trusted, facts["version"], facts.get("anchor"))
        except (ValueError, audit.JoseError) as cause:
            print(f"mdctl: the key can't be used: {cause}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        if out:
            with open(out, "w", encoding="utf-8") as opened:
                json.dump(facts, opened, indent=1)
        _print(
            {
                "version": facts["version"],
                "records": len(facts["records"]),
                "key": "given" if key else "told by the trail itself",
                "wrong": wrong,
            }
        )
        sys.exit(EXIT_REJECTED if wrong else 0)

    def version(self) -> None:
        """Print the version."""
        print(f"mdctl {VERSION}")

    def _ask(self, method: str, path: str, body: bytes = b"", plan: str | None = None) -> Any:
        """The content of a 200 response of the core; any other outcome ends the program."""
        if not any(self._cores):
            print("mdctl: say where the core is: --core=IP:PORT,... or MD_CORE", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        hint = f"mdctl settle {plan}" if plan else "ask again"
        try:
            status, facts = ask(self._cores, method, path, body, self._key)
        except Unreachable as cause:
            _print({"code": "unreachable", "detail": f"nothing was sent to {cause}"})
            sys.exit(EXIT_REJECTED)
        except OutcomeUnknown as cause:
            _print({"code": "unclear", "detail": str(cause), "next": hint})
            sys.exit(EXIT_OUTCOME_UNKNOWN)
        if status == 504:
            _print({**facts, "next": hint})
            sys.exit(EXIT_OUTCOME_UNKNOWN)
        if status != 200:
            _print(facts)
            sys.exit(EXIT_REJECTED)
        return facts

    def _wait(self, version: int) -> None:
        """Return once all live proxies have a version in force; exit if they take too long."""
        begun = time.monotonic()
        while time.monotonic() - begun < IN_FORCE_TIMEOUT_S:
            proxies = self._ask("GET", "/status")["proxies"]
            behind = sorted(a for a, p in proxies.items() if p["version"] < version)
            if not behind:
                _print({"in_force": version, "proxies": len(proxies)})
                return
            time.sleep(STATUS_POLL_S)
        _print({"code": "behind", "proxies": behind})
        sys.exit(EXIT_REJECTED)


def _read(file: str) -> bytes:
    """The content of a file; a file that can't be read ends the program."""
    try:
        with open(file, "rb") as opened:
            return opened.read()
    except OSError as cause:
        print(f"mdctl: {cause}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _json_object(file: str, required: Sequence[str]) -> Any:
    """The JSON object in a file; one without all required members ends the program."""
    try:
        facts = json.loads(_read(file))
    except ValueError:
        facts = None
    missing = [name for name in required if not isinstance(facts, dict) or name not in facts]
    if missing:
        print(f"mdctl: {file} has no {', '.join(missing)}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return facts


def _print(facts: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(facts, indent=2))


def main() -> None:
    """The program."""
    os.environ.setdefault("PAGER", "cat")
    # a lone dash would be taken for fire's own separator
    words = ["/dev/stdin" if word == "-" else word for word in sys.argv[1:]]
    if words == ["--version"]:
        Commands().version()
    elif words in ([], ["--help"], ["-h"]):
        print(usage())
    else:
        fire.Fire(Commands, command=words, name="mdctl")


def usage() -> str:
    """The text of --help."""
    commands = [
        *("plan", "confirm", "settle", "get", "items", "status", "audit", "check"),
        "version",
    ]
    lines = [f"  {n:<8} {getattr(Commands, n).__doc__.strip()}" for n in commands]
    return "\n".join(
        [
            "mdctl [--core=IP:PORT,...] [--key_file=FILE] COMMAND",
            "",
            Commands.__doc__,
            "",
            *lines,
            "",
            "mdctl COMMAND --help tells more. " + __doc__.strip().splitlines()[-1],
        ]
    )


if __name__ == "__main__":
    main()
