"""Back-pressure on a client: reading is paused while data that it has sent is not parsed yet."""

from __future__ import annotations

import asyncio

from sagetrack.http1.connection_phases import PhaseTracker


class ReadPause:
    """Pauses and resumes reading on one connection."""

    __slots__ = ("_phase", "_since_s")

    def __init__(self, phase: PhaseTracker) -> None:
        self._phase = phase
        self._since_s: float | None = None  # start of the pause; None if reading is not paused

    @property
    def is_active(self) -> bool:
        """True if reading is paused."""
        return self._since_s is not None

    def begin(self, transport: asyncio.Transport) -> bool:
        """Pause reading, which hides a close by the client from the event loop; False if already paused."""
        if self._since_s is not None:
            return False
        self._since_s = asyncio.get_running_loop().time()
        transport.pause_reading()
        return True

    def end(self, transport: asyncio.Transport) -> bool:
        """Resume reading; return False if it was not paused.

        The pause is not counted as time that the client took for its body, as this process caused it.
        """
        if self._since_s is None:
            return False
        self._phase.exclude_pause(asyncio.get_running_loop().time() - self._since_s)
        self._since_s = None
        transport.resume_reading()
        return True
