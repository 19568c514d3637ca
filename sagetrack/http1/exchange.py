"""One request of a client's connection at a time: it goes to the gateway, and its response to the client."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sagetrack.config.platform import Config, stable_hash
from sagetrack.core.gateway import Gateway
from sagetrack.core.requests import Request, ResponseSource
from sagetrack.core.responses import Header, Response
from sagetrack.http1.codec import end_to_end_headers
from sagetrack.http1.requests import HttpRequest, RequestError, read_request

READY_PATH = b"/health/ready"
NOT_PASSED_BACK = frozenset({b"x-load-report", b"x-rejected"})
REASONS = {
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
    """What all exchanges share.

    Attributes:
        config: The configuration.
        gateway: Takes the requests.
        is_ready: What `READY_PATH` reports.
        check_head: Returns why a request with this head cannot be served here; None if it can.
    """

    config: Config
    gateway: Gateway
    is_ready: Callable[[], bool]
    check_head: Callable[[bytes], str | None] | None = None


class ExchangeOwner(Protocol):
    """What an exchange needs of its connection."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""

    def is_last(self, message: HttpRequest) -> bool:
        """Return whether the connection ends with the response to this request."""

    def on_response_written(self, message: HttpRequest, is_last: bool) -> None:
        """The response is written to its end."""

    def resume_parsing_soon(self) -> None:
        """There is capacity again for the body of the request."""

    def abort(self, reason: str = ...) -> None:
        """Close at once."""


class Exchange:
    """The request in progress on a client's connection, and its response; the gateway's `Client`."""

    __slots__ = (
        "chunked",
        "context",
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
        self.message: HttpRequest | None = None  # in progress, as it was read
        self.request: Request | None = None  # the same, as the gateway has it
        self.source: ResponseSource | None = None  # where a streamed response comes from
        self.chunked = False  # whether a streamed response is sent in chunks
        self.ends_connection = False  # whether the connection ends with a streamed response
        self.has_responded = False  # whether any request on the connection has had its response

    # Requests

    def start(self, message: HttpRequest) -> None:
        """Handle the next request: by a response of this process, or by the gateway."""
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
        """Identify a client without a name by its address, which others may share: hence the sign."""
        assert self.transport is not None
        peer = self.transport.get_extra_info("peername")
        return -stable_hash(peer[0], 8) if peer else 0

    def cancel_request(self) -> None:
        """Have the gateway cancel the request, if it has it."""
        request = self.request
        self.request = None
        if request is not None:
            self.context.gateway.cancel_request(request.id)

    def cancel(self) -> None:
        """The client has gone: nothing more of a response is written for it, and its request is cancelled."""
        self.source = None
        self.cancel_request()

    def fail_body(self) -> None:
        """Respond to a long body that was being passed on and cannot be read to its end."""
        message = self.message
        if message is None or message.streamed_body is None or message.error is None:
            return
        self.cancel_request()
        if self.source is not None:
            self.owner.abort("broken_body")  # its response has begun: the client sees that it is incomplete
        else:
            self.respond(message.error.status, message.error.headers, f"{message.error}\n".encode())

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return self.message is not None

    @property
    def awaits_response(self) -> bool:
        """Whether a request is with the gateway, and nothing of its response is written."""
        return self.request is not None and self.source is None

    # Responses

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a complete response at once, and go on with the next request."""
        message = self.message
        transport = self.transport
        assert message is not None and transport is not None
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
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
        """Respond with what an upstream server has responded."""
        if self.request is request:
            self.respond(200, end_to_end_headers(response.headers, NOT_PASSED_BACK), response.body)

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """Respond that the request was rejected, and when to retry if that is known."""
        if self.request is request:
            value = b"%.3f" % (retry_after_us / 1e6)
            if self.context.config.whole_seconds:  # rounded up: not before it is due
                value = b"%d" % -(-retry_after_us // 1_000_000)
            headers = [(b"Retry-After", value)] if retry_after_us > 0 else []
            self.respond(503, headers, b"")

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Respond that every attempt has failed, or that the time is over."""
        if self.request is request:
            self.respond(504 if timed_out else 502, [], b"")

    # Responses that are streamed

    def on_response_started(self, request: Request, head: Response, source: ResponseSource) -> None:
        """Write the head of a response that is too long to be buffered."""
        message = self.message
        transport = self.transport
        if self.request is not request or message is None or transport is None:
            return
        self.source = source
        self.chunked = head.length is None and message.version == "1.1"
        self.ends_connection = self.owner.is_last(message) or (head.length is None and not self.chunked)
        lines = [b"HTTP/1.1 200 OK"]
        lines += [b"%s: %s" % pair for pair in end_to_end_headers(head.headers, NOT_PASSED_BACK)]
        if head.length is not None:
            lines.append(b"Content-Length: %d" % head.length)
        elif self.chunked:
            lines.append(b"Transfer-Encoding: chunked")
        if self.ends_connection:
            lines.append(b"Connection: close")
        transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Write a part of its body."""
        if self.request is request and self.transport is not None and data:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def on_response_ended(self, request: Request, response: Response) -> None:
        """Write the end of its body, and go on with the next request."""
        message = self.message
        if self.request is not request or message is None or self.transport is None:
            return
        self.on_response_data(request, response.body)
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.source = None
        self._finish(message, self.ends_connection)

    def on_response_aborted(self, request: Request) -> None:
        """The rest of its body will not come: the client sees that what it has is incomplete."""
        if self.request is request:
            self.request = None
            self.source = None
            self.owner.abort("broken_answer")

    def pause(self) -> None:
        """The client takes no more for now: have no more of a streamed response sent."""
        if self.source is not None:
            self.source.pause()

    def resume(self) -> None:
        """The client takes more again."""
        if self.source is not None:
            self.source.resume()
