"""Converts the messages of a client's stream to a request of the gateway; long bodies are streamed."""

from __future__ import annotations

from collections.abc import Callable

from sagetrack.core.bodies import STREAMED_BODY_LIMIT, StreamedBody
from sagetrack.core.body_length import BodyLengthError
from sagetrack.core.gateway import Gateway
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.requests import Client, Request
from sagetrack.core.responses import Header
from sagetrack.grpc.downstream_stream import MAX_BUFFERED_BODY_BYTES, DownstreamCounts, DownstreamStream
from sagetrack.grpc.errors import MessageError, RequestReadError, TranslationError
from sagetrack.grpc.outcomes import StatusCode
from sagetrack.grpc.translate import request_body_chunk, request_to_http1, split_head

RequestBuilder = Callable[[str, bytes, list[Header], bytes, int, Client, StreamedBody | None], Request]
"""Creates a request from the method, target, headers, body, time budget in microseconds (0: the default of
the class), client, and the streamed body, if any. Raises RequestReadError if the request is invalid."""


class RequestIntake:
    """Validates the requests of all streams, and submits them to the gateway.

    Args:
        gateway: Handles the requests.
        request_builder: Creates a request of the gateway from its parts.
        memory_budget: Memory budget of the process.
    """

    def __init__(
        self, gateway: Gateway, request_builder: RequestBuilder, memory_budget: MemoryBudget
    ) -> None:
        self.gateway = gateway
        self.request_builder = request_builder
        self.memory_budget = memory_budget
        self.max_buffered_body = MAX_BUFFERED_BODY_BYTES
        self.counts = DownstreamCounts()

    def must_reject(self, stream: DownstreamStream) -> bool:
        """Return whether memory is too short for the part of a request that is not submitted yet."""
        return stream.awaits_submission and self.memory_budget.rejects_incomplete(stream.unsubmitted_bytes)

    def on_data(self, stream: DownstreamStream, data: bytes) -> None:
        """Handle DATA of a request; a body that exceeds the buffer limit is streamed from then on."""
        stream.record_progress()
        try:
            for message in stream.unpacker.feed(data):
                if stream.streamed_body is not None:
                    self.feed_body(stream, stream.streamed_body, message)
                else:
                    stream.buffer_message(message)
        except MessageError as error:
            stream.abort(StatusCode.RESOURCE_EXHAUSTED, str(error))
            return
        if stream.streamed_body is None and stream.buffered_bytes > self.max_buffered_body:
            self.submit(stream, streamed=True)

    def on_end(self, stream: DownstreamStream) -> None:
        """Handle END_STREAM from the client: the request is complete or has been truncated."""
        streamed_body = stream.streamed_body
        if streamed_body is None:
            self.submit(stream, streamed=False)
        elif stream.unpacker.incomplete_bytes or not stream.body_length.ends_with(b""):
            # The body is truncated, and must not look complete to the server.
            received = stream.body_length.received_bytes
            stream.abort(StatusCode.INVALID_ARGUMENT, f"a body that ends after {received} bytes")
        else:
            streamed_body.feed(stream.body_length.finish())
            streamed_body.complete()

    def feed_body(self, stream: DownstreamStream, streamed_body: StreamedBody, message: bytes) -> None:
        """Append the body part in a further message to a streamed body."""
        if streamed_body.discarding:
            return
        try:
            passed = stream.body_length.pass_on(request_body_chunk(message))
        except TranslationError as error:
            stream.abort(StatusCode.INVALID_ARGUMENT, str(error))
            return
        except BodyLengthError as error:
            stream.abort(StatusCode.RESOURCE_EXHAUSTED, str(error))
            return
        if stream.body_length.received_bytes > STREAMED_BODY_LIMIT:
            stream.abort(StatusCode.RESOURCE_EXHAUSTED, f"a body of over {STREAMED_BODY_LIMIT} bytes")
            return
        streamed_body.feed(passed)

    def submit(self, stream: DownstreamStream, streamed: bool) -> None:
        """Submit a request to the gateway; if `streamed`, its body is not complete yet."""
        self.counts.requests += 1
        content_type = dict(stream.headers).get("content-type", "")
        if not content_type.startswith("application/grpc"):
            stream.respond_with_error(
                StatusCode.INVALID_ARGUMENT, "content-type is not application/grpc+proto"
            )
            return
        if not stream.messages or (stream.unpacker.incomplete_bytes and not streamed):
            stream.respond_with_error(StatusCode.INVALID_ARGUMENT, "no whole message")
            return
        try:
            request = self.build_request(stream, streamed)
        except TranslationError as error:
            stream.respond_with_error(StatusCode.INVALID_ARGUMENT, str(error))
            return
        except RequestReadError as error:
            stream.respond_with_error(error.status, str(error))
            return
        if not stream.submit(request):
            stream.respond_with_error(StatusCode.ALREADY_EXISTS, "this x-call-id is in use")

    def build_request(self, stream: DownstreamStream, streamed: bool) -> Request:
        """Create a request from the buffered messages.

        Raises:
            TranslationError: The request cannot be translated to HTTP/1.1, or the body's length is not as
                announced or exceeds the limit.
            RequestReadError: The request is invalid, for example because it names an unknown class.
        """
        head, body, length, budget_us = request_to_http1(stream.headers, stream.messages[0])
        body += b"".join(request_body_chunk(message) for message in stream.messages[1:])
        if length is not None and (len(body) > length or (len(body) < length and not streamed)):
            raise TranslationError(f"a body of {len(body)} bytes that was to have {length}")
        if length is not None and length > STREAMED_BODY_LIMIT:
            raise TranslationError(f"a body of {length} bytes, over {STREAMED_BODY_LIMIT}")
        method, target, headers = split_head(head)
        if streamed:
            streamed_body = stream.start_streaming_body(length, self.memory_budget)
            streamed_body.feed(stream.body_length.pass_on(body))
            body = b""
        return self.request_builder(method, target, headers, body, budget_us, stream, stream.streamed_body)
