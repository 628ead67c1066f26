"""Core: the manifest register on disk, and the operators' calls."""
