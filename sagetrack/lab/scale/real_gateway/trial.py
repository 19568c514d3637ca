"""Load on a running gateway while its endpoint list changes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from sagetrack.lab.benchmarks.http_load import HttpLoad, run_http_load
from sagetrack.lab.processes.resource_usage import cpu_s, memory_mb
from sagetrack.lab.scale.real_gateway.admin import request_totals
from sagetrack.lab.scale.real_gateway.discovery import ScriptedDiscovery
from sagetrack.lab.scale.real_gateway.launcher import RunningGateway
from sagetrack.lab.scale.target_fleet import TargetFleet

CONNECTIONS = 32  # of the load generator
INITIAL_SERVERS = 25  # in the first endpoint list
CHANGED_SERVERS, CHANGE_S = 200, 1.0  # number of servers, and time within which they change
TICK_S = 0.001  # sleep time of the event loop monitor


async def max_loop_delay_ms() -> float:
    """Measure, until cancelled, the longest time for which this process's event loop was blocked.

    This delay of the load generator itself may be part of the longest measured latency.
    """
    longest_s = 0.0
    last_s = time.monotonic()
    try:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            longest_s = max(longest_s, now_s - last_s - TICK_S)
            last_s = now_s
    except asyncio.CancelledError:
        return longest_s * 1000


def percentile_ms(load: HttpLoad, percentile: float) -> float:
    """Return a percentile of the latencies of a load."""
    return float(load.latencies.get_value_at_percentile(percentile)) / 1000


class LoadTrial:
    """A running gateway under load, and the changes of its list; `figures` have their stored names."""

    def __init__(self, fleet: TargetFleet, discovery: ScriptedDiscovery, gateway: RunningGateway) -> None:
        self.fleet = fleet
        self.discovery = discovery
        self.gateway = gateway
        self.figures: dict[str, float] = {}

    async def run_phase(
        self, name: str, seconds: float, change: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Send load during a list change; store latencies, counts and CPU usage with the phase's name."""
        process = self.gateway.process
        sizes = self.fleet.sizes
        totals_before = await request_totals(process)
        cpu_before_s = cpu_s(self.gateway.pid)
        began_s = time.monotonic()
        delay_task = asyncio.create_task(max_loop_delay_ms())
        change_task = asyncio.create_task(change())
        load_task = asyncio.create_task(
            run_http_load(self.gateway.port, CONNECTIONS, seconds, sizes.requests_per_s / sizes.gateways)
        )
        await change_task
        change_s = time.monotonic() - began_s
        load = await load_task
        delay_task.cancel()
        # These are the gateway's own counters, because the load generator also counts as failed the requests
        # that it cuts off at its end.
        totals = await request_totals(process) - totals_before
        self.figures |= {
            f"{name}_own_hold_ms": await delay_task,
            f"{name}_p50_ms": percentile_ms(load, 50),
            f"{name}_p99_ms": percentile_ms(load, 99),
            f"{name}_longest_ms": float(load.latencies.get_max_value()) / 1000,
            f"{name}_refused": totals.rejected,
            f"{name}_failed": totals.failed,
            f"{name}_done": float(load.succeeded),
            f"{name}_core": (cpu_s(self.gateway.pid) - cpu_before_s) / (time.monotonic() - began_s),
            f"{name}_over_s": change_s,
            f"{name}_memory_mb": memory_mb(self.gateway.pid),
        }

    async def change_nothing(self) -> None:
        """Leave the list unchanged."""

    async def list_all(self) -> None:
        """List all servers at once."""
        await self._change([range(INITIAL_SERVERS, self.fleet.sizes.servers)], "SERVING", 0.0)

    async def drain_some(self) -> None:
        """Set 200 servers (at most a quarter of them) to DRAINING, one after another within a second."""
        changed = min(CHANGED_SERVERS, self.fleet.sizes.servers // 4)
        batches = [range(number, number + 1) for number in range(changed)]
        await self._change(batches, "DRAINING", CHANGE_S / changed)

    async def lose_zone(self) -> None:
        """Delete all servers of the last zone at once."""
        sizes = self.fleet.sizes
        await self._change([self.fleet.servers_in_zone(sizes.zones - 1, sizes.servers)], "DELETED", 0.0)

    async def _change(self, batches: Sequence[Sequence[int]], status: str, interval_s: float) -> None:
        """Change the list in batches, and wait until the gateway has applied all of them."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for count, numbers in enumerate(batches, 1):
            self.discovery.change(numbers, status)
            await asyncio.sleep(max(0.0, began_s + count * interval_s - loop.time()))
        await self.discovery.wait_until_applied()
