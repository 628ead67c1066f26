"""The command line of the config store daemon (mdconf)."""

from __future__ import annotations

import sys

import fire
import trio

from meadowdock.config_store.rescue import rescue as rescue_disk
from meadowdock.config_store.server import ConfigStore
from meadowdock.process import start
from meadowdock.runtime import Disk
from meadowdock.settings import command, load

CONFIRMED = "yes"


@fire.decorators.SetParseFn(str)
def rescue(boot: str, lose_others: str = "no") -> None:
    """When a majority of the disks is lost for good: make this disk the only voter.

    Only with the daemon stopped. What was accepted while this disk was away is lost. Without
    --lose_others=yes it only tells what this disk holds."""
    settings = load("mdconf", boot)
    confirmed = lose_others == CONFIRMED
    print(trio.run(rescue_disk, Disk(settings.data), settings.link, confirmed))
    if not confirmed:
        print(
            "nothing was changed; --lose_others=yes makes this disk the only voter", file=sys.stderr
        )
        sys.exit(1)


main = command("mdconf", start(ConfigStore), rescue=rescue)

if __name__ == "__main__":
    main()
