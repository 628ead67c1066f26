"""The mdreg daemon's command line."""

from meadowdock.process import start
from meadowdock.registry.part import Part
from meadowdock.settings import command

main = command("mdreg", start(Part))

if __name__ == "__main__":
    main()
