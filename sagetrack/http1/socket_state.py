"""What the kernel knows of a connection: unread data, and when data last arrived."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from sagetrack.core.clock import now_us

COUNT = struct.Struct("i")
MAX_PEEK_BYTES = 256 * 1024
TCP_INFO_BYTES = 56  # of the structure of TCP_INFO, up to the field that is used
LAST_DATA_RECEIVED = struct.Struct("=52xI")  # the field tcpi_last_data_recv, in milliseconds
MAX_DATA_AGE_MS = 60_000  # a longer age is not plausible, as data is read or the connection is closed


def unread_bytes(descriptor: int) -> int:
    """Return how many bytes wait in the kernel's receive buffer; 0 if that cannot be read."""
    try:
        return int(COUNT.unpack(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(COUNT.size)))[0])
    except OSError:
        return 0


def receive_buffer_bytes(descriptor: int) -> int:
    """Return the size of the kernel's receive buffer; 0 if that cannot be read."""
    with suppress(OSError), _borrowed_socket(descriptor) as connection:
        return connection.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    return 0


def peek(descriptor: int, size: int) -> bytes:
    """Return the `size` bytes of the receive buffer and leave them there; empty if they are too many."""
    if not 0 < size <= MAX_PEEK_BYTES:
        return b""
    with suppress(OSError), _borrowed_socket(descriptor) as connection:
        return connection.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    return b""


def last_arrival_us(descriptor: int, since_us: int | None) -> int:
    """Return when the data that was just read last arrived, on the clock of `now_us`.

    Args:
        descriptor: The descriptor of the connection.
        since_us: The earliest time at which it can have arrived; None if it was read at once.

    Returns:
        The time, or the current time if it is unknown.
    """
    if since_us is None:
        return now_us()
    age_ms = 0
    with suppress(OSError, struct.error), _borrowed_socket(descriptor) as connection:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (age_ms,) = LAST_DATA_RECEIVED.unpack(info)
    if age_ms > MAX_DATA_AGE_MS:
        age_ms = 0
    return max(since_us, now_us() - age_ms * 1_000)


@contextmanager
def _borrowed_socket(descriptor: int) -> Iterator[socket.socket]:
    """Return a socket object for a descriptor that stays open and belongs to the event loop."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
    try:
        yield borrowed
    finally:
        borrowed.detach()
