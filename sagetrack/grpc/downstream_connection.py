"""One HTTP/2 connection of a client: its streams, flow control, GOAWAY and limits on abuse."""

from __future__ import annotations

import asyncio
import select
from contextlib import suppress
from typing import Protocol, cast

import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from sagetrack.core.clock import now_us
from sagetrack.core.peer_close import has_peer_closed
from sagetrack.grpc.downstream_stream import MAX_MESSAGE_BYTES, DownstreamStream
from sagetrack.grpc.flood_guard import FloodGuard
from sagetrack.grpc.http2_protocol import MAX_HEADER_LIST_BYTES, Http2Protocol
from sagetrack.grpc.messages import goaway_frame
from sagetrack.grpc.request_intake import RequestIntake

MAX_STREAMS = 100  # of one connection at once, SETTINGS_MAX_CONCURRENT_STREAMS
MAX_RESETS_PER_S = 100  # streams that a client may open and cancel (rapid reset, CVE-2023-44487)
IDLE_TIMEOUT_S = 30.0
STALL_TIMEOUT_S = 10.0  # of a stream whose client neither reads nor sends
CONTENT_TYPE = "application/grpc+proto"


class ConnectionRegistry(Protocol):
    """What a connection asks of the listener that accepted it."""

    def add(self, connection: GrpcDownstreamConnection) -> bool:
        """Register a connection; False if there are too many."""

    def discard(self, connection: GrpcDownstreamConnection) -> None:
        """Forget a connection that has closed."""

    def is_draining(self) -> bool:
        """Whether connections should take no new streams."""


