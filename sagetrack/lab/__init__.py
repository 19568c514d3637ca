"""Test fleets in virtual time or on one machine: model, stand-ins, fault injection, checks, benchmarks."""
