"""Fault injection: store crashes, a faulty file system, and spoofed and mutated DNS messages."""
