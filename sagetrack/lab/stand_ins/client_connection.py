"""A client's HTTP/1.1 connection to a gateway."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from sagetrack.lab.stand_ins.http1_parser import Http1Message, Http1Parser

SLOW_READER_PAUSE_S = 1.0
CONNECTION_FAILED = 0  # status reported when the connection ends without a response


class GatewayResponse(NamedTuple):
    """The outcome of a request."""

    status: int  # HTTP status, or CONNECTION_FAILED if there was no response
    retry_after_s: float


OnResponse = Callable[[GatewayResponse], None]


class ClientConnection(asyncio.Protocol):
    """Carries one request at a time. `on_idle` is called with the connection when it can be reused."""

    def __init__(self, on_idle: Callable[[ClientConnection], None]) -> None:
        self.on_idle = on_idle
        self.transport: asyncio.Transport | None = None
        self.parser = Http1Parser(False, self.on_message)
        self.on_response: OnResponse | None = None  # callback of the request in flight
        self.previous_on_response: OnResponse | None = None
        self.is_reused = False
        self.reads_slowly = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        """True if a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, data: bytes, on_response: OnResponse) -> None:
        """Send a request. `on_response` is called for its response and for any unexpected further one."""
        assert self.transport is not None
        self.on_response = on_response
        self.transport.write(data)
        if self.reads_slowly:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(SLOW_READER_PAUSE_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def abandon(self) -> None:
        """If a request is in flight, close the connection without waiting for the response."""
        if self.on_response is not None:
            self.on_response = None
            self.close()

    def data_received(self, data: bytes) -> None:
        """Parse part of a response; close the connection if the data is not valid HTTP."""
        try:
            self.parser.feed(data)
        except httptools.HttpParserError:
            self.close()

    def on_message(self, message: Http1Message, keeps_alive: bool) -> None:
        """Report a complete response."""
        on_response = self.on_response
        self.on_response = None
        response = GatewayResponse(message.status, float(message.headers.get(b"retry-after", b"0") or 0))
        if on_response is None:
            # No request is in flight, so this is a second response to the previous request.
            if self.previous_on_response is not None:
                self.previous_on_response(response)
            return
        self.previous_on_response = on_response
        self.is_reused = True
        if keeps_alive and message.headers.get(b"connection", b"").lower() != b"close":
            self.on_idle(self)
        else:
            self.close()
        on_response(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report CONNECTION_FAILED to the request in flight."""
        self.transport = None
        on_response = self.on_response
        self.on_response = None
        if on_response is not None:
            on_response(GatewayResponse(CONNECTION_FAILED, 0.0))

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()
