"""Take a zone out of a running fleet and check its guarantees."""
