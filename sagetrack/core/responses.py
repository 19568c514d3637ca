"""HTTP responses, independent of the connection on which they were received."""

from __future__ import annotations

Header = tuple[bytes, bytes]


class Response:
    """A complete response, or the head of a response whose body is streamed.

    Attributes:
        status: The status code.
        headers: The header fields as pairs of name and value, in the order received.
        body: The body; empty if it is streamed.
        keep_alive: True if the connection may carry another request afterwards.
        length: The announced length of the body in bytes; None if none was announced.
    """

    __slots__ = ("body", "headers", "keep_alive", "length", "status")

    def __init__(
        self, status: int, headers: list[Header], body: bytes, keep_alive: bool, length: int | None = None
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        self.length = length
