"""Progress of a client that reads a response, by the bytes that have not reached it yet."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

QUEUE_LENGTH = struct.Struct("i")


def undelivered_bytes(transport: asyncio.Transport, descriptor: int) -> int:
    """Return how many written bytes the peer has not acknowledged yet.

    The kernel may hold megabytes, and accepts more only when a third of its send buffer is free, so that its
    queue has to be asked too. If that fails, only the bytes in the write buffer are counted.
    """
    try:
        queued = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(QUEUE_LENGTH.size))
    except OSError:
        return transport.get_write_buffer_size()
    return transport.get_write_buffer_size() + int(QUEUE_LENGTH.unpack(queued)[0])


class WriteProgress:
    """Tells whether the peer of one connection has taken data since the last look."""

    __slots__ = ("_descriptor", "_transport", "_undelivered")

    def __init__(self, transport: asyncio.Transport, descriptor: int) -> None:
        self._transport = transport
        self._descriptor = descriptor
        self._undelivered = 0

    def has_advanced(self) -> bool:
        """Return whether the peer has taken data since the last call; the connection must be open."""
        before = self._undelivered
        self._undelivered = undelivered_bytes(self._transport, self._descriptor)
        return self._undelivered < before
