"""Takes a hall out of a running fleet and checks the promises."""
