"""A randomized soak test: real processes on loopback, overlapping faults, and an oracle that checks rules."""
