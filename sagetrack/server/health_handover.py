"""Observations of server health that a process passes to its successor on the same machine."""

from __future__ import annotations

import asyncio
from pathlib import Path

from sagetrack.config.platform import Config
from sagetrack.core.clock import machine_us, now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.log import log
from sagetrack.policy.events import ObservationsReceived
from sagetrack.server.hot_restart import HotRestart

EXCHANGE_INTERVAL_S = 0.5  # between reads of the file, and between writes while a sibling runs
READING_PERIOD_S = 15.0  # how long a process reads that found a sibling serving at its start


class HealthHandover:
    """Writes observations while a sibling process runs, and takes over those of the predecessor.

    A process that found a sibling serving at its start is the successor: it reads for READING_PERIOD_S, and
    writes nothing meanwhile while a sibling runs. The times in the file are of a clock that both processes
    share, so that a step of the wall clock between their starts makes nothing older or younger.
    """

    def __init__(self, hot_restart: HotRestart, config: Config, gateway: Gateway) -> None:
        """Begin the exchange in the loop's next turn; made on a running loop.

        Args:
            hot_restart: the processes of this gateway; its folder can be used.
            config: the platform's configuration.
            gateway: where observations are from, and where those of the predecessor go.
        """
        assert hot_restart.folder is not None
        self.folder: Path = hot_restart.folder
        self.hot_restart = hot_restart
        self.config = config
        self.gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._is_successor = hot_restart.serving_sibling_count > 0
        self._read_until_s = self._loop.time() + READING_PERIOD_S
        self._restored_at_us = 0  # when the newest observations that were taken over had been written
        self._restored = 0  # observations
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
        """Take over the predecessor's observations, if there are newer ones than at the last call."""
        from sagetrack.peers.handover import read, shift_times

        note = read(self.folder, self.config.name, machine_us())
        if note is None or note.written_us <= self._restored_at_us:
            return
        self._restored_at_us = note.written_us
        if not self._restored:
            log(f"restored health of {len(note.observations)} servers from the previous process")
        self._restored += len(note.observations)
        observations = shift_times(note.observations, now_us() - machine_us())
        event = ObservationsReceived(tuple(observations), tuple(note.latencies))
        self.gateway.post(lambda: event)

    def save(self) -> None:
        """Write this process's observations for its successor."""
        from sagetrack.peers.handover import shift_times, write

        observations, latencies = self.gateway.balancer.own_observations()
        on_shared_clock = shift_times(observations, machine_us() - now_us())
        write(self.folder, self.config.name, machine_us(), on_shared_clock, latencies)

    def close(self) -> None:
        """Read and write no longer."""
        self._timer.cancel()
