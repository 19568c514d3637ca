"""Reads a response from a stream: its messages and trailers, and the outcome that they determine."""

from __future__ import annotations

from collections.abc import Iterator

from sagetrack.core.bodies import STREAMED_BODY_LIMIT
from sagetrack.core.responses import Response
from sagetrack.grpc import outcomes
from sagetrack.grpc.messages import Unpacker
from sagetrack.grpc.translate import response_body_chunk, response_to_http1
from sagetrack.policy.events import Outcome

BUFFERED_RESPONSE_BYTES = 64 * 1024  # a longer response is streamed to the client
FRAMING_ALLOWANCE_BYTES = 64 * 1024  # added to the body limit, for message framing and header fields


class ResponseReader:
    """Decodes a response; the caller either buffers each part of the body or streams it."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_message_bytes",
        "_response_head",
        "_trailers",
        "_unpacker",
        "announced_length",
    )

    def __init__(self) -> None:
        self._unpacker = Unpacker()
        self._response_head: Response | None = None
        self._body = bytearray()
        self._body_bytes = 0
        self._message_bytes = 0
        self._trailers: dict[str, str] = {}
        self.announced_length: int | None = None  # body length, if the first message announces it

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Process received bytes, and yield the body part of each message that they complete.

        Raises:
            MessageError: The framing of a message is invalid.
            TranslationError: A message cannot be translated to HTTP/1.1.
        """
        self._message_bytes += len(data)
        for message in self._unpacker.feed(data):
            if self._response_head is None:
                self._response_head, self.announced_length = response_to_http1(message)
                chunk = self._response_head.body
            else:
                chunk = response_body_chunk(message)
            self._body_bytes += len(chunk)
            yield chunk

    @property
    def held_bytes(self) -> int:
        """Bytes of the body, and of an incomplete message, that were not taken yet."""
        return len(self._body) + self._unpacker.incomplete_bytes

    def buffer(self, chunk: bytes) -> None:
        """Buffer a part of the body."""
        self._body += chunk

    def take_buffered(self) -> bytes:
        """Return and clear the buffered body, before the response is streamed."""
        body, self._body = bytes(self._body), bytearray()
        return body

    def add_headers(self, headers: Iterator[tuple[str, str]]) -> None:
        """Add the fields of a HEADERS frame; response headers and trailers are merged into one set."""
        self._trailers |= dict(headers)

    @property
    def head(self) -> Response | None:
        """The status and header fields; None before the first message."""
        return self._response_head

    @property
    def exceeds_buffer(self) -> bool:
        """True if the buffered body exceeds `BUFFERED_RESPONSE_BYTES`."""
        return self._response_head is not None and len(self._body) > BUFFERED_RESPONSE_BYTES

    @property
    def exceeds_limit(self) -> bool:
        """True if the response exceeds the limit for streamed bodies."""
        return self._message_bytes > STREAMED_BODY_LIMIT + FRAMING_ALLOWANCE_BYTES

    def outcome(self) -> Outcome:
        """Return the outcome of a response whose stream the server has ended."""
        text = self._trailers.get("grpc-status", "")
        status = int(text) if text.isascii() and text.isdigit() else None
        if self._trailers.get(":status", "200") != "200":
            status = None
        rejected = self._trailers.get("x-rejected") == "1"
        complete = self._response_head is not None and not self._unpacker.incomplete_bytes
        outcome = outcomes.of_status(status, complete, rejected)
        length = self.announced_length
        if outcome is Outcome.OK and length is not None and self._body_bytes != length:
            return Outcome.ERROR
        return outcome

    def response(self) -> Response | None:
        """Return the response with the buffered body; None if no message has arrived."""
        if self._response_head is None:
            return None
        return Response(200, self._response_head.headers, bytes(self._body), True)
