"""HTTP responses as they pass between the protocols, independent of the connection they came on."""

from __future__ import annotations

Header = tuple[bytes, bytes]


class Response:
    """One complete response, or the head of one whose body is streamed.

    Attributes:
        status: The status code.
        headers: Name and value of each field, in the order they came.
        body: The body; empty where it is streamed.
        keep_alive: Whether the connection may carry another request afterwards.
        length: The announced length of the body in bytes, None where none was announced.
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
