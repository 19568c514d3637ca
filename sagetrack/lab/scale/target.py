"""The target: the sizes of the fleet to come, its allowances and how often its parts fail (issue 19)."""

from __future__ import annotations

from dataclasses import dataclass

REQUESTS_PER_S = 89_000.0  # by the whole fleet
ADDED_P99_MS = 6.4  # added by the gateway, 99th percentile
CHANGES_PER_DAY = 1_100  # of configuration
CHANGE_PROPAGATION_S = 18.0  # within which each of them is in force everywhere
CONTROL_CORES = 0.015  # of each gateway
CONTROL_BYTES = 128 * 1024 * 1024
CONTROL_BYTES_PER_S = 16 * 1024
CONTROL_MACHINES = 5
FAILURES_PER_DAY, RESTARTS_PER_DAY = 13, 2_200  # machines
REGIONS, ZONES_PER_REGION = 2, 4
DAY_S = 86_400.0

# Assumed, as the target leaves them open
MACHINES_PER_RACK = 40
ZONE_LOSSES_PER_YEAR = REGION_PARTITIONS_PER_YEAR = 3


@dataclass(slots=True, frozen=True)
class Sizes:
    """How large the fleet is."""

    gateways: int = 730
    servers: int = 9_600
    services: int = 390
    tenants: int = 39_000

    @property
    def zones(self) -> int:
        """Zones in all regions."""
        return REGIONS * ZONES_PER_REGION

    @property
    def requests_per_s(self) -> float:
        """Requests of the whole fleet, with the target's rate for each server."""
        return REQUESTS_PER_S * self.servers / Sizes().servers

    @property
    def servers_per_service(self) -> int:
        """Servers of the mean service."""
        return max(1, round(self.servers / self.services))


# Bytes of one of each while probes run, rounded up; used only to reject sizes that would not fit
PEER_BYTES, SERVER_BYTES, TENANT_BYTES = 700, 4_000, 1_500
TRACING_FACTOR = 2  # tracemalloc's own bookkeeping


def needed_bytes(sizes: Sizes) -> int:
    """Return an upper bound of the memory of the largest points; each member knows every other one."""
    largest = max(sizes.gateways**2 * PEER_BYTES, sizes.servers * SERVER_BYTES, sizes.tenants * TENANT_BYTES)
    return TRACING_FACTOR * largest
