"""Reads and validates the configuration: the platform's JSON file and the operator's TOML file."""
