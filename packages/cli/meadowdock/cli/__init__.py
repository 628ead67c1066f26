"""mdctl, the operators' command line."""
