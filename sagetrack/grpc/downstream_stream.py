"""A stream of a gRPC client: the request as it is received, and the response as it is sent."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from sagetrack.core.bodies import StreamedBody
from sagetrack.core.body_length import BodyLengthCheck
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.requests import Request, ResponseSource
from sagetrack.core.responses import Response
from sagetrack.grpc.calls_pb2 import Answer
from sagetrack.grpc.http2_protocol import FIELD_BYTES, STREAM_BYTES
from sagetrack.grpc.messages import Unpacker, pack
from sagetrack.grpc.outcomes import StatusCode
from sagetrack.grpc.translate import rejection_trailers, response_to_grpc
from sagetrack.grpc.withheld_bytes import WithheldBytes

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a longer request body is streamed, and cannot be retried
MAX_REQUEST_MESSAGE_BYTES = MAX_BUFFERED_BODY_BYTES + 32 * 1024  # limit of a request message: body and fields


@dataclass(slots=True)
class DownstreamCounts:
    """Counters over all downstream connections since the start of the process."""

    connections: int = 0
    requests: int = 0
    invalid_requests: int = 0
    closed_for_violations: int = 0  # connections closed for protocol errors or floods of frames


class StreamConnection(Protocol):
    """The interface of its connection that a stream uses."""

    @property
    def memory_budget(self) -> MemoryBudget:
        """The memory budget of the process."""

    def send_pending(self, stream: DownstreamStream) -> None:
        """Send as much of the stream's response as flow control allows."""

    def reopen_window(self, stream: DownstreamStream) -> None:
        """Extend the stream's flow-control window, so that the client can send more of the body."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""


@dataclass(slots=True, eq=False)
class DownstreamStream:
    """A request, and its response, which the stream receives as the `Client` of the request."""

    gateway: Gateway
    counts: DownstreamCounts
    connection: StreamConnection
    id: int
    headers: list[tuple[str, str]]
    unpacker: Unpacker = field(default_factory=lambda: Unpacker(MAX_REQUEST_MESSAGE_BYTES))
    messages: list[bytes] = field(default_factory=list)  # received messages until the request is submitted
    buffered_bytes: int = 0  # total size of `messages`
    streamed_body: StreamedBody | None = None  # set if the body is too long to be buffered
    body_length: BodyLengthCheck = field(default_factory=lambda: BodyLengthCheck(None))  # of that body
    withheld: WithheldBytes = field(default_factory=WithheldBytes)
    request: Request | None = None
    pending: bytearray = field(default_factory=bytearray)  # gRPC messages, framed, that are not sent yet
    trailers: list[tuple[str, str]] | None = None
    source: ResponseSource | None = None
    source_paused: bool = False
    headers_sent: bool = False
    closed: bool = False
    last_progress_us: int = 0
    sent_bytes: int = 0  # of the response, so far
    header_bytes: int = 0

    # Receiving the request

    def __post_init__(self) -> None:
        """Estimate the memory of the headers."""
        self.header_bytes = sum(len(name) + len(value) + FIELD_BYTES for name, value in self.headers)

    @property
    def held_bytes(self) -> int:
        """Estimated memory of the stream, without a streamed body, which counts by itself."""
        return STREAM_BYTES + self.unsubmitted_bytes + len(self.pending)

    @property
    def unsubmitted_bytes(self) -> int:
        """Memory of the part of the request that the gateway has not been given."""
        return self.header_bytes + self.buffered_bytes + self.unpacker.incomplete_bytes

    @property
    def awaits_submission(self) -> bool:
        """True if the gateway has not been given the request yet, as it is incomplete."""
        return not self.is_finished and self.request is None

    @property
    def is_finished(self) -> bool:
        """True if the response is complete; data of the request that still arrives is ignored."""
        return self.trailers is not None

    def record_progress(self) -> None:
        """Record that the client has just sent or read data."""
        self.last_progress_us = now_us()

    def buffer_message(self, message: bytes) -> None:
        """Buffer a message until the request is submitted to the gateway."""
        self.messages.append(message)
        self.buffered_bytes += len(message)

    def start_streaming_body(self, length: int | None, memory_budget: MemoryBudget) -> StreamedBody:
        """Start to stream the body; the client's window is extended as the body is consumed."""
        body = StreamedBody(length, memory_budget)
        self.streamed_body = body
        self.body_length = BodyLengthCheck(length)
        body.on_capacity = lambda: self.connection.reopen_window(self)
        return body

    def submit(self, request: Request) -> bool:
        """Submit the request to the gateway; returns False if its id is in use."""
        self.messages.clear()
        self.headers.clear()
        self.buffered_bytes = self.header_bytes = 0
        self.request = request
        request.has_disconnected = self.connection.has_disconnected
        self.record_progress()
        if self.gateway.submit(request):
            return True
        self.request = None
        return False

    @property
    def withholds_window(self) -> bool:
        """True if the stream's flow-control window is not extended, as the body's buffer is full."""
        return self.streamed_body is not None and self.streamed_body.is_full

    # Interface `Client`: the gateway delivers the response

    def on_response(self, request: Request, response: Any) -> None:
        """Send a complete response."""
        complete_response: Response = response
        self.pending += pack(response_to_grpc(complete_response.headers, complete_response.body))
        self.finish([("grpc-status", "0")])

    def on_response_started(self, request: Request, head: Any, source: ResponseSource) -> None:
        """Send the head of a streamed response."""
        response: Response = head
        first_message = Answer.FromString(response_to_grpc(response.headers, b""))
        if response.length is not None:
            first_message.length = response.length
        self.source = source
        self.send(pack(first_message.SerializeToString()))

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Send a part of the body of a streamed response."""
        self.send(pack(Answer(body=data).SerializeToString()))

    def on_response_ended(self, request: Request, response: Any) -> None:
        """Send the last part of a streamed response, and end it."""
        self.source = None
        if response.body:
            self.pending += pack(Answer(body=response.body).SerializeToString())
        self.finish([("grpc-status", "0")])

    def on_response_aborted(self, request: Request) -> None:
        """End a streamed response that is incomplete with status DATA_LOSS."""
        self.source = None
        self.finish(
            [
                ("grpc-status", str(int(StatusCode.DATA_LOSS))),
                ("grpc-message", "the answer broke off"),
            ]
        )

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """Respond that the request is rejected, and was not run."""
        self.finish(rejection_trailers(retry_after_us))

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Respond with DEADLINE_EXCEEDED if the request timed out, or else INTERNAL."""
        status = StatusCode.DEADLINE_EXCEEDED if timed_out else StatusCode.INTERNAL
        self.finish([("grpc-status", str(int(status)))])

    # Sending

    @property
    def max_pending_bytes(self) -> int:
        """Unsent bytes above which the server is paused; fewer while memory is short."""
        return 2 * self.connection.memory_budget.stream_buffer_bytes

    def send(self, data: bytes) -> None:
        """Send framed messages; the source is paused while too many bytes are unsent."""
        self.pending += data
        self.connection.send_pending(self)
        if self.source is not None and not self.source_paused and len(self.pending) > self.max_pending_bytes:
            self.source_paused = True
            self.source.pause()

    @property
    def is_trailers_only(self) -> bool:
        """True if the response is complete without a message, and is sent as one block of headers."""
        return self.trailers is not None and not self.headers_sent and not self.pending

    @property
    def needs_headers(self) -> bool:
        """True if the response headers must be sent now, before the first message."""
        return bool(self.pending) and not self.headers_sent

    def on_headers_sent(self) -> None:
        """Record that the response headers are sent."""
        self.headers_sent = True

    def on_data_sent(self, size: int) -> None:
        """Remove the first `size` pending bytes, which are sent."""
        self.sent_bytes += min(size, len(self.pending))
        del self.pending[:size]
        self.record_progress()

    def on_trailers_sent(self) -> None:
        """Record that the complete response is sent."""
        self.closed = True

    def resume_source(self) -> None:
        """Resume the source when the unsent bytes have fallen to half of the limit."""
        may_resume = len(self.pending) < self.max_pending_bytes // 2
        if self.source_paused and self.source is not None and may_resume:
            self.source_paused = False
            self.source.resume()

    def finish(self, trailers: list[tuple[str, str]]) -> None:
        """End the response; if called more than once, the first trailers are sent."""
        self.request = None
        if self.streamed_body is not None:
            self.streamed_body.abort()  # the rest of the body is not needed
        if self.trailers is None:
            self.trailers = trailers
            self.connection.send_pending(self)

    def respond_with_error(self, status: int, reason: str) -> None:
        """Respond to an invalid request; `reason` is sent percent-encoded as `grpc-message`."""
        self.counts.invalid_requests += 1
        encoded = "".join(c if 32 <= ord(c) < 127 and c != "%" else f"%{ord(c) & 255:02X}" for c in reason)
        self.finish([("grpc-status", str(int(status))), ("grpc-message", encoded)])

    def abort(self, status: int, reason: str) -> None:
        """Respond to a request whose body turns out to be invalid, and cancel its attempts."""
        request = self.request
        self.respond_with_error(status, reason)
        if request is not None:
            self.gateway.cancel_request(request.id)

    def cancel(self) -> None:
        """Cancel the request, because the stream was reset or its connection closed."""
        self.closed = True
        request = self.request
        self.request = None
        if self.streamed_body is not None:
            self.streamed_body.abort()
        if request is not None:
            self.gateway.cancel_request(request.id)

    def is_stalled(self, now: int, timeout_us: float) -> bool:
        """Return whether the client has neither read pending data nor sent expected data for too long."""
        streamed_body = self.streamed_body
        sends_body = streamed_body is not None and not streamed_body.is_finished and not streamed_body.is_full
        awaits_client = self.pending or self.request is None or sends_body
        return bool(awaits_client) and now - self.last_progress_us > timeout_us
