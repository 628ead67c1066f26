"""The command line of the registry daemon, mdreg."""

from meadowdock.process import start
from meadowdock.registry.server import RegistryServer
from meadowdock.settings import build_command_line

main = build_command_line("mdreg", start(RegistryServer))

if __name__ == "__main__":
    main()
