"""One request of a client on a stream: what has come of it, and its response on the way out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from sagetrack.core.bodies import BodyMemoryBudget, StreamedBody
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.requests import Request, ResponseSource
from sagetrack.core.responses import Response
from sagetrack.grpc.calls_pb2 import Answer
from sagetrack.grpc.messages import Unpacker, pack
from sagetrack.grpc.outcomes import Status
from sagetrack.grpc.translate import rejection_trailers, response_to_grpc
from sagetrack.grpc.withheld_bytes import WithheldBytes

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a longer request body is streamed, and cannot be sent again
MAX_MESSAGE_BYTES = MAX_BUFFERED_BODY_BYTES + 32 * 1024  # of a request: the body and its fields
MAX_PENDING_RESPONSE_BYTES = 128 * 1024  # that wait for a client before its server is paused


@dataclass(slots=True)
class DownstreamCounts:
    """Totals since the start."""

    connections: int = 0
    calls: int = 0
    unreadable: int = 0
    closed_for_flooding: int = 0  # connections that were closed for what they sent


class StreamConnection(Protocol):
    """What a stream asks of the connection that carries it."""

    def send_pending(self, stream: DownstreamStream) -> None:
        """Send what flow control allows of the stream's response."""

    def reopen_window(self, stream: DownstreamStream) -> None:
        """Let the client send more of the stream's body."""

    def has_disconnected(self) -> bool:
        """Whether the client has closed the connection."""


