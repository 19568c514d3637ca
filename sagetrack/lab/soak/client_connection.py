"""The client side of HTTP/1.1 in the soak: connections, request encoding and response parsing."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from sagetrack.lab.soak.events import now_us
from sagetrack.lab.stand_ins.scripted import Message, read_message

FIRST_REQUEST_TIMEOUT_US = 450_000  # slightly less than a gateway waits for a new connection's first request
HEAD_END = b"\r\n\r\n"


class TruncatedResponseError(ValueError):
    """The connection ended before a response that had begun was complete."""


@dataclass(slots=True)
class Connection:
    """A connection to a gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    opened_us: int
    used: bool = False
    response_begun: bool = False  # the response head has arrived; a later close counts as truncation
    body_bytes: int = 0  # announced or received of the body, in the response in progress

    @property
    def is_fresh(self) -> bool:
        """True if no request was sent yet and the gateway still waits for the first one.

        A request sent on a fresh connection is not resent if the connection ends.
        """
        return not self.used and now_us() - self.opened_us < FIRST_REQUEST_TIMEOUT_US

    def close(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()

    async def read_response(self) -> Message:
        """Read one response, whose body has a Content-Length or is chunked.

        Raises:
            asyncio.IncompleteReadError: The connection ended before a response began.
            TruncatedResponseError: The connection ended within the response.
            ValueError: The response is malformed.
        """
        self.response_begun = False
        self.body_bytes = 0
        head = await self.reader.readuntil(HEAD_END)
        self.response_begun = True
        try:
            if b"transfer-encoding: chunked" in head.lower():
                return await self._read_chunked(head)
            return await self._read_with_length(head)
        except asyncio.IncompleteReadError:
            raise TruncatedResponseError from None

    async def _read_with_length(self, head: bytes) -> Message:
        fields = [line.partition(b":") for line in head.lower().split(b"\r\n")]
        length = next((int(value) for name, _, value in fields if name == b"content-length"), 0)
        self.body_bytes = length
        body = await self.reader.readexactly(length)
        complete = asyncio.StreamReader()
        complete.feed_data(head + body)
        return await read_message(complete)

    async def _read_chunked(self, head: bytes) -> Message:
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            chunk = await self.reader.readexactly(size + len(b"\r\n"))
            body += chunk[:size]
            self.body_bytes = len(body)
        await self.reader.readuntil(b"\r\n")
        first_line, *lines = head.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
        fields = [line.partition(":") for line in lines]
        headers = {name.lower(): value.strip() for name, _, value in fields}
        return Message(first_line, headers, body)


def build_request(request_id: str, class_name: str, budget_ms: int, padding: int = 0) -> bytes:
    """Encode a complete request. Every class except "search" has a body, which `padding` bytes extend."""
    has_body = class_name != "search"
    lines = [
        f"{'POST' if has_body else 'GET'} /{class_name}/{request_id} HTTP/1.1",
        "Host: gateway",
        f"X-Call-Id: {request_id}",
        f"X-Call-Class: {class_name}",
        "X-Caller: acme",
        f"X-Budget-Ms: {budget_ms}",
    ]
    if class_name in ("hold", "reserve"):
        lines.append(f"Idempotency-Key: {request_id}")
    body = b""
    if has_body:
        body = request_id.encode() + b"x" * padding
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body
