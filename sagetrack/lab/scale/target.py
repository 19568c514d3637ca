"""The target fleet (issue 19): its sizes, its allowances for cost, and its rates of changes and failures."""

from __future__ import annotations

from dataclasses import dataclass

REQUESTS_PER_S = 89_000.0  # of the whole fleet
ADDED_P99_MS = 6.4  # allowed 99th percentile of the latency that a gateway adds
CHANGES_PER_DAY = 1_100  # configuration changes
CHANGE_PROPAGATION_S = 18.0  # within which a configuration change must be in force at all gateways
# Allowances of each gateway for control work: CPU, memory and network traffic
CONTROL_CORES = 0.015
CONTROL_BYTES = 128 * 1024 * 1024
CONTROL_BYTES_PER_S = 16 * 1024
CONTROL_MACHINES = 5  # that send configurations to the gateways
FAILURES_PER_DAY, RESTARTS_PER_DAY = 13, 2_200  # machines that fail, and machines that are restarted
REGIONS, ZONES_PER_REGION = 2, 4
DAY_S = 86_400.0

# Assumed values, because the target does not specify them
MACHINES_PER_RACK = 40
ZONE_LOSSES_PER_YEAR = REGION_PARTITIONS_PER_YEAR = 3


@dataclass(slots=True, frozen=True)
class Sizes:
    """The sizes of a fleet."""

    gateways: int = 730
    servers: int = 9_600
    services: int = 390
    tenants: int = 39_000

    @property
    def zones(self) -> int:
        """Return the number of zones in all regions."""
        return REGIONS * ZONES_PER_REGION

    @property
    def requests_per_s(self) -> float:
        """Return the request rate of the whole fleet at the target's rate per server."""
        return REQUESTS_PER_S * self.servers / Sizes().servers

    @property
    def servers_per_service(self) -> int:
        """Return the mean number of servers of a service."""
        return max(1, round(self.servers / self.services))


# Upper bounds of the memory of one item while probes run; used only to reject sizes that would not fit
PEER_BYTES, SERVER_BYTES, TENANT_BYTES = 700, 4_000, 1_500
TRACING_FACTOR = 2  # for the memory that tracemalloc itself uses


def needed_bytes(sizes: Sizes) -> int:
    """Return an upper bound of the memory of the probes at these sizes; each gateway knows all others."""
    largest = max(sizes.gateways**2 * PEER_BYTES, sizes.servers * SERVER_BYTES, sizes.tenants * TENANT_BYTES)
    return TRACING_FACTOR * largest