class GrpcDownstreamConnection(Http2Protocol):
    """One connection; each stream is a request.

    Args:
        intake: Where requests go.
        registry: The listener that accepted the connection.
    """

    def __init__(self, intake: RequestIntake, registry: ConnectionRegistry) -> None:
        codes = h2.settings.SettingCodes
        settings: dict[h2.settings.SettingCodes, int] = {
            codes.MAX_CONCURRENT_STREAMS: MAX_STREAMS,
            codes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
            codes.INITIAL_WINDOW_SIZE: MAX_MESSAGE_BYTES,
        }
        super().__init__(False, settings)
        self.intake = intake
        self.registry = registry
        self.streams: dict[int, DownstreamStream] = {}
        self.last_stream_id = 0
        self.draining = False
        self.closed = False
        self.poll: select.poll | None = None  # for the client's end of the socket
        self.last_received_us = now_us()
        self.flood_guard = FloodGuard(self.last_received_us, MAX_RESETS_PER_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if there are too many."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.registry.add(self):
            self.transport.abort()
            return
        socket = transport.get_extra_info("socket")
        if socket is not None:
            self.poll = select.poll()
            self.poll.register(socket.fileno(), select.POLLRDHUP)
        self.intake.counts.connections += 1
        self.h2.initiate_connection()
        self.flush()
        if self.registry.is_draining():
            self.drain()

    # Receiving

    def data_received(self, data: bytes) -> None:
        """Feed the state machine and act on its events."""
        self.last_received_us = now_us()
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.intake.counts.closed_for_flooding += 1
            self.close()
            return
        for event in events:
            if self.closed:
                return
            self.on_event(event)
        self.flush()

    def on_event(self, event: h2.events.Event) -> None:
        """Act on one event of the state machine."""
        stream_id = getattr(event, "stream_id", None) or 0
        match event:
            case h2.events.RequestReceived():
                self.on_request(event, stream_id)
            case h2.events.DataReceived():
                self.on_data(event, stream_id)
            case h2.events.StreamEnded():
                stream = self.streams.get(stream_id)
                if stream is not None and not stream.is_answered:
                    self.intake.on_end(stream)
            case h2.events.StreamReset():
                stream = self.streams.pop(stream_id, None)
                if stream is not None:
                    stream.drop()
                self.count_frames(resets=1)
            case h2.events.WindowUpdated():
                self.send_all_pending()
            case h2.events.PingReceived() | h2.events.RemoteSettingsChanged():
                self.count_frames(control_frames=1)
                self.send_all_pending()
            case h2.events.ConnectionTerminated():
                self.close()

    def on_request(self, event: h2.events.RequestReceived, stream_id: int) -> None:
        """Headers of a request.

        While draining, its id is above that in GOAWAY: the client knows that it never ran, and may send it
        elsewhere.
        """
        if self.draining:
            return
        self.last_stream_id = max(self.last_stream_id, stream_id)
        headers = [(str(name), str(value)) for name, value in event.headers or ()]
        self.streams[stream_id] = DownstreamStream(
            self.intake.gateway, self.intake.counts, self, stream_id, headers, last_progress_us=now_us()
        )

    def on_data(self, event: h2.events.DataReceived, stream_id: int) -> None:
        """DATA of a request."""
        stream = self.streams.get(stream_id)
        if not event.data:
            self.count_frames(control_frames=1)
        if stream is not None and not stream.is_answered:
            self.intake.on_data(stream, event.data or b"")
        self.acknowledge(stream, stream_id, event.flow_controlled_length or 0)

    def acknowledge(self, stream: DownstreamStream | None, stream_id: int, size: int) -> None:
        """Open the windows for what has come; a stream's own stays closed while its body's buffer is full.

        The connection's window is opened in any case, so that other streams go on.
        """
        if stream is None or not stream.withholds_window:
            self.acknowledge_data(size, stream_id)
        elif size:
            stream.withheld.add(size)
            with suppress(h2.exceptions.H2Error):
                self.h2.increment_flow_control_window(size)

    def reopen_window(self, stream: DownstreamStream) -> None:
        """Open a stream's window for what was withheld while its body's buffer was full."""
        size = stream.withheld.take()
        if size and not stream.closed and not self.closed:
            self.open_stream_window(size, stream.id)
            self.flush()

    def count_frames(self, resets: int = 0, control_frames: int = 0) -> None:
        """Close the connection of a client that floods it with frames that ask for nothing."""
        if self.flood_guard.record(now_us(), control_frames=control_frames, resets=resets):
            self.intake.counts.closed_for_flooding += 1
            with suppress(h2.exceptions.H2Error):
                self.h2.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.close()

    # Responses

    def send_all_pending(self) -> None:
        """Send what flow control allows on each stream."""
        for stream in list(self.streams.values()):
            self.send_pending(stream)

    def send_pending(self, stream: DownstreamStream) -> None:
        """Send what flow control allows of a response, and the trailers after the last of it."""
        if stream.closed or self.closed:
            return
        try:
            self.send_response(stream)
        except h2.exceptions.H2Error:
            self.streams.pop(stream.id, None)
            stream.drop()
        self.flush()
        stream.resume_source()
        self.close_if_drained()

    def send_response(self, stream: DownstreamStream) -> None:
        """Feed a response to the state machine: headers, messages, trailers."""
        head = [(":status", "200"), ("content-type", CONTENT_TYPE)]
        if stream.is_trailers_only:
            self.send_trailers(stream, [*head, *(stream.trailers or ())])
            return
        if stream.needs_headers:
            stream.on_headers_sent()
            self.h2.send_headers(stream.id, head)
        while stream.pending and not self.write_paused:
            window = min(self.h2.local_flow_control_window(stream.id), self.h2.max_outbound_frame_size)
            if window <= 0:
                return
            self.h2.send_data(stream.id, bytes(stream.pending[:window]))
            stream.on_data_sent(window)
        if stream.trailers is not None and not stream.pending:
            self.send_trailers(stream, stream.trailers)

    def send_trailers(self, stream: DownstreamStream, trailers: list[tuple[str, str]]) -> None:
        """End a response."""
        self.h2.send_headers(stream.id, trailers, end_stream=True)
        stream.on_trailers_sent()
        self.streams.pop(stream.id, None)

    # Ends

    def has_disconnected(self) -> bool:
        """Whether the client has closed the connection, even if the event loop has not seen it yet.

        Asked before anything is sent for its requests.
        """
        return self.closed or (self.poll is not None and has_peer_closed(self.poll))

    def drain(self) -> None:
        """Take no new streams (GOAWAY, RFC 9113, 6.8); those that are open are answered first."""
        if self.draining or self.closed:
            return
        self.draining = True
        self.flush()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(goaway_frame(self.last_stream_id))
        self.close_if_drained()

    def close_if_drained(self) -> None:
        """Close a draining connection on which nothing is left to be answered."""
        if self.draining and not self.streams:
            self.close()

    def close(self) -> None:
        """Close it at once; its requests are cancelled."""
        if not self.closed:
            self.flush()
            self.closed = True
            if self.transport is not None:
                self.transport.close()
            self.drop_streams()

    def drop_streams(self) -> None:
        """Cancel all its requests and leave the registry."""
        self.registry.discard(self)
        for stream in list(self.streams.values()):
            stream.drop()
        self.streams.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        """The socket is gone."""
        self.closed = True
        self.transport = None
        self.drop_streams()

    def sweep(self, now: int) -> None:
        """Drain an idle connection, and reset streams whose client neither reads nor sends."""
        if not self.streams and now - self.last_received_us > IDLE_TIMEOUT_S * 1e6:
            self.drain()
        for stream in list(self.streams.values()):
            if stream.is_stalled(now, STALL_TIMEOUT_S * 1e6):
                with suppress(h2.exceptions.H2Error):
                    self.h2.reset_stream(stream.id, h2.errors.ErrorCodes.CANCEL)
                self.streams.pop(stream.id, None)
                stream.drop()
        self.flush()
