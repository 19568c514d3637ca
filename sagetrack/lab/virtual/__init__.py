"""Discrete-event simulation of a fleet in one process, on a simulated clock."""
