"""One attempt to send a request to a gRPC upstream server."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from sagetrack.core.bodies import BODY_STALL_TIMEOUT_S, do_nothing
from sagetrack.core.clock import now_us
from sagetrack.core.interfaces import AttemptObserver
from sagetrack.core.requests import Request
from sagetrack.core.responses import Response
from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.grpc.errors import MessageError, TranslationError
from sagetrack.grpc.messages import pack
from sagetrack.grpc.response_reader import ResponseReader
from sagetrack.grpc.translate import request_body_message
from sagetrack.grpc.withheld_bytes import WithheldBytes
from sagetrack.policy.events import Outcome


class AttemptConnection(Protocol):
    """The methods of its connection that an attempt calls."""

    def discard(self, attempt: GrpcAttempt) -> None:
        """Remove an attempt that has ended."""

    def reset_stream(self, attempt: GrpcAttempt) -> None:
        """Reset the attempt's stream, if it was opened."""

    def reopen_window(self, attempt: GrpcAttempt) -> None:
        """Extend the stream's flow-control window, so that the server can send again."""


@dataclass(slots=True, eq=False)
class GrpcAttempt:
    """An attempt, which ends with the first call of `finish`; that notifies the observer."""

    upstream: UpstreamServerRecord
    request: Request
    observer: AttemptObserver
    started_us: int
    timeout_us: int
    headers: list[tuple[str, str]]
    pending: deque[bytes]  # gRPC messages, framed, that are not sent yet
    latency_us: int = 0
    connection: AttemptConnection | None = None
    stream_id: int = 0
    headers_sent: bool = False  # once True, the server may have started to process the request
    request_sent: bool = False  # True once END_STREAM is sent
    ended: bool = False
    streaming: bool = False  # True if the response is forwarded to the client as it arrives
    paused: bool = False  # True while the client does not read
    last_progress_us: int = 0
    response_reader: ResponseReader = field(default_factory=ResponseReader)
    withheld: WithheldBytes = field(default_factory=WithheldBytes)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)

    @property
    def server(self) -> int:
        """The id of the server."""
        return self.upstream.id

    @property
    def remaining_us(self) -> int:
        """The remaining timeout; the full timeout while the client is still sending the request body."""
        if self.request.streamed_body is not None and not self.request.streamed_body.is_complete:
            return self.timeout_us
        return self.timeout_us - (now_us() - self.started_us)

    def may_start(self) -> bool:
        """Return whether the request may be sent now; called immediately before its first byte.

        If the server is listed as draining or gone, the observer applies the send rules.
        """
        return self.observer.may_begin(self.upstream.state)

    def set_connection(self, connection: AttemptConnection) -> None:
        """Set the connection that carries the attempt."""
        self.connection = connection

    def add_timer(self, timer: asyncio.TimerHandle) -> None:
        """Add a timer to be cancelled when the attempt ends or its response starts to be streamed."""
        self.timers.append(timer)

    def on_headers_sent(self, stream_id: int) -> None:
        """Record that the headers are sent on a stream; from now on the server may run the request."""
        self.stream_id = stream_id
        self.headers_sent = True

    def on_data_sent(self) -> None:
        """Record progress: a part of the request has been sent."""
        self.last_progress_us = now_us()

    def on_request_sent(self) -> None:
        """Record that the complete request has been sent."""
        self.request_sent = True

    def load_pending(self) -> bool:
        """Load the next chunk of a streamed body if nothing is pending; False if nothing can be sent."""
        streamed_body = self.request.streamed_body
        if not self.pending and streamed_body is not None and streamed_body.chunks:
            self.pending.append(pack(request_body_message(streamed_body.take())))
        return bool(self.pending)

    def take_pending(self, limit: int) -> bytes:
        """Remove and return the next bytes to send, at most `limit`."""
        data = self.pending.popleft()
        if len(data) > limit:
            self.pending.appendleft(data[limit:])
            data = data[:limit]
        return data

    @property
    def all_sent(self) -> bool:
        """True if all of the request has been sent, and no more of its body will arrive."""
        streamed_body = self.request.streamed_body
        return not self.pending and (
            streamed_body is None or (streamed_body.is_complete and not streamed_body.chunks)
        )

    def start_streaming(self) -> None:
        """Forward the response as it arrives from now on, starting with the buffered part."""
        head = self.response_reader.head
        assert head is not None
        self.streaming = True
        self.latency_us = now_us() - self.started_us
        for timer in self.timers:
            timer.cancel()
        head_with_length = Response(200, head.headers, b"", True, self.response_reader.announced_length)
        self.observer.on_response_started(self, head_with_length, self)
        body = self.response_reader.take_buffered()
        if not self.ended:
            self.observer.on_response_data(self, body)

    def receive(self, data: bytes) -> bool:
        """Buffer or forward a part of the response; returns False if it is malformed."""
        if self.streaming:
            self.observer.on_response_progress(len(data))
        try:
            for chunk in self.response_reader.feed(data):
                if self.ended:
                    break
                if self.streaming:
                    self.observer.on_response_data(self, chunk)
                else:
                    self.response_reader.buffer(chunk)
        except (MessageError, TranslationError):
            return False
        return True

    def finish_response(self) -> None:
        """End the attempt with the complete response; it is an error if the request is not fully sent."""
        outcome = self.response_reader.outcome()
        if outcome is Outcome.OK and not self.request_sent:
            outcome = Outcome.ERROR
        response = self.response_reader.response() if outcome is Outcome.OK else None
        if not self.request_sent:
            self.cancel_stream()
        self.finish(outcome, response)

    @property
    def should_stream(self) -> bool:
        """True if streaming should start, as the response is too long to be buffered."""
        return not self.streaming and self.response_reader.exceeds_buffer

    def is_stalled(self, now: int) -> bool:
        """Return whether the server has taken nothing of a streamed request body for too long."""
        if self.request.streamed_body is None or self.request_sent:
            return False
        return now - self.last_progress_us > BODY_STALL_TIMEOUT_S * 1e6

    def pause(self) -> None:
        """Stop extending the stream's flow-control window, as the client reads nothing."""
        self.paused = True

    def resume(self) -> None:
        """Extend the stream's flow-control window again, as the client reads."""
        self.paused = False
        if self.connection is not None and self.withheld:
            self.connection.reopen_window(self)

    def cancel_stream(self) -> None:
        """Reset the stream, so that the server can stop processing the request."""
        if self.connection is not None:
            self.connection.reset_stream(self)

    def finish(self, outcome: Outcome, response: Response | None = None) -> None:
        """End the attempt and notify its observer; further calls have no effect."""
        if self.ended:
            return
        self.ended = True
        if not self.streaming:
            self.latency_us = now_us() - self.started_us
        for timer in self.timers:
            timer.cancel()
        if self.request.streamed_body is not None:
            self.request.streamed_body.on_data = do_nothing
            self.request.streamed_body.on_complete = do_nothing
        if self.connection is not None:
            self.connection.discard(self)
        self.observer.on_attempt_ended(self, outcome, response, None)
