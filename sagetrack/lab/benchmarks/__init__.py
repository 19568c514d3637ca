"""Benchmarks: what a request, a restart, a queue or an overload costs."""
