"""Base class of downstream and upstream HTTP/2 connections: the `h2` state machine and its transport."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from contextlib import suppress

import h2.config
import h2.connection
import h2.exceptions
import h2.settings

MAX_HEADER_LIST_BYTES = 32 * 1024  # SETTINGS_MAX_HEADER_LIST_SIZE (RFC 9113, section 6.5.2)
MAX_CLOSED_STREAMS = 512  # closed streams of a connection for which late frames are recognized
# Estimated memory, for claims of the memory budget.
CONNECTION_BYTES = 28 * 1024  # objects of a connection without streams
STREAM_BYTES = 3 * 1024  # objects of an open stream, without its headers and data
CLOSED_STREAM_BYTES = 160
FIELD_BYTES = 160  # objects of a header field, without its name and value


class BoundedH2Connection(h2.connection.H2Connection):
    """A connection of `h2` that remembers few closed streams."""

    MAX_CLOSED_STREAMS = MAX_CLOSED_STREAMS


class Http2Protocol(asyncio.BaseProtocol):
    """An HTTP/2 connection: an `h2` state machine and the transport that carries its bytes.

    Args:
        client_side: True for the client's end of the connection, which opens the streams.
        settings: The initial local SETTINGS, in the order in which they are sent.
    """

    def __init__(self, client_side: bool, settings: dict[h2.settings.SettingCodes, int]) -> None:
        config = h2.config.H2Configuration(client_side=client_side, header_encoding="latin-1")
        self.h2 = BoundedH2Connection(config)
        self.h2.local_settings = h2.settings.Settings(client=client_side, initial_values=settings)
        self.transport: asyncio.Transport | None = None
        self.write_paused = False  # True while the transport's write buffer is full

    def flush(self) -> None:
        """Write the bytes that `h2` has queued, unless the transport is closing."""
        if self.transport is not None and not self.transport.is_closing():
            data = self.h2.data_to_send()
            if data:
                self.transport.write(data)

    def pause_reading(self) -> None:
        """Leave further bytes in the socket."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Stop sending DATA, as the transport's write buffer is full."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Send DATA again, as the transport's write buffer has space."""
        self.write_paused = False
        self.send_all_pending()

    def acknowledge_data(self, size: int, stream_id: int) -> None:
        """Extend the flow-control windows of a stream and of the connection for received DATA."""
        # If the stream is closed, `h2` raises after it has counted the bytes for the connection's window.
        with suppress(h2.exceptions.H2Error):
            if size:
                self.h2.acknowledge_received_data(size, stream_id)

    def open_stream_window(self, size: int, stream_id: int) -> bool:
        """Extend the window of a stream only, not the connection's; False if the stream is closed."""
        try:
            self.h2.increment_flow_control_window(size, stream_id)
        except h2.exceptions.H2Error:
            return False
        return True

    @abstractmethod
    def send_all_pending(self) -> None:
        """Send as much as flow control allows on each stream."""
