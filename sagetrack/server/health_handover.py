"""Passes observations of server health from a process to its successor on the same machine."""

from __future__ import annotations

import asyncio

from sagetrack.config.platform import Config
from sagetrack.core.clock import now_us, system_monotonic_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.log import log
from sagetrack.policy.events import ObservationsReceived
from sagetrack.server.hot_restart import HotRestart

EXCHANGE_INTERVAL_S = 0.5  # interval between reads, and between writes while a sibling runs
READ_PERIOD_S = 15.0  # time for which a successor reads after its start


class HealthHandover:
    """Writes observations while a sibling process runs, and reads those of the predecessor.

    A process that finds a serving sibling at its start is the successor. For READ_PERIOD_S it reads, and
    does not write while a sibling runs. Times in the file are of the machine's monotonic clock, which both
    processes share, so that a step of the wall clock between their starts does not change any age.
    """

    def __init__(self, hot_restart: HotRestart, config: Config, gateway: Gateway) -> None:
        """Start the exchange in the next iteration of the running event loop.

        Args:
            hot_restart: The other processes of this gateway; its folder is usable.
            config: The platform's configuration.
            gateway: Provides the observations and receives those of the predecessor.
        """
        assert hot_restart.folder is not None
        self.folder = hot_restart.folder
        self.hot_restart = hot_restart
        self.config = config
        self.gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._is_successor = hot_restart.serving_sibling_count > 0
        self._read_until_s = self._loop.time() + READ_PERIOD_S
        self._last_restored_us = 0  # write time of the newest observations restored
        self._restored_count = 0  # number of observations restored
        self._timer: asyncio.Handle = self._loop.call_soon(self._exchange)

    def _exchange(self) -> None:
        self._timer = self._loop.call_later(EXCHANGE_INTERVAL_S, self._exchange)
        if self._is_successor and self._loop.time() < self._read_until_s:
            self.restore()
            if self.hot_restart.sibling_count:
                return
        if self.hot_restart.sibling_count:
            self.save()

    def restore(self) -> None:
        """Restore the predecessor's observations if they are newer than at the last call."""
        from sagetrack.peers.handover import read, shift_times

        record = read(self.folder, self.config.name, system_monotonic_us())
        if record is None or record.written_us <= self._last_restored_us:
            return
        self._last_restored_us = record.written_us
        if not self._restored_count:
            log(f"restored health of {len(record.observations)} servers from the previous process")
        self._restored_count += len(record.observations)
        observations = shift_times(record.observations, now_us() - system_monotonic_us())
        event = ObservationsReceived(tuple(observations), tuple(record.latencies))
        self.gateway.post(lambda: event)

    def save(self) -> None:
        """Write the observations of this process for its successor."""
        from sagetrack.peers.handover import shift_times, write

        observations, latencies = self.gateway.balancer.own_observations()
        with_shared_clock = shift_times(observations, system_monotonic_us() - now_us())
        write(self.folder, self.config.name, system_monotonic_us(), with_shared_clock, latencies)

    def close(self) -> None:
        """Stop the exchange."""
        self._timer.cancel()
