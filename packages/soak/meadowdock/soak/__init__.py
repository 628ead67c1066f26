"""A soak: the daemons as real processes on loopback sockets, under kills, pauses, cuts and lost answers."""
