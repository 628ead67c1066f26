"""The config store: the configuration on a quorum of disks, its operators' API, its members."""
