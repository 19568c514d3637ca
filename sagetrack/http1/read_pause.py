"""Back-pressure on a client: nothing is read from it while what it has sent waits to be parsed."""

from __future__ import annotations

import asyncio

from sagetrack.http1.connection_phases import PhaseTracker


class ReadPause:
    """Whether one connection is read, and since when it is not."""

    __slots__ = ("_phase", "_since_s")

    def __init__(self, phase: PhaseTracker) -> None:
        self._phase = phase
        self._since_s: float | None = None  # None: the connection is read

    @property
    def is_active(self) -> bool:
        """Whether nothing is read for now."""
        return self._since_s is not None

    def begin(self, transport: asyncio.Transport) -> bool:
        """Read nothing more, so that the loop does not see the client close; False if that is so already."""
        if self._since_s is not None:
            return False
        self._since_s = asyncio.get_running_loop().time()
        transport.pause_reading()
        return True

    def end(self, transport: asyncio.Transport) -> bool:
        """Read again; False if the connection is read.

        The pause was not the client's, and does not count as time for its body.
        """
        if self._since_s is None:
            return False
        self._phase.exclude_pause(asyncio.get_running_loop().time() - self._since_s)
        self._since_s = None
        transport.resume_reading()
        return True
