"""Runs a fleet of real gateway processes in real time on loopback."""
