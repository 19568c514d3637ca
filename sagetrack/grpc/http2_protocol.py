"""What both sides of HTTP/2 share: the state machine of `h2`, its transport and writing to it."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from contextlib import suppress

import h2.config
import h2.connection
import h2.exceptions
import h2.settings

MAX_HEADER_LIST_BYTES = 32 * 1024  # SETTINGS_MAX_HEADER_LIST_SIZE, RFC 9113, 6.5.2


class Http2Protocol(asyncio.Protocol):
    """One HTTP/2 connection: an `h2` state machine and the transport that carries its bytes.

    Args:
        client_side: Whether this end opens the streams.
        settings: Initial local SETTINGS, in the order in which they are sent.
    """

    def __init__(self, client_side: bool, settings: dict[h2.settings.SettingCodes, int]) -> None:
        config = h2.config.H2Configuration(client_side=client_side, header_encoding="latin-1")
        self.h2 = h2.connection.H2Connection(config)
        self.h2.local_settings = h2.settings.Settings(client=client_side, initial_values=settings)
        self.transport: asyncio.Transport | None = None
        self.write_paused = False  # the transport's buffer is full

    def flush(self) -> None:
        """Write what the state machine has produced, unless the transport is closing."""
        if self.transport is not None and not self.transport.is_closing():
            data = self.h2.data_to_send()
            if data:
                self.transport.write(data)

    def pause_writing(self) -> None:
        """Stop producing DATA: the transport's buffer is full."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Produce DATA again."""
        self.write_paused = False
        self.send_all_pending()

    def acknowledge_data(self, size: int, stream_id: int) -> None:
        """Open the windows of a stream and of the connection for received DATA."""
        # A closed stream is an error there, after its bytes were counted for the connection.
        with suppress(h2.exceptions.H2Error):
            if size:
                self.h2.acknowledge_received_data(size, stream_id)

    def open_stream_window(self, size: int, stream_id: int) -> bool:
        """Open the window of a stream alone; False if the stream is closed by now."""
        try:
            self.h2.increment_flow_control_window(size, stream_id)
        except h2.exceptions.H2Error:
            return False
        return True

    @abstractmethod
    def send_all_pending(self) -> None:
        """Send what flow control lets out on each stream."""
