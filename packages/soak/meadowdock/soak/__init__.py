"""Soak test: the daemons as real processes on loopback sockets, under injected faults.

The faults are killed and paused processes, network partitions and lost responses.
"""
