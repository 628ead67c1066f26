"""The registry (program mdreg): which nodes are alive, and the load collector among its replicas."""
