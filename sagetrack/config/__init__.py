"""Configuration: the platform's JSON and the operator's TOML, validated."""
