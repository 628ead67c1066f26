"""The mdreg daemon's command line."""

from mdboot import command
from mdnode import start
from mdreg.part import Part

main = command("mdreg", start(Part))

if __name__ == "__main__":
    main()
