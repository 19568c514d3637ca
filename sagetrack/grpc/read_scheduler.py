"""Divides the time of the event loop between gRPC clients and everything else.

Decoding HTTP/2 is expensive compared with the bytes that cause it. However much gRPC clients send, they take
a bounded time of each iteration of the event loop, so that the clients of the other protocols are served.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import NamedTuple, Protocol

READ_BYTES = 16 * 1024  # read from one connection at once
PIECE_BYTES = 2 * 1024  # handled before the time is checked again
MAX_TIME_PER_ITERATION_S = 0.004


class ScheduledConnection(Protocol):
    """The methods of a connection that the scheduler calls."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""

    def pause_reading(self) -> None:
        """Leave further bytes in the socket."""

    def resume_reading(self) -> None:
        """Read again."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""

    def close(self) -> None:
        """Close the connection."""


class ReceivedData(NamedTuple):
    """Bytes that wait to be handled."""

    connection: ScheduledConnection
    data: bytes


class ReadScheduler:
    """Hands received bytes to their connections, in order, for a limited time in each iteration."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(READ_BYTES))  # of all connections, copied after each read
        self._waiting: deque[ReceivedData] = deque()
        self._spent_s = 0.0  # in this iteration
        self._is_scheduled = False

    @property
    def held_bytes(self) -> int:
        """Bytes that wait to be handled, at most `READ_BYTES` of each connection."""
        return len(self._waiting) * READ_BYTES

    def receive(self, connection: ScheduledConnection, size: int) -> None:
        """Handle the bytes read into `buffer`, now or in later iterations."""
        received = ReceivedData(connection, bytes(self.buffer[:size]))
        if self._waiting:
            connection.pause_reading()
            self._waiting.append(received)
        else:
            self._handle(received)
        self._schedule()

    def _schedule(self) -> None:
        """Begin another iteration, if anything waits or time was spent in this one."""
        if not self._is_scheduled and (self._waiting or self._spent_s > 0):
            self._is_scheduled = True
            self._loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._spent_s = 0.0
        self._is_scheduled = False
        try:
            while self._waiting and self._spent_s < MAX_TIME_PER_ITERATION_S:
                self._continue(self._waiting.popleft())
        finally:
            self._schedule()  # also after an error in one connection, as the others wait

    def _continue(self, received: ReceivedData) -> None:
        """Handle bytes that have waited, unless their client has closed the connection meanwhile."""
        if received.connection.has_disconnected():
            received.connection.close()
            return
        received.connection.resume_reading()
        self._handle(received)

    def _handle(self, received: ReceivedData) -> None:
        """Handle as many bytes as there is time for; the rest waits before the other connections."""
        connection, data = received
        offset = 0
        while offset < len(data) and self._spent_s < MAX_TIME_PER_ITERATION_S:
            self._handle_piece(connection, data[offset : offset + PIECE_BYTES])
            offset += PIECE_BYTES
        if offset < len(data):
            connection.pause_reading()
            self._waiting.appendleft(ReceivedData(connection, data[offset:]))

    def _handle_piece(self, connection: ScheduledConnection, piece: bytes) -> None:
        began_s = time.perf_counter()
        try:
            connection.data_received(piece)
        finally:
            self._spent_s += time.perf_counter() - began_s
