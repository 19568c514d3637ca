"""An HTTP/1.1 server that does with each request what a test's script says, however wrong.

An `AddressServer` behaves as a server of the lab's model does; this one follows its script alone.
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
    headers: dict[str, str]  # by name in lower case
    body: bytes = b""

    @property
    def status(self) -> int:
        """A response's status."""
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body is as long as its Content-Length says; IncompleteReadError if it is cut."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    start_line, *lines = head.removesuffix(HEAD_END.decode()).split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body)


def http_response(status: int = 200, body: bytes = b"fine", *headers: str) -> bytes:
    """A response on the wire; each further header is a "Name: value"."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + HEAD_END + body


@dataclass
class Exchange:
    """One request at a scripted server, and the connection that it came on, counted from 1."""

    message: Message
    writer: asyncio.StreamWriter
    connection_number: int

    def respond(self, data: bytes) -> None:
        """Write bytes as they are."""
        self.writer.write(data)

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


Script = Callable[[Exchange], Awaitable[None] | None]


def respond_with(data: bytes) -> Script:
    """Return a script that responds to each request with the same bytes."""
    return lambda exchange: exchange.respond(data)


def no_response(exchange: Exchange) -> None:
    """A script that reads each request and sends nothing."""


@dataclass
class ScriptedServer:
    """A server that runs its script, which may be replaced, for each request.

    `address` is its "host:port". The next request of a connection is read once the script is done with the
    one before.
    """

    script: Script
    exchanges: list[Exchange] = field(default_factory=list)  # all so far
    opened_connections: int = 0
    closed_connections: int = 0  # by the other side
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
    """A scripted server that listens on loopback until the context ends."""
    scripted = ScriptedServer(script)
    scripted.server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    host, port = scripted.server.sockets[0].getsockname()
    scripted.address = f"{host}:{port}"
    try:
        yield scripted
    finally:
        scripted.close()


# Discovery's lists in its wire form, whose keys are the platform's


def endpoint(name: str, address: str, **changes: object) -> dict[str, object]:
    """An endpoint that serves, with some keys changed or added."""
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
    """A full list, or the changes since one, of this index."""
    return {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}


def list_response(index: int, *endpoints: dict[str, object], snapshot: bool = True) -> bytes:
    """The same as a response on the wire."""
    return http_response(200, json.dumps(endpoint_list(index, *endpoints, snapshot=snapshot)).encode())
