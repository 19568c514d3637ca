"""Benchmarks of throughput, latency, memory, restarts, fair queues and behaviour under overload."""
