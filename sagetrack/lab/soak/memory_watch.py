"""Watches the memory of the gateways' processes, as the platform does that kills them above their limit."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from contextlib import suppress

from sagetrack.lab.soak.gateway import Gateway
from sagetrack.lab.soak.history import History

SAMPLE_S = 0.05
BYTES_PER_MB = 1024 * 1024


class MemoryWatch:
    """Records each gateway whose processes together exceed its memory limit.

    The resident memory of all processes counts, which counts shared pages once for each of them, and the
    files in the gateway's temporary folder.
    """

    def __init__(self, gateways: Sequence[Gateway], limit_mb: int, history: History) -> None:
        self._gateways = gateways
        self._limit_mb = limit_mb
        self._history = history
        self.peak_mb = 0.0

    async def run(self) -> None:
        """Sample the memory until the task is cancelled."""
        while True:
            for gateway in self._gateways:
                self._sample(gateway)
            await asyncio.sleep(SAMPLE_S)

    def _sample(self, gateway: Gateway) -> None:
        used_mb = _total_mb(gateway.memory_bytes())
        self.peak_mb = max(self.peak_mb, used_mb)
        if used_mb > self._limit_mb:
            excess = self._history.memory_excess
            excess[gateway.number] = max(excess.get(gateway.number, 0.0), used_mb)


def _total_mb(parts: Iterable[int]) -> float:
    total = 0
    with suppress(OSError):  # a process or file may end while it is read
        for part in parts:
            total += part
    return total / BYTES_PER_MB
