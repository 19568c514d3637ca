"""HTTP/1.1 for both sides: limits, end-to-end headers, and the reader of responses."""

from __future__ import annotations

from collections.abc import Iterable

import httptools

from sagetrack.core.bodies import STREAMED_BODY_LIMIT
from sagetrack.core.responses import Header, Response

BODY_LIMIT = 64 * 1024  # bytes of a body that is buffered; a longer one is streamed
HEAD_LIMIT = 16 * 1024  # bytes of a request line or status line and headers
READ_SIZE = 64 * 1024  # bytes read from a connection at once
INTERIM_LIMIT = 8  # responses of status 1xx before the final one
VERSIONS = ("1.1", "1.0")  # supported versions
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)


class ProtocolError(ValueError):
    """What a peer sent cannot be used as HTTP/1.1; the base of this package's errors."""


class ResponseError(ProtocolError):
    """What a server sent is no response that can be used."""


def end_to_end_headers(headers: Iterable[Header], without: frozenset[bytes] = frozenset()) -> list[Header]:
    """Return the headers that are forwarded.

    Hop-by-hop headers, those that `Connection` names, and those of `without` (lower case) are left out.
    """
    kept = [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP]
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for part in value.split(b",")
    } | without
    return [(name, value) for name, value in kept if name.lower() not in named]


def strip_whitespace(value: bytes) -> bytes:
    """Return a header's value without the white space around it, which the parser leaves."""
    return value.strip(b" \t")


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header of that name (in lower case); None without one."""
    return next((value for other, value in headers if other.lower() == name), None)


class ResponseReader:
    """Turns the bytes of one connection into complete responses, one at a time.

    With `streams`, the body of a response of status 200 may be longer than `limit`. Once `needs_streaming` is
    true, the owner reads the head with `head` and the body with `take_body`. When the response is complete,
    `feed` returns it with the rest of the body.
    """

    __slots__ = (
        "_body",
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
        self.in_body = False  # the head of a good response has come, its end has not
        self._parser = httptools.HttpResponseParser(self)
        self._responses: list[Response] = []
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0
        self._interim_count = 0
        self._unparsed = 0  # bytes since the parser last reported anything
        self.has_partial_response = False  # a response has begun and is not yet complete

    def feed(self, data: bytes) -> Response | None:
        """Return the response that these bytes complete, if they do.

        Bytes beyond it belong to no request: the response then says that the connection cannot be kept.

        Raises:
            ResponseError: What has come is no valid response, or exceeds a limit.
        """
        self._unparsed += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._responses:
                raise ResponseError(str(error.__context__ or error)) from None
            self._responses[0].keep_alive = False  # something follows the complete response
        if not self._responses:
            # The parser keeps a status line or a header without end, and reports nothing of it.
            if self._unparsed > HEAD_LIMIT:
                raise ResponseError(f"the head of the response is longer than {HEAD_LIMIT} bytes")
            return None
        response = self._responses[0]
        if len(self._responses) > 1 or self.has_partial_response:
            response.keep_alive = False
        self._responses = []
        self._interim_count = 0
        return response

    @property
    def needs_streaming(self) -> bool:
        """Whether the response is too long to be buffered, and some of its body is here."""
        return self.in_body and self._size > 0 and max(self._size, self._length or 0) > self._limit

    @property
    def has_unknown_length(self) -> bool:
        """Whether the length of the response is not known yet."""
        return self.in_body and self._length is None

    def head(self) -> Response:
        """Return the head of the response that is coming."""
        return Response(200, self._headers, b"", False, self._length)

    def take_body(self) -> bytes:
        """Return what has come of its body since the last call."""
        body = b"".join(self._body)
        self._body.clear()
        return body

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """A response begins; called by the parser."""
        self.has_partial_response = True
        self._headers = []
        self._body = []
        self._size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header is complete; called by the parser, also for trailers, which are left out."""
        if self.in_body:
            return
        self._size += len(name) + len(value)
        if self._size > HEAD_LIMIT:
            raise ResponseError(f"the head of the response is longer than {HEAD_LIMIT} bytes")
        self._headers.append((name, strip_whitespace(value)))

    def on_headers_complete(self) -> None:
        """All headers are here; called by the parser."""
        self._size = 0
        self._unparsed = 0
        version = self._parser.get_http_version()
        if version not in VERSIONS:
            raise ResponseError(f"the response is HTTP/{version}, and {' or '.join(VERSIONS)} is understood")
        length = find_header(self._headers, b"content-length")
        status = self._parser.get_status_code()
        self.in_body = status == 200 and self._streams
        self._length = int(length) if length is not None else None
        if self._length is not None and self._length > self._size_limit:
            raise ResponseError(f"the body of the response is longer than {self._size_limit} bytes")
        if status < 200 or status in (204, 304):
            return
        if length is None and find_header(self._headers, b"transfer-encoding") is None:
            raise ResponseError("the response has neither a Content-Length nor a Transfer-Encoding")

    @property
    def _size_limit(self) -> int:
        return STREAMED_BODY_LIMIT if self.in_body else self._limit

    def on_body(self, data: bytes) -> None:
        """A part of the body is here; called by the parser."""
        self._size += len(data)
        self._unparsed = 0
        if self._size > self._size_limit:
            raise ResponseError(f"the body of the response is longer than {self._size_limit} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """A response is complete; called by the parser. Interim responses (1xx) are left out."""
        status = self._parser.get_status_code()
        if status >= 200:
            keep_alive = self._parser.should_keep_alive()
            body = b"".join(self._body)
            self._responses.append(Response(status, self._headers, body, keep_alive, self._length))
        else:
            self._interim_count += 1
            if self._interim_count > INTERIM_LIMIT:
                raise ResponseError(f"more than {INTERIM_LIMIT} interim responses ahead of the final one")
        self._headers = []
        self._body = []
        self._unparsed = 0
        self.has_partial_response = False
        self.in_body = False