@dataclass(slots=True, eq=False)
class DownstreamStream:
    """One request and, as the `Client` of its request, its response."""

    gateway: Gateway
    counts: DownstreamCounts
    connection: StreamConnection
    id: int
    headers: list[tuple[str, str]]
    unpacker: Unpacker = field(default_factory=lambda: Unpacker(MAX_MESSAGE_BYTES))
    messages: list[bytes] = field(default_factory=list)  # until the request is handed to the gateway
    buffered_bytes: int = 0  # of them
    streamed_body: StreamedBody | None = None  # the body, once it is too long to be buffered
    withheld: WithheldBytes = field(default_factory=WithheldBytes)
    request: Request | None = None
    pending: bytearray = field(default_factory=bytearray)  # framed messages that are still to be sent
    trailers: list[tuple[str, str]] | None = None
    source: ResponseSource | None = None
    source_paused: bool = False
    headers_sent: bool = False
    closed: bool = False
    last_progress_us: int = 0

    # The request, as it arrives

    @property
    def is_answered(self) -> bool:
        """Whether the response has its trailers; what still comes of the request is ignored."""
        return self.trailers is not None

    def record_progress(self) -> None:
        """The client has sent or taken something just now."""
        self.last_progress_us = now_us()

    def buffer_message(self, message: bytes) -> None:
        """Keep a message until the request is handed to the gateway."""
        self.messages.append(message)
        self.buffered_bytes += len(message)

    def start_body(self, length: int | None, body_budget: BodyMemoryBudget) -> StreamedBody:
        """Stream the body from here on; the client's window is opened again as the body is taken."""
        body = StreamedBody(length, body_budget)
        self.streamed_body = body
        body.on_capacity = lambda: self.connection.reopen_window(self)
        return body

    def submit(self, request: Request) -> bool:
        """Hand the request to the gateway; False if its id is in use."""
        self.messages.clear()
        self.request = request
        request.has_disconnected = self.connection.has_disconnected
        self.record_progress()
        if self.gateway.submit(request):
            return True
        self.request = None
        return False

    @property
    def withholds_window(self) -> bool:
        """Whether the stream's flow-control window stays closed, as the buffer of its body is full."""
        return self.streamed_body is not None and self.streamed_body.is_full

    # The response, as the gateway gives it

    def on_response(self, request: Request, answer: Any) -> None:
        """Complete response."""
        reply: Response = answer
        self.pending += pack(response_to_grpc(reply.headers, reply.body))
        self.finish([("grpc-status", "0")])

    def on_response_started(self, request: Request, head: Any, source: ResponseSource) -> None:
        """Head of a streamed response."""
        reply: Response = head
        first = Answer.FromString(response_to_grpc(reply.headers, b""))
        if reply.length is not None:
            first.length = reply.length
        self.source = source
        self.send(pack(first.SerializeToString()))

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Part of a streamed response's body."""
        self.send(pack(Answer(body=data).SerializeToString()))

    def on_response_ended(self, request: Request, answer: Any) -> None:
        """End of a streamed response."""
        self.source = None
        if answer.body:
            self.pending += pack(Answer(body=answer.body).SerializeToString())
        self.finish([("grpc-status", "0")])

    def on_response_aborted(self, request: Request) -> None:
        """A streamed response broke off."""
        self.source = None
        self.finish([("grpc-status", str(int(Status.DATA_LOSS))), ("grpc-message", "the answer broke off")])

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """The request is rejected and never ran."""
        self.finish(rejection_trailers(retry_after_us))

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """The request failed, or its deadline has passed."""
        status = Status.DEADLINE_EXCEEDED if timed_out else Status.INTERNAL
        self.finish([("grpc-status", str(int(status)))])

    # Sending

    def send(self, data: bytes) -> None:
        """Send framed messages; the source is paused while too much waits for the client."""
        self.pending += data
        self.connection.send_pending(self)
        if (
            self.source is not None
            and not self.source_paused
            and len(self.pending) > MAX_PENDING_RESPONSE_BYTES
        ):
            self.source_paused = True
            self.source.pause()

    @property
    def is_trailers_only(self) -> bool:
        """Whether the response is complete and has no message, so that it is a single block of headers."""
        return self.trailers is not None and not self.headers_sent and not self.pending

    @property
    def needs_headers(self) -> bool:
        """Whether the response's headers are to be sent before its first message."""
        return bool(self.pending) and not self.headers_sent

    def on_headers_sent(self) -> None:
        """The response's headers are sent, and its messages follow."""
        self.headers_sent = True

    def on_data_sent(self, size: int) -> None:
        """The first `size` pending bytes are sent."""
        del self.pending[:size]
        self.record_progress()

    def on_trailers_sent(self) -> None:
        """The response is sent to its end."""
        self.closed = True

    def resume_source(self) -> None:
        """Let the source go on once half of what may wait has been sent."""
        may_resume = len(self.pending) < MAX_PENDING_RESPONSE_BYTES // 2
        if self.source_paused and self.source is not None and may_resume:
            self.source_paused = False
            self.source.resume()

    def finish(self, trailers: list[tuple[str, str]]) -> None:
        """End the response; only the first trailers count."""
        self.request = None
        if self.streamed_body is not None:
            self.streamed_body.abort()  # nobody takes the rest of the body
        if self.trailers is None:
            self.trailers = trailers
            self.connection.send_pending(self)

    def answer_error(self, status: int, reason: str) -> None:
        """Answer a request that cannot be handed to the gateway; `reason` is percent-encoded."""
        self.counts.unreadable += 1
        encoded = "".join(c if 32 <= ord(c) < 127 and c != "%" else f"%{ord(c) & 255:02X}" for c in reason)
        self.finish([("grpc-status", str(int(status))), ("grpc-message", encoded)])

    def abort(self, status: int, reason: str) -> None:
        """Answer a request whose body is not what it should be, and cancel its attempts."""
        request = self.request
        self.answer_error(status, reason)
        if request is not None:
            self.gateway.cancel_request(request.id)

    def drop(self) -> None:
        """Cancel the request: the client has gone or has reset the stream."""
        self.closed = True
        request = self.request
        self.request = None
        if self.streamed_body is not None:
            self.streamed_body.abort()
        if request is not None:
            self.gateway.cancel_request(request.id)

    def is_stalled(self, now: int, timeout_us: float) -> bool:
        """Whether the client neither reads its response nor sends the body it still owes."""
        streamed_body = self.streamed_body
        sends_body = streamed_body is not None and not streamed_body.is_finished and not streamed_body.is_full
        awaits_client = self.pending or self.request is None or sends_body
        return bool(awaits_client) and now - self.last_progress_us > timeout_us
