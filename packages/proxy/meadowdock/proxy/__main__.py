"""The mdproxy daemon's command line."""

from meadowdock.process import start
from meadowdock.proxy.server import ProxyServer
from meadowdock.settings import build_command_line

main = build_command_line("mdproxy", start(ProxyServer))

if __name__ == "__main__":
    main()
