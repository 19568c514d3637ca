"""Exit statuses of the gateway process."""

from __future__ import annotations

SUCCESS = 0
ADDRESS_UNAVAILABLE = 1  # a listening address cannot be bound
CONFIGURATION_UNUSABLE = 2  # a configuration file is missing or invalid
