"""Parser of the requests on a client connection, which enforces size limits."""

from __future__ import annotations

from collections import deque
from typing import Any

import httptools

from sagetrack.core.bodies import STREAMED_BODY_LIMIT, StreamedBody, append_chunk
from sagetrack.core.clock import now_us
from sagetrack.core.memory_budget import MIN_STREAM_BUFFER, MemoryBudget
from sagetrack.http1.codec import (
    BODY_LIMIT,
    HEAD_LIMIT,
    MAX_HEADERS,
    READ_SIZE,
    VERSIONS,
    find_header,
    strip_whitespace,
)
from sagetrack.http1.request_memory import head_memory
from sagetrack.http1.requests import HttpRequest, RequestError

PARSE_SLICE = 4096  # bytes parsed between checks of the number of waiting requests
BODY_SLICE = 32 * 1024  # bytes parsed at a time within a streamed body of known length
REJECTION = "too many requests are in progress: ask again"


class RequestReader:
    """Parses the data of one client connection into requests.

    A body longer than `BODY_LIMIT` is streamed: its request is added to `requests` before it is complete.
    """

    __slots__ = (
        "_body_size",
        "_budget",
        "_claimed_bytes",
        "_fed_us",
        "_parser",
        "_unreported",
        "current_request",
        "expects_continue",
        "has_failed",
        "in_body",
        "requests",
        "unparsed",
    )

    def __init__(self, budget: MemoryBudget) -> None:
        self._parser: Any = httptools.HttpRequestParser(self)  # None once the connection has ended
        self._budget = budget
        self.current_request: HttpRequest | None = None
        self._body_size = 0
        self._claimed_bytes = 0  # memory counted for the body of the current request
        self.in_body = False
        self.expects_continue = False  # the client waits for `100 Continue` before it sends the body
        self._unreported = 0  # bytes parsed since the parser last reported a complete head or a body part
        self._fed_us = 0  # time at which the last data arrived, parsed or not
        self.requests: deque[HttpRequest] = deque()  # requests that were parsed and are not handled yet
        self.unparsed = b""  # not parsed yet, as enough requests are waiting or a streamed body is full
        self.has_failed = False  # a request was invalid, and no more data is parsed

    @property
    def has_partial_request(self) -> bool:
        """True if an incomplete request or unparsed data has been received."""
        return self.current_request is not None or self._unreported > 0 or bool(self.unparsed)

    @property
    def streamed_body(self) -> StreamedBody | None:
        """The streamed body of the request that is being read; None if it has none."""
        return self.current_request.streamed_body if self.current_request is not None else None

    @property
    def body_received(self) -> int:
        """Bytes received of the body of the current request."""
        return self._body_size

    @property
    def held_bytes(self) -> int:
        """Estimated memory of all data that was received and is not handled yet, without streamed bodies."""
        held = len(self.unparsed) + self._unreported
        if self.current_request is not None:
            current = self.current_request
            held += current.memory_bytes or current.header_block.memory_bytes
        return held + sum(request.memory_bytes for request in self.requests)

    @property
    def read_bytes(self) -> int:
        """Number of bytes to read from the connection at once."""
        streamed_body = self.streamed_body
        if streamed_body is not None:
            return min(READ_SIZE, streamed_body.capacity_bytes)
        return READ_SIZE if self._budget.allows_read_ahead else MIN_STREAM_BUFFER

    def feed(self, data: bytes, limit: int, arrived_us: int = 0) -> None:
        """Parse data until `limit` requests are waiting.

        Args:
            data: The data, which may be empty if some is still unparsed.
            limit: The number of requests that may wait.
            arrived_us: Time at which the data had arrived at this machine; 0 means now.

        The limit prevents hundreds of pipelined requests from delaying other clients. Invalid data results in
        a request with an `error`, after which nothing more is parsed.
        """
        if data:
            self._fed_us = arrived_us or now_us()
        self.unparsed = self.unparsed + data if self.unparsed else data
        if not self.unparsed or len(self.requests) >= limit:
            return
        at, view = 0, memoryview(self.unparsed)
        while at < len(view) and not self.has_failed and len(self.requests) < limit:
            streamed_body = self.streamed_body
            if streamed_body is not None and streamed_body.is_full:
                break  # back-pressure: the rest stays unparsed until there is capacity
            size = PARSE_SLICE
            if streamed_body is not None and streamed_body.length is not None:
                size = max(PARSE_SLICE, min(BODY_SLICE, streamed_body.length - streamed_body.received))
            piece = view[at : at + size]
            at += len(piece)
            error = self._parse(piece)
            if error is not None:
                self.fail(error)
        self.unparsed = b"" if self.has_failed else bytes(view[at:])

    def release(self) -> None:
        """Drop all data of a connection that has ended, and the parser, which refers to this object."""
        self.requests.clear()
        self.current_request = None
        self.unparsed = b""
        self.in_body = False
        self.has_failed = True
        self._parser = None

    def fail(self, error: RequestError) -> None:
        """Record an error, to which the response follows those of earlier requests, and stop parsing."""
        self.has_failed = True
        current_request = self.current_request
        self.current_request = None
        self.unparsed = b""
        self.in_body = False
        if current_request is not None and current_request.streamed_body is not None:
            current_request.error = error  # the connection already has the request, as its body is streamed
            current_request.streamed_body.abort()
        else:
            self.requests.append(HttpRequest(error))

    def _parse(self, piece: memoryview) -> RequestError | None:
        self._unreported += len(piece)
        try:
            self._feed_parser(piece)
        except httptools.HttpParserError as error:
            cause = error.__context__
            return cause if isinstance(cause, RequestError) else RequestError(400, "malformed")
        # The parser reports a header only when it is complete, and does not report chunk extensions and blank
        # lines at all. Without this limit, each of them could be of any length.
        if self._unreported > HEAD_LIMIT:
            return RequestError(431, "the head is too long")
        if self._unreported > PARSE_SLICE and self._budget.rejects(self._unreported):
            return self._reject()
        return None

    def _feed_parser(self, data: memoryview) -> None:
        """Feed data to the parser, ignoring offers to upgrade the connection (RFC 9110, section 7.8).

        The parser takes such a request as complete after its head, whatever its length says. It is therefore
        replaced by one that parses the same head without the offer, and continues with the body.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
            assert self.current_request is not None
            head = _head_without_upgrade(self.current_request)
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(head)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a request; called by the parser."""
        self.current_request = HttpRequest()
        self._body_size = 0
        self._claimed_bytes = 0
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target; called by the parser."""
        assert self.current_request is not None
        self.current_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; called by the parser, also for trailers, which are ignored."""
        assert self.current_request is not None
        if self.in_body:
            return  # trailers may be dropped, and must not replace headers that have been checked
        header_block = self.current_request.header_block
        if len(header_block) >= MAX_HEADERS:
            raise RequestError(431, "too many headers")
        header_block.add(name, strip_whitespace(value))

    def on_headers_complete(self) -> None:
        """Check the complete head; called by the parser."""
        request = self.current_request
        assert request is not None
        self._unreported = 0
        request.complete_head()
        request.method = self._parser.get_method()
        request.version = self._parser.get_http_version()
        if request.method == b"CONNECT":
            raise RequestError(404, "unknown path")  # what follows the head would be no request
        if self._parser.should_upgrade():
            return  # `_feed_parser` has the head parsed again
        headers = request.headers
        if sum(len(name) + len(value) for name, value in headers) + len(request.target) > HEAD_LIMIT:
            raise RequestError(431, "the head is too long")
        if request.version not in VERSIONS:
            raise RequestError(505, "HTTP/1.1 is spoken here")
        request.memory_bytes = head_memory(request.target, headers)
        self._begin_body(request)
        expected = find_header(headers, b"expect")
        if expected is not None:
            if expected.lower() != b"100-continue":
                raise RequestError(417, "only 100-continue can be expected")
            self.expects_continue = True

    def _begin_body(self, request: HttpRequest) -> None:
        """Check the framing of the body, and start to stream or to buffer it."""
        coding = find_header(request.headers, b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise RequestError(501, "no transfer encoding but chunked is read")
        length = int(find_header(request.headers, b"content-length") or 0)
        if length > STREAMED_BODY_LIMIT:
            raise RequestError(413, "the body is too long")
        self.in_body = True
        buffered = length if coding is None else BODY_LIMIT
        if length > BODY_LIMIT or self._budget.streams(buffered):
            self._stream_body(request, length if coding is None else None)
        else:
            self._claim_memory(request, buffered)

    def on_body(self, data: bytes) -> None:
        """Add a part of the body; called by the parser."""
        assert self.current_request is not None
        request = self.current_request
        self._unreported = 0
        self._body_size += len(data)
        if self._body_size > STREAMED_BODY_LIMIT:
            raise RequestError(413, "the body is too long")
        if request.streamed_body is not None:
            request.streamed_body.feed(data)
            return
        append_chunk(request.body, data)
        if self._body_size > BODY_LIMIT:
            self._stream_body(request, None)

    def _claim_memory(self, request: HttpRequest, length: int) -> None:
        """Count a body that will be buffered as if it were complete; reject it if memory is short."""
        if self._budget.rejects(length):
            raise self._reject()
        self._claimed_bytes = length
        request.memory_bytes += length

    def _reject(self) -> RequestError:
        """Count a request that is rejected for lack of memory, and return the error to respond with."""
        self._budget.rejected += 1
        return RequestError(503, REJECTION)

    def _stream_body(self, request: HttpRequest, length: int | None) -> None:
        """Start to stream the body, and queue the request before it is complete."""
        if self._budget.rejects(length or BODY_LIMIT):
            raise self._reject()
        request.keep_alive = self._parser.should_keep_alive()
        request.streamed_body = StreamedBody(length, self._budget)
        for piece in request.body:
            request.streamed_body.feed(bytes(piece))
        request.body.clear()
        request.memory_bytes -= self._claimed_bytes
        self.requests.append(request)

    def on_message_complete(self) -> None:
        """Queue a complete request, or complete its streamed body; called by the parser."""
        if self._parser.should_upgrade():
            return  # only the head is complete
        request = self.current_request
        assert request is not None
        self.current_request = None
        self._unreported = 0
        self.in_body = False
        self.expects_continue = False
        if request.streamed_body is not None:
            request.streamed_body.complete()
            return
        request.memory_bytes += self._body_size - self._claimed_bytes
        request.received_us = self._fed_us
        request.keep_alive = self._parser.should_keep_alive()
        self.requests.append(request)


def _head_without_upgrade(request: HttpRequest) -> bytes:
    """Return the head of a request as it was received, but without its Upgrade headers."""
    lines = [b"%s %s HTTP/%s" % (request.method, request.target, request.version.encode())]
    lines += [b"%s: %s" % (name, value) for name, value in request.headers if name.lower() != b"upgrade"]
    return b"\r\n".join(lines) + b"\r\n\r\n"
