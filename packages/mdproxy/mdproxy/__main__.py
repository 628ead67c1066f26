"""The mdproxy daemon's command line."""

from mdproxy.part import Part
from meadowdock.process import start
from meadowdock.settings import command

main = command("mdproxy", start(Part))

if __name__ == "__main__":
    main()
