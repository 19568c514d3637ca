"""A randomized soak: real processes on loopback, faults that overlap, and an oracle that holds the rules."""
