"""A whole fleet on one machine: real processes on loopback addresses, with stand-in endpoints."""
