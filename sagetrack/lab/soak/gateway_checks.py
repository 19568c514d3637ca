"""Checks of the gateway processes: violations that they have counted, leaks and unexpected exits."""

from __future__ import annotations

from sagetrack.lab.soak.gateway import Gateway
from sagetrack.lab.soak.history import History

VIOLATIONS_METRIC = "svc_violations_total"
OPEN_REQUESTS_METRIC = "svc_current"
MAX_IDLE_DESCRIPTORS = 40  # limit for a gateway without clients, excluding idle connections to servers
IDLE_CONNECTIONS_PER_SERVER = 2  # idle connections allowed to each server


async def record_counted_violations(gateway: Gateway, history: History) -> None:
    """Record the violations in the metrics of a gateway's newest process."""
    for line in await gateway.newest_process.stats():
        name, _, value = line.rpartition(" ")
        if name.startswith(VIOLATIONS_METRIC) and float(value) > 0:
            history.counted_violations.append(f"gateway {gateway.number}: {line}")


async def record_leaks(gateway: Gateway, servers: int, history: History) -> None:
    """Record a leak if a gateway without clients still has open requests or too many descriptors."""
    process = gateway.newest_process
    open_requests = [line for line in await process.stats() if line.startswith(f"{OPEN_REQUESTS_METRIC} ")]
    if open_requests != [f"{OPEN_REQUESTS_METRIC} 0"]:
        found = open_requests or "no stats"
        history.leaks.append(
            f"gateway {gateway.number} without clients, open requests in its metrics: {found}"
        )
    descriptors = process.open_descriptors()
    if descriptors > MAX_IDLE_DESCRIPTORS + IDLE_CONNECTIONS_PER_SERVER * servers:
        history.leaks.append(f"gateway {gateway.number} without clients has {descriptors} open descriptors")


def record_unexpected_exits(gateway: Gateway, history: History) -> None:
    """Record a crash for each process that ended without SIGTERM or SIGKILL from the soak."""
    for process in gateway.processes:
        if process.exit_status is not None and not process.end_expected:
            history.crashes.append(
                f"gateway {gateway.number} exited unexpectedly with status {process.exit_status}"
            )
