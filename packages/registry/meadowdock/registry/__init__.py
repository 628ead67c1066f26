"""Core: who is alive, the load collector, duties by key."""
