"""Detects that the last byte of a streamed request body has been sent although it was not read yet.

The time that a client waits counts from its last byte. While reading is paused because the server takes the
body slowly, that byte may wait for seconds: in the kernel's receive buffer or, once that is full, in the send
buffer of the client, where this machine cannot see it.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from typing import Protocol

from sagetrack.core.bodies import StreamedBody
from sagetrack.core.clock import now_us

ARRIVAL_CHECK_S = 0.1  # interval of checks of the connections on which reading is paused
COUNT = struct.Struct("i")
# What a client can write although this machine does not take it: the largest send buffer of Linux by default.
CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
# Share of the receive buffer from which its free part may be too small for the client's next segment.
FULL_SHARE = 0.25
LAST_CHUNK = b"\r\n0\r\n\r\n"  # the end of a chunked body without trailers
MAX_PEEK_BYTES = 256 * 1024


class BodyReader(Protocol):
    """The interface of a request parser that the check uses."""

    unparsed: bytes

    @property
    def streamed_body(self) -> StreamedBody | None:
        """The streamed body of the request that is being read."""


class PausedConnection(Protocol):
    """The interface of a client connection that the check uses."""

    descriptor: int

    @property
    def reader(self) -> BodyReader:
        """The request parser."""


def check_arrivals(connections: Iterable[PausedConnection]) -> None:
    """Mark the bodies whose last byte has arrived, or may wait in the client's send buffer."""
    for connection in connections:
        body = connection.reader.streamed_body
        if body is not None and not body.arrived_us and _may_be_sent(connection, body):
            body.mark_arrived(now_us())


def _may_be_sent(connection: PausedConnection, body: StreamedBody) -> bool:
    """Return whether the client may have written the last byte of a body."""
    descriptor = connection.descriptor
    unread = unread_bytes(descriptor)
    if body.length is None:
        # How much of a chunked body is missing is unknown. While a server takes it, the client is assumed to
        # be sending still.
        return _ends_with_last_chunk(connection, body, unread) or (
            not body.forwarding_started and _is_full(descriptor, unread)
        )
    missing = body.length - body.received - len(connection.reader.unparsed) - unread
    return missing <= 0 or (missing <= CLIENT_SEND_BUFFER_BYTES and _is_full(descriptor, unread))


def unread_bytes(descriptor: int) -> int:
    """Return how many bytes wait in the kernel's receive buffer; 0 if that cannot be read."""
    try:
        return int(COUNT.unpack(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(COUNT.size)))[0])
    except OSError:
        return 0


@contextmanager
def _borrowed_socket(descriptor: int) -> Iterator[socket.socket]:
    """Return a socket object for a descriptor that stays open and belongs to the event loop."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
    try:
        yield borrowed
    finally:
        borrowed.detach()


def _is_full(descriptor: int, unread: int) -> bool:
    """Return whether so much is unread that the client may have to wait before it can send more."""
    with suppress(OSError), _borrowed_socket(descriptor) as connection:
        return unread >= connection.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) * FULL_SHARE
    return False


def _ends_with_last_chunk(connection: PausedConnection, body: StreamedBody, unread: int) -> bool:
    """Return whether the unparsed data ends as a chunked body does; it is searched only if it has changed."""
    if unread == body.unread_at_check:
        return False
    body.unread_at_check = unread
    end = connection.reader.unparsed[-len(LAST_CHUNK) :]
    return (end + _peek(connection.descriptor, unread)).endswith(LAST_CHUNK)


def _peek(descriptor: int, size: int) -> bytes:
    """Return the `size` bytes of the receive buffer and leave them there; empty if they are too many."""
    if not 0 < size <= MAX_PEEK_BYTES:
        return b""
    with suppress(OSError), _borrowed_socket(descriptor) as borrowed:
        return borrowed.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    return b""
