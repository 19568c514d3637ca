"""Detects that the last byte of a streamed request body has been sent although it was not read yet.

The time that a client waits counts from its last byte. While reading is paused because the server takes the
body slowly, that byte may wait for seconds: in the kernel's receive buffer or, once that is full, in the send
buffer of the client, where this machine cannot see it.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Protocol

from sagetrack.core.bodies import StreamedBody
from sagetrack.core.clock import now_us
from sagetrack.http1.socket_state import peek, receive_buffer_bytes, unread_bytes

ARRIVAL_CHECK_S = 0.1  # interval of checks of the connections on which reading is paused
# What a client can write although this machine does not take it: the largest send buffer of Linux by default.
CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
# Share of the receive buffer from which its free part may be too small for the client's next segment.
FULL_SHARE = 0.25
LAST_CHUNK = b"\r\n0\r\n\r\n"  # the end of a chunked body without trailers


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


class ArrivalCheck:
    """Marks the bodies whose last byte has arrived, or may wait in the client's send buffer.

    The latter is an assumption. It is dropped once all that the client has sent was read without the end.
    """

    def __init__(self) -> None:
        self._assumed: dict[PausedConnection, StreamedBody] = {}

    def check(self, paused: Iterable[PausedConnection]) -> None:
        """Check the connections on which reading is paused, and those with an assumption."""
        for connection, body in list(self._assumed.items()):
            if body.is_finished or _has_read_all(connection):
                del self._assumed[connection]
                body.unmark_arrived()
        for connection in paused:
            paused_body = connection.reader.streamed_body
            if paused_body is None or paused_body.arrived_us:
                continue
            arrival = _arrival(connection, paused_body)
            if arrival is Arrival.ASSUMED:
                self._assumed[connection] = paused_body
            if arrival is not Arrival.NO:
                paused_body.mark_arrived(now_us())


class Arrival(Enum):
    """Whether the last byte of a body has been sent."""

    NO = "no"
    ASSUMED = "assumed"  # it may wait in the client's send buffer
    YES = "yes"  # it waits in the receive buffer


def _arrival(connection: PausedConnection, body: StreamedBody) -> Arrival:
    """Return whether the client has written, or may have written, the last byte of a body."""
    descriptor = connection.descriptor
    unread = unread_bytes(descriptor)
    if body.length is None:
        # How much of a chunked body is missing is unknown. While a server takes it, the client is assumed to
        # be sending still.
        if _ends_with_last_chunk(connection, body, unread):
            return Arrival.YES
        may_be_sent = not body.forwarding_started
    else:
        missing = body.length - body.received - len(connection.reader.unparsed) - unread
        if missing <= 0:
            return Arrival.YES
        may_be_sent = missing <= CLIENT_SEND_BUFFER_BYTES
    return Arrival.ASSUMED if may_be_sent and _is_full(descriptor, unread) else Arrival.NO


def _has_read_all(connection: PausedConnection) -> bool:
    """Return whether everything that has arrived on a connection was read and parsed."""
    return not connection.reader.unparsed and unread_bytes(connection.descriptor) == 0


def _is_full(descriptor: int, unread: int) -> bool:
    """Return whether so much is unread that the client may have to wait before it can send more."""
    size = receive_buffer_bytes(descriptor)
    return size > 0 and unread >= size * FULL_SHARE


def _ends_with_last_chunk(connection: PausedConnection, body: StreamedBody, unread: int) -> bool:
    """Return whether the unparsed data ends as a chunked body does; it is searched only if it has changed."""
    if unread == body.unread_at_check:
        return False
    body.unread_at_check = unread
    end = connection.reader.unparsed[-len(LAST_CHUNK) :]
    return (end + peek(connection.descriptor, unread)).endswith(LAST_CHUNK)
