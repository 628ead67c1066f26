"""The mdconf daemon's command line."""

from mdboot import command
from mdconf.part import Part
from mdnode import start

main = command("mdconf", start(Part))

if __name__ == "__main__":
    main()
