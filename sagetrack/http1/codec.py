"""HTTP/1.1 message handling for both sides: limits, end-to-end headers, and the response parser."""

from __future__ import annotations

from collections.abc import Iterable

import httptools

from sagetrack.core.bodies import STREAMED_BODY_LIMIT, append_chunk
from sagetrack.core.responses import Header, Response

BODY_LIMIT = 64 * 1024  # bytes of a buffered body; longer bodies are streamed
MAX_HEADERS = 256  # headers of a message
HEAD_LIMIT = 16 * 1024  # bytes of the request line or status line together with the headers
READ_SIZE = 64 * 1024  # maximum bytes per read from a connection
INTERIM_LIMIT = 8  # maximum number of 1xx responses before the final response
VERSIONS = ("1.1", "1.0")  # supported HTTP versions
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)


class ProtocolError(ValueError):
    """A peer has violated HTTP/1.1 or a limit; the base class of the errors in this package."""


class ResponseError(ProtocolError):
    """The response of a server is invalid or exceeds a limit."""


def end_to_end_headers(headers: Iterable[Header], removed: frozenset[bytes] = frozenset()) -> list[Header]:
    """Return the headers that may be forwarded.

    This removes hop-by-hop headers, headers named in `Connection`, and those in `removed` (in lower case).
    """
    kept = [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP]
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for part in value.split(b",")
    } | removed
    return [(name, value) for name, value in kept if name.lower() not in named]


def strip_whitespace(value: bytes) -> bytes:
    """Return a header value without surrounding white space, which the parser does not remove."""
    return value.strip(b" \t")


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header with this lower-case name; None if there is none."""
    return next((value for other, value in headers if other.lower() == name), None)


class ResponseReader:
    """Parses the data of one connection into complete responses, one at a time.

    With `streams`, the body of a response of status 200 may be longer than `limit`. Once `needs_streaming` is
    true, the owner reads the head with `head` and the body with `take_body`. When the response is complete,
    `feed` returns it with the rest of the body. A response of status 200 without a length ends with its
    connection, and is returned by `finish`.
    """

    __slots__ = (
        "_body",
        "_ends_at_close",
        "_headers",
        "_interim_count",
        "_length",
        "_limit",
        "_parser",
        "_responses",
        "_size",
        "_streams",
        "_unparsed",
        "has_partial_response",
        "in_body",
    )

    def __init__(self, limit: int = BODY_LIMIT, streams: bool = False) -> None:
        self._limit = limit
        self._streams = streams
        self._length: int | None = None
        self.in_body = False  # reading the body of a response that may be streamed
        self._parser = httptools.HttpResponseParser(self)
        self._responses: list[Response] = []
        self._headers: list[Header] = []
        self._body: list[bytes | bytearray] = []
        self._size = 0
        self._interim_count = 0
        self._ends_at_close = False  # the body of the response in progress ends with the connection
        self._unparsed = 0  # bytes fed since the parser last reported a complete head, a body part or the end
        self.has_partial_response = False  # part of a response has been parsed

    def feed(self, data: bytes) -> Response | None:
        """Return the response that this data completes; None if it completes none.

        If more data follows the response, its `keep_alive` is false, as the data belongs to no request.

        Raises:
            ResponseError: The data is not a valid response, or the response exceeds a limit.
        """
        self._unparsed += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._responses:
                raise ResponseError(str(error.__context__ or error)) from None
            self._responses[0].keep_alive = False  # unexpected data follows the complete response
        if not self._responses:
            # The parser reports only complete status lines and headers, and does not limit their length.
            if self._unparsed > HEAD_LIMIT:
                raise ResponseError(f"response head is longer than {HEAD_LIMIT} bytes")
            return None
        response = self._responses[0]
        if len(self._responses) > 1 or self.has_partial_response:
            response.keep_alive = False
        self._responses = []
        self._interim_count = 0
        return response

    def finish(self) -> Response | None:
        """Return the response that the peer has completed by closing the connection; None if there is none.

        This must not be called after a reset, which completes nothing.
        """
        if not self._ends_at_close:
            return None
        response = Response(200, self._headers, self.take_body(), False, None)
        self._end_response()
        return response

    @property
    def needs_streaming(self) -> bool:
        """True if the response is too long to be buffered and a part of its body has been received."""
        return self.in_body and self._size > 0 and max(self._size, self._length or 0) > self._limit

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that were received and not taken yet."""
        return sum(len(chunk) for chunk in self._body)

    @property
    def has_unknown_length(self) -> bool:
        """True if the response is chunked, so that it may be too long to be buffered."""
        return self.in_body and self._length is None and not self._ends_at_close

    def head(self) -> Response:
        """Return the head of the streamed response in progress, with an empty body."""
        return Response(200, self._headers, b"", False, self._length)

    def take_body(self) -> bytes:
        """Return the part of the body that was received since the last call."""
        body = b"".join(self._body)
        self._body.clear()
        return body

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a response; called by the parser."""
        self.has_partial_response = True
        self._headers = []
        self._body = []
        self._size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; called by the parser, also for trailers, which are ignored."""
        if self.in_body:
            return
        self._size += len(name) + len(value)
        if self._size > HEAD_LIMIT:
            raise ResponseError(f"response head is longer than {HEAD_LIMIT} bytes")
        if len(self._headers) >= MAX_HEADERS:
            raise ResponseError(f"response has more than {MAX_HEADERS} headers")
        self._headers.append((name, strip_whitespace(value)))

    def on_headers_complete(self) -> None:
        """Check the complete head; called by the parser."""
        self._size = 0
        self._unparsed = 0
        version = self._parser.get_http_version()
        if version not in VERSIONS:
            raise ResponseError(f"response has HTTP version {version}, expected {' or '.join(VERSIONS)}")
        length = find_header(self._headers, b"content-length")
        status = self._parser.get_status_code()
        self.in_body = status == 200 and self._streams
        self._length = int(length) if length is not None else None
        if self._length is not None and self._length > self._size_limit:
            raise ResponseError(f"response body is longer than {self._size_limit} bytes")
        if status < 200 or status in (204, 304):
            return
        coding = find_header(self._headers, b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise ResponseError("response has a transfer coding other than chunked")
        self._ends_at_close = length is None and coding is None
        if self._ends_at_close and status != 200:
            raise ResponseError("response has neither Content-Length nor Transfer-Encoding")

    @property
    def _size_limit(self) -> int:
        return STREAMED_BODY_LIMIT if self.in_body else self._limit

    def on_body(self, data: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self._size += len(data)
        self._unparsed = 0
        if self._size > self._size_limit:
            raise ResponseError(f"response body is longer than {self._size_limit} bytes")
        append_chunk(self._body, data)

    def on_message_complete(self) -> None:
        """Store a complete response; interim responses (1xx) are ignored. Called by the parser."""
        status = self._parser.get_status_code()
        if status >= 200:
            keep_alive = self._parser.should_keep_alive()
            body = b"".join(self._body)
            self._responses.append(Response(status, self._headers, body, keep_alive, self._length))
        else:
            self._interim_count += 1
            if self._interim_count > INTERIM_LIMIT:
                raise ResponseError(f"more than {INTERIM_LIMIT} interim responses before the final response")
        self._end_response()

    def _end_response(self) -> None:
        """Reset the state of the response in progress, which is complete."""
        self._headers = []
        self._body = []
        self._unparsed = 0
        self.has_partial_response = False
        self.in_body = False
        self._ends_at_close = False
