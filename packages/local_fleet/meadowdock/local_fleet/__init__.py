"""A whole fleet on one machine, as processes on loopback addresses, with stand-ins."""
