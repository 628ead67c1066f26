"""The mdproxy daemon's command line."""

from mdboot import command
from mdnode import start
from mdproxy.part import Part

main = command("mdproxy", start(Part))

if __name__ == "__main__":
    main()
