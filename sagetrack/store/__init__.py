"""A small embedded store: a segmented log with checksums, bases that compact it, and recovery."""
