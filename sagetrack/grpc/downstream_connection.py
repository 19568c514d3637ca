"""An HTTP/2 connection of a gRPC client: streams, flow control, GOAWAY and limits against abuse."""

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
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.peer_close import has_peer_closed
from sagetrack.grpc.connection_memory import ConnectionMemory
from sagetrack.grpc.downstream_stream import MAX_REQUEST_MESSAGE_BYTES, DownstreamStream
from sagetrack.grpc.flood_guard import FloodGuard
from sagetrack.grpc.http2_protocol import MAX_HEADER_LIST_BYTES, Http2Protocol
from sagetrack.grpc.messages import goaway_frame
from sagetrack.grpc.read_scheduler import ReadScheduler
from sagetrack.grpc.request_intake import RequestIntake
from sagetrack.grpc.response_writer import write_response
from sagetrack.grpc.translate import rejection_trailers

MAX_STREAMS = 100  # concurrent streams on a connection (SETTINGS_MAX_CONCURRENT_STREAMS)
MAX_RESETS_PER_S = 100  # limit on streams that a client resets (rapid reset attack, CVE-2023-44487)
IDLE_TIMEOUT_S = 30.0
STALL_TIMEOUT_S = 10.0  # a stream is reset if its client neither reads nor sends for this long
STALLED_S = 1.0  # a client that has sent nothing of a request for this time counts as stalled


class ConnectionRegistry(Protocol):
    """The interface of its listener that a connection uses."""

    @property
    def reads(self) -> ReadScheduler:
        """Hands received bytes to the connections by turns."""

    def add(self, connection: GrpcDownstreamConnection) -> None:
        """Register a connection that was accepted."""

    def discard(self, connection: GrpcDownstreamConnection) -> None:
        """Remove a connection that has closed."""

    def is_draining(self) -> bool:
        """Return whether connections should accept no new streams."""


