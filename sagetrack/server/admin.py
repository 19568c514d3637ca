"""Line protocol of the admin address: each connection carries one command line and one response.

`AdminOperations` is the interface to the commands. The length of a line, the number of connections and the
time to send a line are limited. If there are too many connections, the oldest one is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from sagetrack.config.platform import Address
from sagetrack.core.listening_socket import bind_listener
from sagetrack.core.transient_errors import retry_while_transient

MAX_LINE_BYTES = 256
MAX_CONNECTIONS = 12
CALL_TIMEOUT_S = 5.0  # time allowed for the client to send its line
LINGER_S = 1.0  # time allowed for the client to read the response and close the connection
BACKLOG = 64


class AdminOperations(Protocol):
    """The operations that the admin interface offers."""

    def status(self) -> bool:
        """Return whether this process accepts clients."""
        ...

    def stats(self) -> str:
        """Return the metrics, one per line."""
        ...

    def peers(self) -> str:
        """Return the other gateways and their state as seen by this one, one per line."""
        ...

    def trace(self) -> str:
        """Return the latest notable events, such as failed attempts, one per line, oldest first."""
        ...

    def standby(self) -> bool:
        """Start to drain; returns False if the process is shutting down."""
        ...

    def active(self) -> bool:
        """Stop draining; returns False if the process is shutting down."""
        ...


class AdminServer:
    """Listens at the admin address and handles the commands of operators."""

    def __init__(self, operations: AdminOperations) -> None:
        self.server: asyncio.Server | None = None
        self._connections: dict[AdminConnection, None] = {}  # open connections, oldest first
        self._calls: dict[str, Callable[[], str]] = {
            "status": lambda: _format_outcome(operations.status(), "takes clients", "takes no clients"),
            "stats": lambda: f"SUCCESS\n{operations.stats()}EOT\n",
            "standby": lambda: _format_outcome(operations.standby(), "drains", "is on its way out"),
            "peers": lambda: f"SUCCESS\n{operations.peers()}EOT\n",
            "trace": lambda: f"SUCCESS\n{operations.trace()}EOT\n",
            "active": lambda: _format_outcome(operations.active(), "takes clients", "is on its way out"),
        }

    async def start(self, address: Address) -> None:
        """Bind the address and listen; retries for a while and then raises the last OSError.

        The socket is bound here because asyncio returns a server without a socket if it cannot create one.
        """
        loop = asyncio.get_running_loop()
        listener = await retry_while_transient(lambda: bind_listener(address, BACKLOG))
        self.server = await loop.create_server(lambda: AdminConnection(self), sock=listener, backlog=BACKLOG)

    def handle_line(self, line: bytes) -> bytes:
        """Run the command in a line and return the response, which is FAILURE for an unknown command."""
        try:
            call = self._calls.get(line.decode("ascii").strip())
        except UnicodeDecodeError:
            return b"FAILURE unreadable\n"
        return call().encode() if call is not None else b"FAILURE unknown call\n"

    def register(self, connection: AdminConnection) -> None:
        """Add a new connection; if there are already MAX_CONNECTIONS, the oldest is closed."""
        if len(self._connections) >= MAX_CONNECTIONS:
            next(iter(self._connections)).drop()
        self._connections[connection] = None

    def unregister(self, connection: AdminConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self._connections):
            connection.drop()


def _format_outcome(succeeded: bool, state: str, reason: str) -> str:
    return f"SUCCESS {state}\n" if succeeded else f"FAILURE {reason}\n"


class AdminConnection(asyncio.Protocol):
    """One client connection to the admin address."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._has_responded = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a line, up to CALL_TIMEOUT_S."""
        self._transport = cast(asyncio.Transport, transport)  # the transport of uvloop is not a subclass
        self._server.register(self)
        self._set_timer(CALL_TIMEOUT_S, self._on_call_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._server.unregister(self)
        self._cancel_timer()

    def data_received(self, data: bytes) -> None:
        """Respond once the line is complete or too long."""
        if self._has_responded:
            return  # more data is read and ignored: closing with unread data may lose the response
        self._received += data
        line, end, _ = self._received.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            self._respond(b"FAILURE overlong\n")
        elif end:
            self._respond(self._server.handle_line(line))

    def eof_received(self) -> bool:
        """Treat the end of the stream as the end of a line; returns True to keep the connection open."""
        if self._has_responded or not self._received:
            return False
        self._respond(self._server.handle_line(self._received))
        return True

    def drop(self) -> None:
        """Close the connection immediately."""
        self._server.unregister(self)
        if self._transport is not None:
            self._transport.abort()

    def _respond(self, response: bytes) -> None:
        assert self._transport is not None
        self._has_responded = True
        self._received = b""
        self._transport.write(response)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._set_timer(LINGER_S, self.drop)

    def _on_call_timeout(self) -> None:
        self._respond(b"FAILURE no call came\n")

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
