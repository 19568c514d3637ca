"""Request/response exchange on a client connection: submits a request and writes its response."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

from sagetrack.config.platform import Config, stable_hash
from sagetrack.core.gateway import Gateway
from sagetrack.core.requests import Request, ResponseSource
from sagetrack.core.responses import Header, Response
from sagetrack.http1.codec import end_to_end_headers
from sagetrack.http1.requests import HttpRequest, RequestError, read_request

WRITE_BUFFER_BYTES = 16 * 1024  # data that the kernel has not accepted, above which writing pauses
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0: a close resets the connection
READY_PATH = b"/health/ready"
REMOVED_RESPONSE_HEADERS = frozenset({b"x-load-report", b"x-rejected"})
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


@dataclass(slots=True)
class ExchangeContext:
    """The dependencies that all exchanges share.

    Attributes:
        config: The configuration.
        gateway: The gateway to which requests are submitted.
        is_ready: Returns the readiness that `READY_PATH` reports.
        check_head: Returns why a request with this head cannot be served; None if it can.
    """

    config: Config
    gateway: Gateway
    is_ready: Callable[[], bool]
    check_head: Callable[[bytes], str | None] | None = None


class ExchangeOwner(Protocol):
    """The interface of a client connection that its exchange uses."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""

    def is_last(self, message: HttpRequest) -> bool:
        """Return whether the connection is closed after the response to this request."""

    def on_response_written(self, message: HttpRequest, is_last: bool) -> None:
        """Continue after the last byte of the response has been written."""

    def resume_parsing_soon(self) -> None:
        """Schedule parsing of more of the request body, as there is capacity for it again."""

    def abort(self, reason: str = ...) -> None:
        """Close at once."""


