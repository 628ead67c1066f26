"""The common command line of the daemons: run, check, --version, --help."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

from meadowdock.settings.exceptions import InvalidSettings
from meadowdock.settings.loading import load_settings
from meadowdock.settings.model import ProcessSettings
from meadowdock.settings.version import VERSION

EXIT_INVALID_SETTINGS = 2


def build_command_line(
    role: str, start: Callable[[ProcessSettings], None], **extra: Callable[..., Any]
) -> Callable[..., None]:
    """Return the `main` function of a daemon's program.

    :param start: runs the daemon with its settings and returns once it has ended.
    :param extra: further commands by name, which take a settings file and flags.
    """
    # Imported here: programs that build their ProcessSettings themselves have no command line.
    import fire

    @fire.decorators.SetParseFn(str)
    def run(
        boot: str | None = None,
        host: str | None = None,
        hall: str | None = None,
        seeds: str | None = None,
        data: str | None = None,
        fleet_key: str | None = None,
    ) -> None:
        """Run the daemon until a signal stops it. Flags override the settings in the boot file."""
        start(
            load_settings(
                role, boot, host=host, hall=hall, seeds=seeds, data=data, fleet_key=fleet_key
            )
        )

    @fire.decorators.SetParseFn(str)
    def check(
        boot: str | None = None,
        host: str | None = None,
        hall: str | None = None,
        seeds: str | None = None,
        data: str | None = None,
        fleet_key: str | None = None,
    ) -> str:
        """Check a boot file and flags, and list all errors."""
        load_settings(role, boot, host=host, hall=hall, seeds=seeds, data=data, fleet_key=fleet_key)
        return "boot is good"

    def main(argv: list[str] | None = None) -> None:
        arguments = sys.argv[1:] if argv is None else argv
        if arguments == ["--version"]:
            print(f"{role} {VERSION}")
            return
        os.environ.setdefault("PAGER", "cat")
        try:
            fire.Fire({"run": run, "check": check, **extra}, command=arguments, name=role)
        except InvalidSettings as invalid:
            print("\n".join(invalid.errors), file=sys.stderr)
            sys.exit(EXIT_INVALID_SETTINGS)

    return main
