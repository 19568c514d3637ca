"""HTTP/1.1 messages from a connection's bytes, for stand-ins on both sides of a gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

FIRST_FINAL_STATUS = 200  # responses below it are interim ones


@dataclass(slots=True)
class Http1Message:
    """A request or a response without its body."""

    target: bytes = b""  # of a request
    status: int = 0  # of a response
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by name in lower case
    body_bytes: int = 0


class Http1Parser:
    """Calls `on_message` with each complete message, and whether the connection may be kept after it.

    Bodies are counted, not kept. Interim responses are passed over.
    """

    def __init__(self, parses_requests: bool, on_message: Callable[[Http1Message, bool], None]) -> None:
        self.parses_requests = parses_requests
        self.on_message = on_message
        self.message = Http1Message()
        self.parser: Any = (
            httptools.HttpRequestParser(self) if parses_requests else httptools.HttpResponseParser(self)
        )

    def feed(self, data: bytes) -> None:
        """Parse what has come; httptools.HttpParserError if it is not HTTP."""
        self.parser.feed_data(data)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """A message starts."""
        self.message = Http1Message()

    def on_url(self, url: bytes) -> None:
        """A piece of the request's target."""
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self.message.headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        """The head is complete."""
        if not self.parses_requests:
            self.message.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        self.message.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """The message is complete."""
        if self.parses_requests or self.message.status >= FIRST_FINAL_STATUS:
            self.on_message(self.message, self.parser.should_keep_alive())