class Exchange:
    """The request in progress on a client connection and its response; the `Client` of the gateway."""

    __slots__ = (
        "chunked",
        "context",
        "ends_at_close",
        "ends_connection",
        "has_responded",
        "message",
        "owner",
        "request",
        "source",
        "transport",
    )

    def __init__(self, owner: ExchangeOwner, context: ExchangeContext) -> None:
        self.owner = owner
        self.context = context
        self.transport: asyncio.Transport | None = None
        self.message: HttpRequest | None = None  # the request in progress, as parsed from the connection
        self.request: Request | None = None  # the same request, as submitted to the gateway
        self.source: ResponseSource | None = None  # source of a streamed response in progress
        self.chunked = False  # True if the streamed response uses chunked transfer encoding
        self.ends_connection = False  # True if the connection is closed after the streamed response
        self.ends_at_close = False  # True if only the close shows the client where the streamed response ends
        self.has_responded = False  # True if a response has been written on this connection

    # Requests

    def start(self, message: HttpRequest) -> None:
        """Handle a request: submit it to the gateway, or respond directly."""
        self.message = message
        try:
            self._handle(message)
        except RequestError as error:
            self.respond(error.status, error.headers, f"{error}\n".encode())

    def _handle(self, message: HttpRequest) -> None:
        if message.error is not None:
            raise message.error
        if message.streamed_body is not None:
            message.streamed_body.on_capacity = self.owner.resume_parsing_soon
        context = self.context
        path = message.target.partition(b"?")[0]
        if path == READY_PATH:
            if message.method not in (b"GET", b"HEAD"):
                raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
            self.respond(200 if context.is_ready() else 503, [], b"")
            return
        request = read_request(message, path, context.config, self)
        rejection = context.check_head(request.message.head) if context.check_head is not None else None
        if rejection is not None:
            raise RequestError(400, rejection)
        self.request = request
        request.has_disconnected = self.owner.has_disconnected
        if not request.client_id and context.config.settings.admission is not None:
            request.client_id = self._address_id()
        if not context.gateway.submit(request):
            self.request = None
            raise RequestError(400, "this X-Call-Id is in use")

    def _address_id(self) -> int:
        """Return an id made from the client address; negative, as several clients may share an address."""
        assert self.transport is not None
        peer = self.transport.get_extra_info("peername")
        return -stable_hash(peer[0], 8) if peer else 0

    def cancel_request(self) -> None:
        """Cancel the request at the gateway, if it has been submitted."""
        request = self.request
        self.request = None
        if request is not None:
            self.context.gateway.cancel_request(request.id)

    def cancel(self) -> None:
        """Cancel the request of a disconnected client, and write no more of its response."""
        self.source = None
        self.cancel_request()

    def fail_body(self) -> None:
        """Fail a request whose body was being forwarded and cannot be read completely."""
        message = self.message
        if message is None or message.streamed_body is None or message.error is None:
            return
        self.cancel_request()
        if self.source is not None:
            self._abort("broken_body")
        else:
            self.respond(message.error.status, message.error.headers, f"{message.error}\n".encode())

    @property
    def is_busy(self) -> bool:
        """True if a request is in progress."""
        return self.message is not None

    @property
    def awaits_response(self) -> bool:
        """True if a submitted request is in progress and no byte of its response has been written."""
        return self.request is not None and self.source is None

    # Responses

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a complete response, and continue with the next request."""
        message = self.message
        transport = self.transport
        assert message is not None and transport is not None
        lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status])]
        lines += [b"%s: %s" % pair for pair in headers]
        lines += [b"Content-Length: %d" % len(body)]
        is_last = self.owner.is_last(message)
        if is_last:
            lines.append(b"Connection: close")
        if message.method == b"HEAD":
            body = b""
        transport.write(b"%s\r\n\r\n%s" % (b"\r\n".join(lines), body))
        self._finish(message, is_last)

    def _finish(self, message: HttpRequest, is_last: bool) -> None:
        self.message = None
        self.request = None
        self.has_responded = True
        self.owner.on_response_written(message, is_last)

    def on_response(self, request: Request, response: Response) -> None:
        """Write the response of an upstream server."""
        if self.request is request:
            self.respond(200, end_to_end_headers(response.headers, REMOVED_RESPONSE_HEADERS), response.body)

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """Write a 503 for a rejected request, with a Retry-After header if the delay is known."""
        if self.request is request:
            value = b"%.3f" % (retry_after_us / 1e6)
            if self.context.config.whole_seconds:  # rounded up, so that the client does not retry too early
                value = b"%d" % -(-retry_after_us // 1_000_000)
            headers = [(b"Retry-After", value)] if retry_after_us > 0 else []
            self.respond(503, headers, b"")

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Write a 504 if the request has timed out, or a 502 if every attempt has failed."""
        if self.request is request:
            self.respond(504 if timed_out else 502, [], b"")

    # Streamed responses

    def on_response_started(self, request: Request, head: Response, source: ResponseSource) -> None:
        """Write the head of a streamed response."""
        message = self.message
        transport = self.transport
        if self.request is not request or message is None or transport is None:
            return
        self.source = source
        transport.set_write_buffer_limits(high=0)  # the server is paused while the client takes nothing
        self.chunked = head.length is None and message.version == "1.1"
        self.ends_at_close = head.length is None and not self.chunked
        self.ends_connection = self.owner.is_last(message) or self.ends_at_close
        lines = [b"HTTP/1.1 200 OK"]
        lines += [b"%s: %s" % pair for pair in end_to_end_headers(head.headers, REMOVED_RESPONSE_HEADERS)]
        if head.length is not None:
            lines.append(b"Content-Length: %d" % head.length)
        elif self.chunked:
            lines.append(b"Transfer-Encoding: chunked")
        if self.ends_connection:
            lines.append(b"Connection: close")
        transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Write a part of the body of a streamed response."""
        if self.request is request and self.transport is not None and data:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def on_response_ended(self, request: Request, response: Response) -> None:
        """Write the end of a streamed response, and continue with the next request."""
        message = self.message
        if self.request is not request or message is None or self.transport is None:
            return
        self.on_response_data(request, response.body)
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.source = None
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._finish(message, self.ends_connection)

    def on_response_aborted(self, request: Request) -> None:
        """Close the connection, which shows the client that the streamed response is incomplete."""
        if self.request is request:
            self.request = None
            self.source = None
            self._abort("broken_answer")

    def _abort(self, reason: str) -> None:
        """Close the connection so that the client can tell that the streamed response is incomplete."""
        if self.ends_at_close and self.transport is not None:
            connection = self.transport.get_extra_info("socket")
            with suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.owner.abort(reason)

    def pause(self) -> None:
        """Pause the source of a streamed response, because the client reads too slowly."""
        if self.source is not None:
            self.source.pause()

    def resume(self) -> None:
        """Resume the source of a streamed response."""
        if self.source is not None:
            self.source.resume()
