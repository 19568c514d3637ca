"""Starts, ends and upgrades gateway processes as the platform does, and records this in the history."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence

from sagetrack.lab.soak.events import now_us
from sagetrack.lab.soak.gateway import Gateway, GatewayProcess
from sagetrack.lab.soak.gateway_checks import record_counted_violations
from sagetrack.lab.soak.history import (
    ACCEPT_AFTER_SIGTERM_S,
    US_PER_S,
    GatewaySpan,
    GatewayTime,
    History,
)

SIGNAL_GAP_S = 0.03  # time between the signals of a series
CROSSING_DELAY_S = 0.2  # time from SIGTERM to the old process until SIGTERM to the new one


class GatewayLifecycle:
    """Starts and ends gateway processes, and records when a gateway had no process that was ready."""

    def __init__(self, history: History) -> None:
        self._history = history
        self._stopped_accepting_us: dict[int, int] = {}  # by gateway: when its last process stopped accepting

    async def start_all(self, gateways: Sequence[Gateway]) -> None:
        """Start all gateways concurrently and wait until they are ready."""
        started = [(gateway, await gateway.start_process()) for gateway in gateways]
        for gateway, process in started:
            if not await process.wait_until_ready():
                self._history.crashes.append(f"gateway {gateway.number} was not ready at the start")

    async def kill_and_restart(self, gateway: Gateway) -> None:
        """Kill all processes of a gateway and start a new one."""
        self._stopped_accepting_us[gateway.number] = now_us()
        for process in gateway.processes:
            self._record_kill(gateway)
            process.send_signal(signal.SIGKILL)
            await process.wait()
        self._record_kill(gateway)
        await self._replace(gateway)

    async def shut_down_and_restart(self, gateway: Gateway) -> None:
        """Shut down the newest process gracefully, and start a new one when it has ended."""
        await record_counted_violations(gateway, self._history)
        self._record_last_sigterm(gateway)
        await self.shut_down(gateway, gateway.newest_process)
        await self._replace(gateway)

    async def upgrade(self, gateway: Gateway, crossed: bool) -> None:
        """Start a second process, and shut down the first one once the second is ready.

        With `crossed`, the second process gets SIGTERM while the first one is still shutting down, and a
        third process replaces it.
        """
        await record_counted_violations(gateway, self._history)
        old = gateway.newest_process
        await self._start(gateway)
        new = gateway.newest_process
        shutdown = asyncio.create_task(self.shut_down(gateway, old))
        if crossed:
            await asyncio.sleep(CROSSING_DELAY_S)
            self._record_last_sigterm(gateway)
            await asyncio.gather(shutdown, self.shut_down(gateway, new))
            await self._replace(gateway)
        await shutdown

    async def shut_down(self, gateway: Gateway, process: GatewayProcess) -> None:
        """Send a series of signals to a process, and kill it at the earliest time that the platform may.

        The process may still run then, but every request that it has taken must have its response.
        """
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(SIGNAL_GAP_S)
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(gateway.limits.shutdown_s):
                for number in (signal.SIGHUP, signal.SIGTERM):
                    await asyncio.sleep(SIGNAL_GAP_S)
                    process.send_signal(number)
                await process.wait()
        except TimeoutError:
            # Not recorded as a kill: it excuses no request that the process has taken and not answered.
            process.send_signal(signal.SIGKILL)
            await process.wait()

    async def _replace(self, gateway: Gateway) -> None:
        """Start a process after the last one has ended, and record how long the gateway was down."""
        await self._start(gateway)
        down_from_us = self._stopped_accepting_us[gateway.number]
        self._history.down.append(GatewaySpan(gateway.number, down_from_us, now_us()))

    async def _start(self, gateway: Gateway) -> None:
        """Start a process and wait until it is ready."""
        process = await gateway.start_process()
        ready = await process.wait_until_ready()
        if not ready and not process.end_expected:
            self._history.crashes.append(f"gateway {gateway.number} was not ready after a restart")

    def _record_kill(self, gateway: Gateway) -> None:
        self._history.kills.append(GatewayTime(gateway.number, now_us()))

    def _record_last_sigterm(self, gateway: Gateway) -> None:
        """Record SIGTERM to the only process of a gateway, which stops accepting shortly afterwards."""
        sigterm_us = now_us()
        self._history.sigterms.append(GatewayTime(gateway.number, sigterm_us))
        stops_accepting_us = sigterm_us + int(ACCEPT_AFTER_SIGTERM_S * US_PER_S)
        self._stopped_accepting_us[gateway.number] = stops_accepting_us
