"""The command line of the config store daemon (mdconf)."""

from __future__ import annotations

import sys

import fire
import trio

from meadowdock.config_store.rescue import rescue as rescue_disk
from meadowdock.config_store.server import ConfigStore
from meadowdock.process import start
from meadowdock.runtime import Disk
from meadowdock.settings import build_command_line, load_settings

CONFIRMED = "yes"


@fire.decorators.SetParseFn(str)
def rescue(boot: str, lose_others: str = "no") -> None:
    """Make this disk the only voter after a majority of the disks was lost permanently.

    Run it only while the daemon is stopped. Everything that was accepted while this disk was away
    is lost. Without --lose_others=yes it only reports what this disk holds.
    """
    settings = load_settings("mdconf", boot)
    confirmed = lose_others == CONFIRMED
    print(trio.run(rescue_disk, Disk(settings.data), settings.rpc_address, confirmed))
    if not confirmed:
        print(
            "nothing was changed; --lose_others=yes makes this disk the only voter", file=sys.stderr
        )
        sys.exit(1)


main = build_command_line("mdconf", start(ConfigStore), rescue=rescue)

if __name__ == "__main__":
    main()
