"""The mdproxy daemon's command line."""

from meadowdock.process import start
from meadowdock.proxy.server import ProxyServer
from meadowdock.settings import command

main = command("mdproxy", start(ProxyServer))

if __name__ == "__main__":
    main()
