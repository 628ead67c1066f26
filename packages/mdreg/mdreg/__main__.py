"""The mdreg daemon's command line."""

from mdreg.part import Part
from meadowdock.process import start
from meadowdock.settings import command

main = command("mdreg", start(Part))

if __name__ == "__main__":
    main()
