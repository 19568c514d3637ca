"""Back-pressure on a client: nothing is read from it while what it has sent waits to be parsed."""

from __future__ import annotations

import asyncio
from typing import Protocol

from sagetrack.http1.connection_phases import PhaseTracker


class PausableConnection(Protocol):
    """What a pause needs of the connection that is not read."""

    phase: PhaseTracker

    def watch_hangup(self) -> None:
        """Have the kernel report its end, which the loop does not see without reading."""

    def unwatch_hangup(self) -> None:
        """Leave the end of the connection to the loop again."""


class ReadPause:
    """Whether one connection is read, and since when it is not."""

    __slots__ = ("_connection", "_since_s")

    def __init__(self, connection: PausableConnection) -> None:
        self._connection = connection
        self._since_s: float | None = None  # None: the connection is read

    @property
    def is_active(self) -> bool:
        """Whether nothing is read for now."""
        return self._since_s is not None

    def begin(self, transport: asyncio.Transport) -> None:
        """Read nothing more; the kernel reports the end of the connection meanwhile."""
        if self._since_s is None:
            self._since_s = asyncio.get_running_loop().time()
            transport.pause_reading()
            self._connection.watch_hangup()

    def end(self, transport: asyncio.Transport) -> None:
        """Read again. The pause was not the client's, and does not count as time for its body."""
        if self._since_s is not None:
            self._connection.phase.exclude(asyncio.get_running_loop().time() - self._since_s)
            self._since_s = None
            self._connection.unwatch_hangup()
            transport.resume_reading()
