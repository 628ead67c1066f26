"""The mdproxy daemon's command line."""

from meadowdock.process import start
from meadowdock.proxy.part import Part
from meadowdock.settings import command

main = command("mdproxy", start(Part))

if __name__ == "__main__":
    main()
