"""mdctl, the operators' command line: submit a configuration, read the plan, confirm it.

Exit status: 0 success, 1 rejected, 2 invalid usage, 3 outcome unknown (see `mdctl settle PLAN`).
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
from meadowdock.cli.operator_client import send_request
from meadowdock.configuration import validate_configuration
from meadowdock.settings import VERSION

EXIT_REJECTED, EXIT_USAGE, EXIT_OUTCOME_UNKNOWN = 1, 2, 3
IN_FORCE_TIMEOUT_S = 10
STATUS_POLL_S = 0.2


class Commands:
    """The operators' interface to the mesh.

    CORE is a comma-separated list of mdconf addresses (ip:port), by default that of the environment
    variable MD_CORE. KEY_FILE contains the operators' key, if the core requires one.
    """

    @fire.decorators.SetParseFn(str)
    def __init__(self, core=None, key_file=None) -> None:
        core = core or os.environ.get("MD_CORE", "")
        self._members = core.split(",")
        self._key = _read(key_file).decode("ascii").strip() if key_file else None

    @fire.decorators.SetParseFn(str)
    def plan(self, file) -> None:
        """Submit a manifest (a file, or - for standard input), and print what would change."""
        _print(self._request("POST", "/plan", _read(file)))

    @fire.decorators.SetParseFn(str, "plan")
    def confirm(self, plan, wait=False) -> None:
        """Put a plan in force. --wait: wait up to 10 s until all live proxies have it in force."""
        content = self._request(
            "POST", "/confirm", json.dumps({"plan": str(plan)}).encode(), str(plan)
        )
        _print(content)
        if wait:
            self._wait_until_active(content["version"])

    @fire.decorators.SetParseFn(str, "plan")
    def settle(self, plan) -> None:
        """Print the state of a plan: open, confirmed, outdated or expired. The answer is final."""
        _print(self._request("GET", f"/plan/{plan}"))

    def get(self) -> None:
        """Print the current manifest, read from a majority of the core."""
        _print(self._request("GET", "/manifest"))

    @fire.decorators.SetParseFn(str)
    def items(self, what, file=None) -> None:
        """Configure by items: `items get`, or `items set FILE`; repeat it if the outcome is unknown."""
        if (what, bool(file)) not in (("get", False), ("set", True)):
            print("mdctl: use `items get` or `items set FILE`", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        if what == "get":
            _print(self._request("GET", "/items"))
        else:
            _print(self._request("POST", "/items", _read(file)))

    def status(self) -> None:
        """Print the members of the core, the proxies with their versions, endpoints, the collector."""
        _print(self._request("GET", "/status"))

    @fire.decorators.SetParseFn(str)
    def check(self, file) -> None:
        """Check a manifest locally, without a connection to the core, and list all errors."""
        result = validate_configuration(_read(file))
        if not is_successful(result):
            _print({"code": "invalid", "errors": result.failure()})
            sys.exit(EXIT_REJECTED)
        _print({"good": True, "ways": len(result.unwrap()["ways"])})

    @fire.decorators.SetParseFn(str)
    def audit(self, out=None, file=None, key=None) -> None:
        """Verify the audit trail of the core, or that in a FILE written by --out.

        --key: a file with the trusted public key (JWK), instead of the one that the trail contains.
        """
        content = (
            _json_object(file, ("version", "key", "records"))
            if file
            else self._request("GET", "/audit")
        )
        trusted = _json_object(key, ("kty", "crv", "x")) if key else content["key"]
        try:
            faults = audit.verify(
                content["records"], trusted, content["version"], content.get("anchor")
            )
        except (ValueError, audit.JoseError) as cause:
            print(f"mdctl: the key can't be used: {cause}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        if out:
            with open(out, "w", encoding="utf-8") as stream:
                json.dump(content, stream, indent=1)
        _print(
            {
                "version": content["version"],
                "records": len(content["records"]),
                "key": "given" if key else "told by the trail itself",
                "wrong": faults,
            }
        )
        sys.exit(EXIT_REJECTED if faults else 0)

    def version(self) -> None:
        """Print the version."""
        print(f"mdctl {VERSION}")

    def _request(self, method: str, path: str, body: bytes = b"", plan: str | None = None) -> Any:
        """Send a request and return the content of its 200 response; exit on any other outcome."""
        if not any(self._members):
            print("mdctl: no core given: set --core=IP:PORT,... or MD_CORE", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        hint = f"mdctl settle {plan}" if plan else "ask again"
        try:
            status, content = send_request(self._members, method, path, body, self._key)
        except Unreachable as cause:
            _print({"code": "unreachable", "detail": f"nothing was sent to {cause}"})
            sys.exit(EXIT_REJECTED)
        except OutcomeUnknown as cause:
            _print({"code": "unclear", "detail": str(cause), "next": hint})
            sys.exit(EXIT_OUTCOME_UNKNOWN)
        if status == 504:
            _print({**content, "next": hint})
            sys.exit(EXIT_OUTCOME_UNKNOWN)
        if status != 200:
            _print(content)
            sys.exit(EXIT_REJECTED)
        return content

    def _wait_until_active(self, version: int) -> None:
        """Wait until all live proxies have a version in force; exit if that takes too long."""
        begun_s = time.monotonic()
        while time.monotonic() - begun_s < IN_FORCE_TIMEOUT_S:
            proxies = self._request("GET", "/status")["proxies"]
            behind = sorted(
                address for address, proxy in proxies.items() if proxy["version"] < version
            )
            if not behind:
                _print({"in_force": version, "proxies": len(proxies)})
                return
            time.sleep(STATUS_POLL_S)
        _print({"code": "behind", "proxies": behind})
        sys.exit(EXIT_REJECTED)


def _read(file: str) -> bytes:
    """Return the content of a file; exit if it can't be read."""
    try:
        with open(file, "rb") as stream:
            return stream.read()
    except OSError as cause:
        print(f"mdctl: {cause}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _json_object(file: str, required: Sequence[str]) -> Any:
    """Return the JSON object in a file; exit if it lacks one of the required members."""
    try:
        content = json.loads(_read(file))
    except ValueError:
        content = None
    missing = [name for name in required if not isinstance(content, dict) or name not in content]
    if missing:
        print(f"mdctl: {file} has no {', '.join(missing)}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return content


def _print(content: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(content, indent=2))


def main() -> None:
    """Run the command line."""
    os.environ.setdefault("PAGER", "cat")
    # fire would interpret a single dash as its own separator
    arguments = ["/dev/stdin" if argument == "-" else argument for argument in sys.argv[1:]]
    if arguments == ["--version"]:
        Commands().version()
    elif arguments in ([], ["--help"], ["-h"]):
        print(usage())
    else:
        fire.Fire(Commands, command=arguments, name="mdctl")


def usage() -> str:
    """Return the text of --help."""
    commands = [
        *("plan", "confirm", "settle", "get", "items", "status", "audit", "check"),
        "version",
    ]
    lines = [f"  {name:<8} {getattr(Commands, name).__doc__.strip()}" for name in commands]
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