class GrpcDownstreamConnection(Http2Protocol, asyncio.BufferedProtocol):
    """A connection whose streams carry one request each.

    Args:
        intake: Converts the received messages to requests of the gateway.
        registry: The listener that accepted the connection.
    """

    def __init__(self, intake: RequestIntake, registry: ConnectionRegistry) -> None:
        codes = h2.settings.SettingCodes
        settings: dict[h2.settings.SettingCodes, int] = {
            codes.MAX_CONCURRENT_STREAMS: MAX_STREAMS,
            codes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
            codes.INITIAL_WINDOW_SIZE: MAX_REQUEST_MESSAGE_BYTES,
        }
        super().__init__(False, settings)
        self.intake = intake
        self.registry = registry
        self.reads = registry.reads
        self.streams: dict[int, DownstreamStream] = {}
        self.last_stream_id = 0
        self.draining = False
        self.closed = False
        self.poll: select.poll | None = None  # detects that the client has closed the socket
        self.last_received_us = now_us()
        self.flood_guard = FloodGuard(self.last_received_us, MAX_RESETS_PER_S)
        self.memory = ConnectionMemory(intake.memory_budget)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and send the SETTINGS."""
        self.transport = cast(asyncio.Transport, transport)
        self.registry.add(self)
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

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of all connections; called by the event loop."""
        return self.reads.buffer

    def buffer_updated(self, size: int) -> None:
        """Handle the bytes read into the buffer, in turn with other connections; called by the event loop."""
        self.reads.receive(self, size)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to `h2`, and handle the resulting events."""
        if self.closed:
            return
        self.last_received_us = now_us()
        self.memory.frames.feed(data)
        try:
            if self.memory.frames.block_bytes > MAX_HEADER_LIST_BYTES:
                raise h2.exceptions.DenialOfServiceError("header block is too long")
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.intake.counts.closed_for_violations += 1
            self.close()
            return
        for event in events:
            if self.closed:
                return
            self.on_event(event)
        self.flush()
        self.update_memory()

    # Memory

    @property
    def memory_budget(self) -> MemoryBudget:
        """The memory budget of the process."""
        return self.memory.budget

    def update_memory(self) -> None:
        """Report what the connection holds to the memory budget."""
        if self.closed or self.transport is None:
            self.memory.release()
        else:
            self.memory.update(self.streams.values(), self.transport.get_write_buffer_size())

    def open_withheld_window(self, stream: DownstreamStream) -> None:
        """Extend the connection's window by what was withheld for a stream that no longer holds it."""
        self.acknowledge_data(self.memory.withheld.pop(stream.id, 0), stream.id)

    def open_withheld_windows(self) -> None:
        """Extend the windows by what was withheld while memory was short."""
        for stream_id, size in self.memory.take_withheld():
            self.acknowledge_data(size, stream_id)
        self.flush()

    def idle_us(self, now: int) -> int:
        """Return for how long the client has sent nothing; 0 if a request of it is due a response.

        A client that has stopped within a request counts only after `STALLED_S`.
        """
        if self.closed or not all(stream.awaits_submission for stream in self.streams.values()):
            return 0
        silent_us = now - self.last_received_us
        is_stalled = self.streams or self.memory.frames.held_bytes
        return 0 if is_stalled and silent_us < STALLED_S * 1e6 else silent_us

    def on_event(self, event: h2.events.Event) -> None:
        """Handle one event of `h2`."""
        stream_id = getattr(event, "stream_id", None) or 0
        match event:
            case h2.events.RequestReceived():
                self.on_request(event, stream_id)
            case h2.events.DataReceived():
                self.on_data(event, stream_id)
            case h2.events.StreamEnded():
                stream = self.streams.get(stream_id)
                if stream is not None and not stream.is_finished:
                    self.intake.on_end(stream)
                    self.open_withheld_window(stream)
            case h2.events.StreamReset():
                stream = self.streams.get(stream_id)
                if stream is not None:
                    self.discard(stream)
                self.count_frames(resets=1)
            case h2.events.WindowUpdated():
                self.send_all_pending()
            case h2.events.PingReceived() | h2.events.RemoteSettingsChanged():
                self.count_frames(control_frames=1)
                self.send_all_pending()
            case h2.events.ConnectionTerminated():
                self.close()

    def on_request(self, event: h2.events.RequestReceived, stream_id: int) -> None:
        """Handle the headers of a request.

        A request that arrives while draining is ignored: its stream id is above the last id in GOAWAY, so the
        client knows that it was not processed and may send it on another connection.
        """
        if self.draining:
            return
        self.last_stream_id = max(self.last_stream_id, stream_id)
        self.memory.opened_streams += 1
        headers = [(str(name), str(value)) for name, value in event.headers or ()]
        stream = DownstreamStream(
            self.intake.gateway, self.intake.counts, self, stream_id, headers, last_progress_us=now_us()
        )
        self.streams[stream_id] = stream
        if self.intake.must_reject(stream):
            self.reject(stream)

    def reject(self, stream: DownstreamStream) -> None:
        """Reject a request that was not submitted, and tell the client to send no more of it."""
        self.memory_budget.rejected += 1
        stream.finish(rejection_trailers(0))
        with suppress(h2.exceptions.H2Error):
            self.h2.reset_stream(stream.id, h2.errors.ErrorCodes.NO_ERROR)
        self.discard(stream)

    def discard(self, stream: DownstreamStream) -> None:
        """Remove a stream that was reset, and cancel its request."""
        self.streams.pop(stream.id, None)
        stream.cancel()
        self.open_withheld_window(stream)
        self.flush()
        self.update_memory()

    def on_data(self, event: h2.events.DataReceived, stream_id: int) -> None:
        """Handle DATA of a request."""
        stream = self.streams.get(stream_id)
        if not event.data:
            self.count_frames(control_frames=1)
        if stream is not None and not stream.is_finished:
            self.intake.on_data(stream, event.data or b"")
            if self.intake.must_reject(stream):
                self.reject(stream)
        self.acknowledge(stream, stream_id, event.flow_controlled_length or 0)

    def acknowledge(self, stream: DownstreamStream | None, stream_id: int, size: int) -> None:
        """Extend the flow-control windows for received bytes.

        While the buffer of a stream's body is full, only the connection's window is extended, so that the
        other streams continue. While memory is short, no window is extended for requests that are not
        submitted yet.
        """
        if stream is not None and size and self.memory.withholds(stream, size):
            return
        if stream is None or not stream.withholds_window:
            self.acknowledge_data(size, stream_id)
        elif size:
            stream.withheld.add(size)
            with suppress(h2.exceptions.H2Error):
                self.h2.increment_flow_control_window(size)

    def reopen_window(self, stream: DownstreamStream) -> None:
        """Extend a stream's window by the bytes that were withheld while its body's buffer was full."""
        size = stream.withheld.take()
        if size and not stream.closed and not self.closed:
            self.open_stream_window(size, stream.id)
            self.flush()

    def count_frames(self, resets: int = 0, control_frames: int = 0) -> None:
        """Count resets and control frames, and close the connection if there are too many (flood)."""
        if self.flood_guard.record(now_us(), control_frames=control_frames, resets=resets):
            self.intake.counts.closed_for_violations += 1
            with suppress(h2.exceptions.H2Error):
                self.h2.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.close()

    # Responses

    def send_all_pending(self) -> None:
        """Send as much as flow control allows on each stream."""
        for stream in list(self.streams.values()):
            self.send_pending(stream)

    def send_pending(self, stream: DownstreamStream) -> None:
        """Send as much of a response as flow control allows, and the trailers after the last message."""
        if stream.closed or self.closed:
            return
        try:
            write_response(self, stream)
        except h2.exceptions.H2Error:
            stream.cancel()
        if stream.closed:
            self.streams.pop(stream.id, None)
        self.flush()
        self.update_memory()
        stream.resume_source()
        self.close_if_drained()

    # Closing

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection, even before the event loop reports it.

        The gateway calls this before it sends an attempt for a request of the connection.
        """
        return self.closed or (self.poll is not None and has_peer_closed(self.poll))

    def drain(self) -> None:
        """Send GOAWAY (RFC 9113, section 6.8): no new streams are accepted, and open ones complete."""
        if self.draining or self.closed:
            return
        self.draining = True
        self.flush()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(goaway_frame(self.last_stream_id))
        self.close_if_drained()

    def close_if_drained(self) -> None:
        """Close the connection if it is draining and has no open streams."""
        if self.draining and not self.streams:
            self.close()

    def close(self) -> None:
        """Close the connection immediately, and cancel its requests."""
        if not self.closed:
            self.flush()
            self.closed = True
            if self.transport is not None:
                self.transport.close()
            self.cancel_streams()

    def cancel_streams(self) -> None:
        """Cancel all requests of the connection, and remove it from the registry."""
        self.registry.discard(self)
        self.memory.release()
        for stream in list(self.streams.values()):
            stream.cancel()
        self.streams.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests that are left, as the socket is closed."""
        self.closed = True
        self.transport = None
        self.cancel_streams()

    def sweep(self, now: int) -> None:
        """Drain an idle connection, and reset streams whose client neither reads nor sends."""
        if not self.streams and now - self.last_received_us > IDLE_TIMEOUT_S * 1e6:
            self.drain()
        for stream in list(self.streams.values()):
            if stream.is_stalled(now, STALL_TIMEOUT_S * 1e6):
                self.reset(stream)
        self.flush()

    def reset(self, stream: DownstreamStream) -> None:
        """Reset a stream, and cancel its request."""
        with suppress(h2.exceptions.H2Error):
            self.h2.reset_stream(stream.id, h2.errors.ErrorCodes.CANCEL)
        self.discard(stream)
