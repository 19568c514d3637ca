"""A fleet on this machine: its model, stand-ins, fault injection, judges and benchmarks."""
