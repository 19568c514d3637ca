"""Fault injection: crashes, a faulty file system, spoofed and mutated messages."""
