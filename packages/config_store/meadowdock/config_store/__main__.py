"""The mdconf daemon's command line."""

import sys

import fire
import trio

from meadowdock.config_store.server import ConfigStore
from meadowdock.config_store.store import rescue as rescue_disk
from meadowdock.process import start
from meadowdock.runtime import Disk
from meadowdock.settings import command, load


@fire.decorators.SetParseFn(str)
def rescue(boot, lose_others="no"):
    """When a majority of the disks is lost for good: make this disk the only voter.

    Only with the daemon stopped. What was accepted while this disk was away is lost. Without
    --lose_others=yes it only tells what this disk holds."""
    facts = load("mdconf", boot)
    told = trio.run(rescue_disk, Disk(facts.data), facts.link, lose_others == "yes")
    print(told)
    if lose_others != "yes":
        print(
            "nothing was changed; --lose_others=yes makes this disk the only voter", file=sys.stderr
        )
        sys.exit(1)


main = command("mdconf", start(ConfigStore), rescue=rescue)

if __name__ == "__main__":
    main()
