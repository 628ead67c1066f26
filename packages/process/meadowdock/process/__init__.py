"""The common lifecycle of the three daemons: start, serving, health checks, graceful shutdown."""

from meadowdock.process.daemon import Daemon
from meadowdock.process.node import Node
from meadowdock.process.runner import run_daemon, start, watch_signals

__all__ = [
    "Daemon",
    "Node",
    "run_daemon",
    "start",
    "watch_signals",
]
