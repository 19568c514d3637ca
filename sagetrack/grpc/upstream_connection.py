"""An HTTP/2 connection to a gRPC server: streams, flow control, GOAWAY, keep-alive pings and closing.

The way in which a stream ends determines whether its request may have run: see `outcomes` and
docs/protocol-2.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from h2.connection import ConnectionState

from sagetrack.core.clock import now_us
from sagetrack.grpc import outcomes
from sagetrack.grpc.attempt_streams import AttemptStreams
from sagetrack.grpc.flood_guard import FloodGuard
from sagetrack.grpc.http2_protocol import MAX_HEADER_LIST_BYTES, Http2Protocol
from sagetrack.grpc.liveness import Liveness
from sagetrack.grpc.request_writer import write_request
from sagetrack.grpc.translate import with_remaining_timeout
from sagetrack.grpc.upstream_attempt import GrpcAttempt
from sagetrack.policy.events import Outcome

MAX_STREAMS = 100  # concurrent streams on a connection, even if the server's SETTINGS allow more
STREAM_WINDOW_BYTES = 64 * 1024  # flow-control window of a stream: unread bytes that the server may send
CONNECTION_WINDOW_BYTES = 4 * 1024 * 1024  # added to the connection's initial flow-control window
PING_PAYLOAD = b"sagetrk2"  # RFC 9113, section 6.7 requires eight bytes
LAST_STREAM_ID = 2**31 - 1  # the highest stream id that HTTP/2 allows (RFC 9113, section 5.1.1)


@dataclass(slots=True)
class UpstreamCounts:
    """Counters over all upstream connections since the start of the process."""

    opened_connections: int = 0
    opened_streams: int = 0
    refused_streams: int = 0
    goaways: int = 0
    reset_streams: int = 0
    broken_connections: int = 0  # connections that closed while streams were open
    untranslatable_requests: int = 0


class GrpcUpstreamConnection(Http2Protocol, asyncio.Protocol):
    """A connection that multiplexes attempts; each attempt has its own stream.

    Args:
        counts: Counters that the connection increments.
        on_closed: Called once, when the connection closes or cannot be established.
    """

    def __init__(self, counts: UpstreamCounts, on_closed: Callable[[GrpcUpstreamConnection], None]) -> None:
        codes = h2.settings.SettingCodes
        settings: dict[h2.settings.SettingCodes, int] = {
            codes.ENABLE_PUSH: 0,
            codes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
            codes.INITIAL_WINDOW_SIZE: STREAM_WINDOW_BYTES,
        }
        super().__init__(True, settings)
        self.counts = counts
        self.on_closed = on_closed
        self.attempts = AttemptStreams()
        self.draining = False  # no new streams are opened
        self.closed = False
        created_us = now_us()
        self.liveness = Liveness(created_us)
        self.flood_guard = FloodGuard(created_us)

    @property
    def capacity(self) -> int:
        """The number of streams that may be opened now."""
        if self.draining or self.closed:
            return 0
        limit = MAX_STREAMS if self.transport is None else self.h2.remote_settings.max_concurrent_streams
        return min(MAX_STREAMS, limit) - len(self.attempts)

    @property
    def is_idle(self) -> bool:
        """True if the connection carries no attempts."""
        return not self.attempts

    # Sending

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the connection preface, and open the streams of the waiting attempts."""
        self.transport = cast(asyncio.Transport, transport)
        ssl_object = transport.get_extra_info("ssl_object")
        if ssl_object is not None and ssl_object.selected_alpn_protocol() != "h2":
            self.close(None)
            return
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_BYTES)
        while (attempt := self.attempts.next_waiting()) is not None:
            if not attempt.ended:
                self.open_stream(attempt)
        self.flush()

    def send(self, attempt: GrpcAttempt) -> None:
        """Send an attempt, now or as soon as the connection is established."""
        attempt.set_connection(self)
        if self.transport is None:
            self.attempts.add_waiting(attempt)
        else:
            self.open_stream(attempt)
            self.flush()

    def open_stream(self, attempt: GrpcAttempt) -> None:
        """Send the headers of an attempt; if nothing may be sent, it ends with `Outcome.NOT_SENT`."""
        if self.draining or not attempt.may_start():
            attempt.finish(Outcome.NOT_SENT)
            return
        try:
            stream_id = self.h2.get_next_available_stream_id()
            attempt.observer.on_first_byte()
            self.h2.send_headers(stream_id, with_remaining_timeout(attempt.headers, attempt.remaining_us))
        except h2.exceptions.H2Error:  # too many streams, or no stream ids left; nothing was sent
            self.draining = True
            attempt.finish(Outcome.NOT_SENT)
            return
        attempt.on_headers_sent(stream_id)
        self.attempts.add(attempt)
        self.counts.opened_streams += 1
        streamed_body = attempt.request.streamed_body
        if streamed_body is not None:
            streamed_body.on_data = lambda: self.send_and_flush(attempt)
        self.send_pending(attempt)

    def send_and_flush(self, attempt: GrpcAttempt) -> None:
        """Send the part of a streamed request body that has arrived, and flush it."""
        self.send_pending(attempt)
        self.flush()

    def send_pending(self, attempt: GrpcAttempt) -> None:
        """Send as much of a request as flow control allows, and END_STREAM after the last message."""
        if attempt.ended or attempt.request_sent or not attempt.headers_sent or self.closed:
            return
        if write_request(self, attempt):
            self.flush()
            attempt.observer.on_request_sent()

    def send_all_pending(self) -> None:
        """Send as much as flow control allows on each stream."""
        for attempt in self.attempts.on_open_streams():
            self.send_pending(attempt)
        self.flush()

    # Receiving

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to `h2`, and handle the resulting events."""
        self.liveness.on_received(now_us())
        self.flush()
        state = self.h2.state_machine.state
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.flush()  # `h2` has queued a GOAWAY frame with the error code
            self.close(None)
            return
        for event in events:
            if self.closed:
                return
            if isinstance(event, h2.events.ConnectionTerminated):
                # On GOAWAY, `h2` marks the connection as closed, although streams up to the last id continue.
                if not event.error_code and state is not ConnectionState.CLOSED:
                    self.h2.state_machine.state = state
                self.on_goaway(event)
            else:
                self.on_event(event)
        self.flush()
        self.close_if_drained()

    def on_event(self, event: h2.events.Event) -> None:
        """Handle one event of `h2`, other than GOAWAY."""
        match event:
            case h2.events.DataReceived():
                self.on_data(event)
            case h2.events.ResponseReceived() | h2.events.TrailersReceived():
                self.on_headers(event)
            case h2.events.StreamEnded():
                attempt = self.attempts.get(event.stream_id)
                if attempt is not None:
                    attempt.finish_response()
            case h2.events.StreamReset():
                self.on_reset(event)
            case h2.events.WindowUpdated():
                self.send_all_pending()
            case h2.events.RemoteSettingsChanged():
                self.count_control_frame()
                self.send_all_pending()
            case h2.events.PingReceived():
                self.count_control_frame()
            case h2.events.PingAckReceived():
                self.liveness.on_ping_ack()

    def count_control_frame(self) -> None:
        """Count a frame that carries no response; close the connection if there are too many (flood)."""
        if self.flood_guard.record(now_us(), control_frames=1):
            self.close(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)

    def on_data(self, event: h2.events.DataReceived) -> None:
        """Handle DATA; on a stream whose attempt has ended, it only counts for flow control."""
        stream_id = event.stream_id or 0
        attempt = self.attempts.get(stream_id)
        size = event.flow_controlled_length or 0
        if not event.data:
            self.count_control_frame()
        if attempt is None:
            self.acknowledge_data(size, stream_id)
        else:
            self.on_response_data(attempt, event.data or b"", size)

    def on_response_data(self, attempt: GrpcAttempt, data: bytes, size: int) -> None:
        """Process a part of a response; `size` is its flow-controlled length, padding included."""
        if not attempt.receive(data):
            self.abort_attempt(attempt, Outcome.ERROR)
            return
        self.acknowledge(attempt, size)
        if attempt.response_reader.exceeds_limit:
            self.abort_attempt(attempt, Outcome.ERROR)
        elif attempt.should_stream:
            if attempt.request_sent:
                attempt.start_streaming()
            else:
                self.abort_attempt(attempt, Outcome.ERROR)  # a response before the request is complete

    def acknowledge(self, attempt: GrpcAttempt, size: int) -> None:
        """Extend the flow-control windows for received bytes.

        While the client reads nothing, only the connection's window is extended: the stream's window runs
        out, and the other streams continue.
        """
        if not attempt.paused:
            self.acknowledge_data(size, attempt.stream_id)
        elif size:
            attempt.withheld.add(size)
            self.h2.increment_flow_control_window(size)
        self.flush()

    def reopen_window(self, attempt: GrpcAttempt) -> None:
        """Extend a stream's window by the bytes that were withheld while its client read nothing."""
        if self.open_stream_window(attempt.withheld.take(), attempt.stream_id):
            self.flush()

    def on_headers(self, event: h2.events.ResponseReceived | h2.events.TrailersReceived) -> None:
        """Handle the headers or trailers of a response."""
        attempt = self.attempts.get(event.stream_id)
        if attempt is not None:
            attempt.response_reader.add_headers(
                (str(name), str(value)) for name, value in event.headers or ()
            )

    def on_reset(self, event: h2.events.StreamReset) -> None:
        """Handle RST_STREAM from the server."""
        attempt = self.attempts.get(event.stream_id)
        code = int(event.error_code or 0)
        self.counts.reset_streams += 1
        self.count_control_frame()
        if attempt is not None:
            self.counts.refused_streams += code == outcomes.Http2ErrorCode.REFUSED_STREAM
            attempt.finish(outcomes.of_reset(code, attempt.request_sent))

    def on_goaway(self, event: h2.events.ConnectionTerminated) -> None:
        """Handle GOAWAY: streams above its last id were not run; others continue, unless it has an error."""
        self.counts.goaways += 1
        self.draining = True
        last_stream_id = event.last_stream_id if event.last_stream_id is not None else LAST_STREAM_ID
        for attempt in self.attempts.on_open_streams():
            outcome = outcomes.of_goaway(attempt.stream_id, last_stream_id)
            if outcome is not None:
                attempt.finish(outcome)
        if event.error_code:
            self.close(None)

    # Closing

    def discard(self, attempt: GrpcAttempt) -> None:
        """Remove an attempt that has ended."""
        self.attempts.discard(attempt)
        if self.is_idle:
            self.liveness.on_idle(now_us())

    def abort_attempt(self, attempt: GrpcAttempt, outcome: Outcome) -> None:
        """Reset one stream and end its attempt; other streams are not affected."""
        self.reset_stream(attempt)
        attempt.finish(outcome)

    def reset_stream(self, attempt: GrpcAttempt) -> None:
        """Send RST_STREAM with CANCEL, if the stream was opened."""
        if attempt.headers_sent and not self.closed:
            try:
                self.h2.reset_stream(attempt.stream_id, h2.errors.ErrorCodes.CANCEL)
            except h2.exceptions.H2Error:
                return
            self.flush()

    def drain(self) -> None:
        """Open no new streams, and close the connection when the open ones have ended."""
        self.draining = True
        self.close_if_drained()

    def close_if_drained(self) -> None:
        """Close the connection if it is draining and carries no attempts."""
        if self.draining and self.is_idle and not self.closed:
            self.close(h2.errors.ErrorCodes.NO_ERROR)

    def close(self, error: h2.errors.ErrorCodes | None) -> None:
        """Close the connection and end its attempts; sends GOAWAY if an error code is given."""
        if self.closed:
            return
        if error is not None and self.transport is not None:
            with suppress(h2.exceptions.H2Error):
                self.h2.close_connection(error)
                self.flush()
        self.closed = True
        self.draining = True
        self.counts.broken_connections += bool(self.attempts.open_count)
        self.on_closed(self)
        if self.transport is not None:
            self.transport.close()
        for attempt in self.attempts.all():
            attempt.finish(outcomes.of_loss(attempt.headers_sent))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempts that are left, as the socket is closed."""
        self.close(None)
        self.transport = None

    def sweep(self, now: int) -> None:
        """Check the maximum age, the idle timeout, keep-alive pings and stalled streams."""
        if self.liveness.should_drain(now, self.is_idle):
            self.draining = True
        if self.liveness.ping_timed_out(now):
            self.close(h2.errors.ErrorCodes.NO_ERROR)
        elif self.attempts.open_count and self.liveness.ping_due(now):
            self.liveness.on_ping_sent(now)
            self.h2.ping(PING_PAYLOAD)
            self.flush()
        for attempt in self.attempts.on_open_streams():
            if attempt.is_stalled(now):
                self.abort_attempt(attempt, outcomes.of_deadline(attempt.headers_sent))
        self.close_if_drained()
