"""An HTTP/1.1 message parser for the stand-ins on both sides of a gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

FIRST_FINAL_STATUS = 200  # responses with a lower status are interim responses


@dataclass(slots=True)
class Http1Message:
    """A request or a response without its body."""

    target: bytes = b""  # request target; empty in a response
    status: int = 0  # response status; 0 in a request
    headers: dict[bytes, bytes] = field(default_factory=dict)  # keys are in lower case
    body_bytes: int = 0


class Http1Parser:
    """Calls `on_message` with each complete message and a flag that tells whether the connection persists.

    Body bytes are counted but not stored. Interim responses are ignored.
    """

    def __init__(self, parses_requests: bool, on_message: Callable[[Http1Message, bool], None]) -> None:
        self.parses_requests = parses_requests
        self.on_message = on_message
        self.message = Http1Message()
        self.parser: Any = (
            httptools.HttpRequestParser(self) if parses_requests else httptools.HttpResponseParser(self)
        )

    def feed(self, data: bytes) -> None:
        """Parse received data. Raises httptools.HttpParserError if it is not valid HTTP."""
        self.parser.feed_data(data)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Begin a new message."""
        self.message = Http1Message()

    def on_url(self, url: bytes) -> None:
        """Append part of the request target."""
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field."""
        self.message.headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        """Store the status of a response."""
        if not self.parses_requests:
            self.message.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Count part of the body."""
        self.message.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Pass the complete message to `on_message`, unless it is an interim response."""
        if self.parses_requests or self.message.status >= FIRST_FINAL_STATUS:
            self.on_message(self.message, self.parser.should_keep_alive())
