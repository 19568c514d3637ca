"""The gRPC server side of an HTTP/2 connection; docs/protocol-2.md specifies the protocol.

It is used by tests and benchmarks that choose the response to each request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, cast

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from sagetrack.grpc.calls_pb2 import Answer, Call
from sagetrack.grpc.messages import Unpacker, goaway_frame, pack

RESPONSE_BODY = b"x" * 64
HEAD = [(":status", "200"), ("content-type", "application/grpc+proto")]
OK_TRAILERS = [("grpc-status", "0")]
MAX_HEADER_LIST_BYTES = 65_536


@dataclass(slots=True, eq=False)
class GrpcRequest:
    """One stream, with the data received so far and the data still to be sent."""

    stream_id: int
    headers: dict[str, str]
    unpacker: Unpacker = field(default_factory=Unpacker)
    messages: list[Call] = field(default_factory=list)
    outgoing: bytearray = field(default_factory=bytearray)
    trailers: list[tuple[str, str]] | None = None  # sent after all of `outgoing`
    is_closed: bool = False

    @property
    def body(self) -> bytes:
        """The request body received so far, from all messages."""
        return b"".join(message.body for message in self.messages)


class GrpcServerConnection(asyncio.Protocol):
    """The server side of one connection. Each complete request is passed to `on_request`.

    `max_streams` is the advertised limit of concurrent streams. If `acknowledges_data` is False, the
    flow-control windows are not replenished, so a long request stalls.
    """

    def __init__(
        self, on_request: Callable[[GrpcServerConnection, GrpcRequest], None], max_streams: int = 100
    ) -> None:
        self.on_request = on_request
        self.transport: asyncio.Transport | None = None
        config = h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
        self.h2 = h2.connection.H2Connection(config)
        self.max_streams = max_streams
        self.requests: dict[int, GrpcRequest] = {}  # open requests by stream ID
        self.highest_stream = 0
        self.on_reset: Callable[[GrpcRequest], None] = lambda request: None
        self.on_lost: Callable[[], None] = lambda: None
        self.acknowledges_data = True
        self.goaway_stream: int | None = None  # last stream accepted after GOAWAY; higher ones are ignored

    # Receiving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the server's connection preface, which contains its settings."""
        self.transport = cast(asyncio.Transport, transport)
        values = {
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: self.max_streams,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
        }
        self.h2.local_settings = h2.settings.Settings(client=False, initial_values=values)
        self.h2.initiate_connection()
        self.flush()

    def data_received(self, data: bytes) -> None:
        """Handle received data; close the connection on a protocol error."""
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.flush()
            self.close()
            return
        for event in events:
            self.on_event(event)
        self.flush()

    def on_event(self, event: h2.events.Event) -> None:
        """Handle one event of the HTTP/2 state machine."""
        stream_id = getattr(event, "stream_id", None) or 0
        request = self.requests.get(stream_id)
        match event:
            case h2.events.RequestReceived():
                self._on_head(event, stream_id)
            case h2.events.DataReceived():
                self._on_data(event, stream_id, request)
            case h2.events.StreamEnded() if request is not None:
                self.on_request(self, request)
            case h2.events.StreamReset() if request is not None:
                request.is_closed = True
                del self.requests[stream_id]
                self.on_reset(request)
            case h2.events.WindowUpdated():
                for waiting in list(self.requests.values()):
                    self.send_pending(waiting)
            case _:
                pass

    def _on_head(self, event: h2.events.RequestReceived, stream_id: int) -> None:
        if self.goaway_stream is not None and stream_id > self.goaway_stream:
            return  # the gateway sent it before it received the GOAWAY
        self.highest_stream = max(self.highest_stream, stream_id)
        headers = {str(name): str(value) for name, value in event.headers or ()}
        self.requests[stream_id] = GrpcRequest(stream_id, headers)

    def _on_data(self, event: h2.events.DataReceived, stream_id: int, request: GrpcRequest | None) -> None:
        if request is not None:
            request.messages += [Call.FromString(data) for data in request.unpacker.feed(event.data or b"")]
        if self.acknowledges_data:
            self.h2.acknowledge_received_data(event.flow_controlled_length or 0, stream_id)

    # Responding

    def flush(self) -> None:
        """Write the pending output of the HTTP/2 state machine to the transport."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.h2.data_to_send())

    def respond(
        self, request: GrpcRequest, fields: Any = (), body: bytes = RESPONSE_BODY, parts: int = 1
    ) -> None:
        """Send a complete response, with its body split into up to `parts` messages."""
        size = max(1, -(-len(body) // parts))
        pieces = [body[start : start + size] for start in range(0, len(body), size)] or [b""]
        first = Answer(fields=fields, body=pieces[0], length=len(body))
        request.outgoing += pack(first.SerializeToString())
        for piece in pieces[1:]:
            request.outgoing += pack(Answer(body=piece).SerializeToString())
        self.send_head(request)
        request.trailers = OK_TRAILERS
        self.send_pending(request)

    def send_part(self, request: GrpcRequest, part: Answer) -> None:
        """Send a message of a response whose head was sent, and which does not end with it."""
        request.outgoing += pack(part.SerializeToString())
        self.send_pending(request)

    def send_head(self, request: GrpcRequest) -> None:
        """Send the response headers unless the stream is closed."""
        if not request.is_closed:
            try:
                self.h2.send_headers(request.stream_id, HEAD)
            except h2.exceptions.H2Error:
                request.is_closed = True

    def send_pending(self, request: GrpcRequest) -> None:
        """Send as much of the response as the flow-control window allows, and the trailers after the end."""
        if request.is_closed:
            return
        try:
            while request.outgoing:
                window = self.h2.local_flow_control_window(request.stream_id)
                size = min(window, self.h2.max_outbound_frame_size)
                if size <= 0:
                    self.flush()
                    return
                self.h2.send_data(request.stream_id, bytes(request.outgoing[:size]))
                del request.outgoing[:size]
            if request.trailers is None:
                self.flush()
                return  # more of the response follows
            self.h2.send_headers(request.stream_id, request.trailers, end_stream=True)
        except h2.exceptions.H2Error:
            pass  # the gateway has reset the stream
        self.close_stream(request)

    def trailers_only(self, request: GrpcRequest, status: int, **metadata: str) -> None:
        """Send a response without messages. Underscores in metadata names become hyphens."""
        extra = [(name.replace("_", "-"), value) for name, value in metadata.items()]
        headers = [*HEAD, ("grpc-status", str(status)), *extra]
        with suppress(h2.exceptions.H2Error):
            self.h2.send_headers(request.stream_id, headers, end_stream=True)
        self.close_stream(request)

    def reset(self, request: GrpcRequest, code: int = h2.errors.ErrorCodes.INTERNAL_ERROR) -> None:
        """Reset a stream."""
        with suppress(h2.exceptions.H2Error):
            self.h2.reset_stream(request.stream_id, h2.errors.ErrorCodes(code))
        self.close_stream(request)

    def close_stream(self, request: GrpcRequest) -> None:
        """Mark a stream as closed and remove it from the open requests."""
        request.is_closed = True
        self.requests.pop(request.stream_id, None)
        self.flush()

    # Closing the connection

    def goaway(self, last: int | None = None) -> None:
        """Send GOAWAY (RFC 9113, section 6.8).

        Streams up to `last`, by default the highest one so far, continue; later ones are ignored.
        """
        last_stream = self.highest_stream if last is None else last
        self.goaway_stream = last_stream
        self.flush()
        if self.transport is not None:
            self.transport.write(goaway_frame(last_stream))
        for stream_id in [stream_id for stream_id in self.requests if stream_id > last_stream]:
            self.requests.pop(stream_id).is_closed = True

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report every open request as reset, then report the end of the connection."""
        self.transport = None
        for request in list(self.requests.values()):
            request.is_closed = True
            self.on_reset(request)
        self.requests.clear()
        self.on_lost()
