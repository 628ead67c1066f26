"""mdctl: say what is wanted, read the plan, confirm it.

Exit status: 0 done; 1 refused; 2 wrong usage; 3 unclear (ask with `mdctl settle PLAN`).
"""

from __future__ import annotations

import json
import os
import sys
import time

import fire
from returns.pipeline import is_successful

from meadowdock import audit
from meadowdock.cli.client import OutcomeUnknown, Unreachable, ask
from meadowdock.configuration import validate_configuration
from meadowdock.settings import VERSION

REFUSED, USAGE, UNCLEAR = 1, 2, 3


class Ctl:
    """Operators' calls to the mesh. CORE lists mdconf addresses, ip:port, divided by commas
    (or the environment's MD_CORE); KEY_FILE holds the operators' key, if the core wants one."""

    @fire.decorators.SetParseFn(str)
    def __init__(self, core=None, key_file=None):
        core = core or os.environ.get("MD_CORE", "")
        self._cores = core.split(",")
        self._key = _read(key_file).decode("ascii").strip() if key_file else None

    @fire.decorators.SetParseFn(str)
    def plan(self, file):
        """Hand in a manifest (a file, or - for standard input); prints what would change."""
        _print(self._ask("POST", "/plan", _read(file)))

    @fire.decorators.SetParseFn(str, "plan")
    def confirm(self, plan, wait=False):
        """Put a plan in force. With --wait: until every live proxy has it, or 10 s."""
        facts = self._ask("POST", "/confirm", json.dumps({"plan": str(plan)}).encode(), str(plan))
        _print(facts)
        if wait:
            self._wait(facts["version"])

    @fire.decorators.SetParseFn(str, "plan")
    def settle(self, plan):
        """What became of a plan: open, confirmed, outdated or expired. Final once it answers."""
        _print(self._ask("GET", f"/plan/{plan}"))

    def get(self):
        """Read back the manifest, from a majority of the register."""
        _print(self._ask("GET", "/manifest"))

    @fire.decorators.SetParseFn(str)
    def items(self, what, file=None):
        """Configuration by items: `items get`, or `items set FILE`; set again if it is unclear."""
        if (what, bool(file)) not in (("get", False), ("set", True)):
            print("mdctl: say `items get` or `items set FILE`", file=sys.stderr)
            sys.exit(USAGE)
        if what == "get":
            _print(self._ask("GET", "/items"))
        else:
            _print(self._ask("POST", "/items", _read(file)))

    def status(self):
        """The register's members, the proxies and their versions, endpoints, the collector."""
        _print(self._ask("GET", "/status"))

    @fire.decorators.SetParseFn(str)
    def check(self, file):
        """Check a manifest without any mesh; lists every error."""
        found = validate_configuration(_read(file))
        if not is_successful(found):
            _print({"code": "invalid", "errors": found.failure()})
            sys.exit(REFUSED)
        _print({"good": True, "ways": len(found.unwrap()["ways"])})

    @fire.decorators.SetParseFn(str)
    def audit(self, out=None, file=None, key=None):
        """Check the audit trail: of the core, or of a FILE that --out wrote. --key: a file with
        the public key (JWK) that you trust; else the one that the trail brings."""
        facts = _facts(file, ("version", "key", "records")) if file else self._ask("GET", "/audit")
        trusted = _facts(key, ("kty", "crv", "x")) if key else facts["key"]
        try:
            wrong = audit.verify(facts["records"], trusted, facts["version"], facts.get("anchor"))
        except (ValueError, audit.JoseError) as cause:
            print(f"mdctl: the key can't be used: {cause}", file=sys.stderr)
            sys.exit(USAGE)
        if out:
            with open(out, "w", encoding="utf-8") as kept:
                json.dump(facts, kept, indent=1)
        _print(
            {
                "version": facts["version"],
                "records": len(facts["records"]),
                "key": "given" if key else "told by the trail itself",
                "wrong": wrong,
            }
        )
        sys.exit(REFUSED if wrong else 0)

    def version(self):
        """Print the version."""
        print(f"mdctl {VERSION}")

    def _ask(self, method, path, body=b"", plan=None):
        if not any(self._cores):
            print("mdctl: say where the core is: --core=IP:PORT,... or MD_CORE", file=sys.stderr)
            sys.exit(USAGE)
        hint = f"mdctl settle {plan}" if plan else "ask again"
        try:
            status, facts = ask(self._cores, method, path, body, self._key)
        except Unreachable as cause:
            _print({"code": "unreachable", "detail": f"nothing was sent to {cause}"})
            sys.exit(REFUSED)
        except OutcomeUnknown as cause:
            _print({"code": "unclear", "detail": str(cause), "next": hint})
            sys.exit(UNCLEAR)
        if status == 504:
            _print({**facts, "next": hint})
            sys.exit(UNCLEAR)
        if status != 200:
            _print(facts)
            sys.exit(REFUSED)
        return facts

    def _wait(self, version):
        begun = time.monotonic()
        while time.monotonic() - begun < 10:
            proxies = self._ask("GET", "/status")["proxies"]
            behind = sorted(a for a, p in proxies.items() if p["version"] < version)
            if not behind:
                _print({"in_force": version, "proxies": len(proxies)})
                return
            time.sleep(0.2)
        _print({"code": "behind", "proxies": behind})
        sys.exit(REFUSED)


def _read(file):
    try:
        with open(file, "rb") as kept:
            return kept.read()
    except OSError as cause:
        print(f"mdctl: {cause}", file=sys.stderr)
        sys.exit(USAGE)


def _facts(file, needed):
    try:
        facts = json.loads(_read(file))
    except ValueError as cause:
        facts = cause
    missing = [n for n in needed if not isinstance(facts, dict) or n not in facts]
    if missing:
        print(f"mdctl: {file} has no {', '.join(missing)}", file=sys.stderr)
        sys.exit(USAGE)
    return facts


def _print(facts):
    print(json.dumps(facts, indent=2))


def main():
    os.environ.setdefault("PAGER", "cat")
    # a lone dash would be taken for fire's own separator
    words = ["/dev/stdin" if word == "-" else word for word in sys.argv[1:]]
    if words == ["--version"]:
        Ctl().version()
    elif words in ([], ["--help"], ["-h"]):
        print(usage())
    else:
        fire.Fire(Ctl, command=words, name="mdctl")


def usage():
    commands = [
        *("plan", "confirm", "settle", "get", "items", "status", "member", "audit", "check"),
        "version",
    ]
    lines = [f"  {n:<8} {getattr(Ctl, n).__doc__.strip()}" for n in commands]
    return "\n".join(
        [
            "mdctl [--core=IP:PORT,...] [--key_file=FILE] COMMAND",
            "",
            Ctl.__doc__,
            "",
            *lines,
            "",
            "mdctl COMMAND --help tells more. " + __doc__.strip().splitlines()[-1],
        ]
    )


if __name__ == "__main__":
    main()
