"""Runs the load-balancing policy under a simulator that speaks a line-based text protocol."""
