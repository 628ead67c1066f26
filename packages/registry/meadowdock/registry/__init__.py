"""The registry (program mdreg): tracks which nodes are alive; one of its replicas collects load."""
