"""One response as it arrives on a stream: messages, trailers, and the outcome they amount to."""

from __future__ import annotations

from collections.abc import Iterator

from sagetrack.core.bodies import STREAMED_BODY_LIMIT
from sagetrack.core.responses import Response
from sagetrack.grpc import outcomes
from sagetrack.grpc.messages import Unpacker
from sagetrack.grpc.translate import response_body_chunk, response_to_http1
from sagetrack.policy.events import Outcome

BUFFERED_RESPONSE_BYTES = 64 * 1024  # a longer response is streamed to its client
FRAMING_ALLOWANCE_BYTES = 64 * 1024  # for message framing and fields on top of the longest body


class ResponseReader:
    """Assembles a response; the caller decides whether its body is buffered or streamed."""

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
        self.announced_length: int | None = None  # of the body, as the first message has it

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the body of each message that is complete with `data`.

        Raises:
            MessageError: The framing of a message is invalid.
            TranslationError: A message has no counterpart in HTTP/1.1.
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

    def buffer(self, chunk: bytes) -> None:
        """Keep a part of the body for the complete response."""
        self._body += chunk

    def take_buffered(self) -> bytes:
        """Hand over what was buffered, as the body is streamed from now on."""
        body, self._body = bytes(self._body), bytearray()
        return body

    def add_headers(self, headers: Iterator[tuple[str, str]]) -> None:
        """Take the fields of a HEADERS frame; response headers and trailers count as one set."""
        self._trailers |= dict(headers)

    @property
    def head(self) -> Response | None:
        """The status and fields, once the first message has arrived."""
        return self._response_head

    @property
    def exceeds_buffer(self) -> bool:
        """Whether the response is too long to be buffered."""
        return self._response_head is not None and len(self._body) > BUFFERED_RESPONSE_BYTES

    @property
    def exceeds_limit(self) -> bool:
        """Whether the response is longer than any response may be."""
        return self._message_bytes > STREAMED_BODY_LIMIT + FRAMING_ALLOWANCE_BYTES

    def outcome(self) -> Outcome:
        """What the stream amounts to, now that the server has ended it."""
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
        """The complete response, with what of its body was buffered; None before its first message."""
        if self._response_head is None:
            return None
        return Response(200, self._response_head.headers, bytes(self._body), True)
