"""Exit statuses of a gateway process."""

from __future__ import annotations

SUCCESS = 0
ADDRESS_UNAVAILABLE = 1  # an address cannot be listened on
CONFIGURATION_UNUSABLE = 2  # the configuration cannot be used
