"""An HTTP/1.1 server that handles each request with a script from the test, and may violate the protocol.

Unlike an `AddressServer`, it has no simulation model behind it.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"


@dataclass
class Message:
    """A request or a response."""

    start_line: str
    headers: dict[str, str]  # keys are in lower case
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status code, if this is a response."""
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body length is given by Content-Length.

    Raises IncompleteReadError if the connection ends before the message is complete.
    """
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    start_line, *lines = head.removesuffix(HEAD_END.decode()).split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body)


def http_response(status: int = 200, body: bytes = b"fine", *headers: str) -> bytes:
    """Encode a response; `headers` are additional header lines ("Name: value")."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + HEAD_END + body


@dataclass
class Exchange:
    """One request at a scripted server, with its connection; connections are numbered from 1."""

    message: Message
    writer: asyncio.StreamWriter
    connection_number: int

    def respond(self, data: bytes) -> None:
        """Write bytes unchanged to the connection."""
        self.writer.write(data)

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


Script = Callable[[Exchange], Awaitable[None] | None]


def respond_with(data: bytes) -> Script:
    """Return a script that sends the same bytes in response to each request."""
    return lambda exchange: exchange.respond(data)


def no_response(exchange: Exchange) -> None:
    """Send no response. This function is used as a script."""


@dataclass
class ScriptedServer:
    """A server that runs its script for each request. The script may be replaced at any time.

    `address` is its "host:port". On each connection, the next request is read when the script has finished
    with the previous one.
    """

    script: Script
    exchanges: list[Exchange] = field(default_factory=list)  # all requests so far
    opened_connections: int = 0
    closed_connections: int = 0  # connections closed by the other side
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    server: asyncio.Server | None = None
    address: str = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until the other side closes it."""
        self.opened_connections += 1
        connection = self.opened_connections
        self.writers.append(writer)
        try:
            while True:
                exchange = Exchange(await read_message(reader), writer, connection)
                self.exchanges.append(exchange)
                pending = self.script(exchange)
                if pending is not None:
                    await pending
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections += 1
            writer.close()

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


RESPOND_OK = respond_with(http_response())


@asynccontextmanager
async def scripted_server(script: Script = RESPOND_OK) -> AsyncIterator[ScriptedServer]:
    """Run a scripted server on loopback until the context ends."""
    scripted = ScriptedServer(script)
    scripted.server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    host, port = scripted.server.sockets[0].getsockname()
    scripted.address = f"{host}:{port}"
    try:
        yield scripted
    finally:
        scripted.close()


# Discovery endpoint lists in the platform's wire format


def endpoint(name: str, address: str, **changes: object) -> dict[str, object]:
    """Build a SERVING endpoint, with `changes` to its keys."""
    entry: dict[str, object] = {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "m",
        "group": 0,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": 0,
    }
    return entry | changes


def endpoint_list(index: int, *endpoints: dict[str, object], snapshot: bool = True) -> dict[str, object]:
    """Build an endpoint list with this index: a full list, or a difference if `snapshot` is False."""
    return {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}


def list_response(index: int, *endpoints: dict[str, object], snapshot: bool = True) -> bytes:
    """Encode an `endpoint_list` as an HTTP response."""
    return http_response(200, json.dumps(endpoint_list(index, *endpoints, snapshot=snapshot)).encode())
