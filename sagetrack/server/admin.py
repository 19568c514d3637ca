"""The admin address: one connection, one line, one answer.

This module is the line protocol; what a call does is behind `Operations`. The length of a line, the number of
connections and the time for a call are bounded. Where there are too many connections the oldest is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from sagetrack.config.platform import Address
from sagetrack.core.transient_errors import retry_while_transient
from sagetrack.server.listen import bind

MAX_LINE_BYTES = 256
MAX_CONNECTIONS = 12
CALL_TIMEOUT_S = 5.0  # for the line to arrive
LINGER_S = 1.0  # for the client to read its answer and close
BACKLOG = 64


class Operations(Protocol):
    """What operators can ask of a gateway."""

    def status(self) -> bool:
        """Whether this process accepts clients."""
        ...

    def stats(self) -> str:
        """The metrics, a line each."""
        ...

    def peers(self) -> str:
        """Other gateways as this one sees them, a line each."""
        ...

    def trace(self) -> str:
        """The last events out of the ordinary, a line each, the oldest first."""
        ...

    def standby(self) -> bool:
        """Drain; False while the process shuts down."""
        ...

    def active(self) -> bool:
        """End the drain; False while the process shuts down."""
        ...


class AdminServer:
    """Listens at the admin address and answers calls."""

    def __init__(self, operations: Operations) -> None:
        self.server: asyncio.Server | None = None
        self._connections: dict[AdminConnection, None] = {}  # the oldest first
        self._calls: dict[str, Callable[[], str]] = {
            "status": lambda: _outcome(operations.status(), "takes clients", "takes no clients"),
            "stats": lambda: f"SUCCESS\n{operations.stats()}EOT\n",
            "standby": lambda: _outcome(operations.standby(), "drains", "is on its way out"),
            "peers": lambda: f"SUCCESS\n{operations.peers()}EOT\n",
            "trace": lambda: f"SUCCESS\n{operations.trace()}EOT\n",
            "active": lambda: _outcome(operations.active(), "takes clients", "is on its way out"),
        }

    async def start(self, address: Address) -> None:
        """Listen there; the last OSError if that cannot be, and goes on to fail for a while.

        The socket is bound here, as asyncio returns a server without a socket where one cannot be made.
        """
        loop = asyncio.get_running_loop()
        listener = await retry_while_transient(lambda: bind(address, BACKLOG))
        self.server = await loop.create_server(lambda: AdminConnection(self), sock=listener, backlog=BACKLOG)

    def answer(self, line: bytes) -> bytes:
        """Carry out the call that a line names; FAILURE if it names none."""
        try:
            call = self._calls.get(line.decode("ascii").strip())
        except UnicodeDecodeError:
            return b"FAILURE unreadable\n"
        return call().encode() if call is not None else b"FAILURE unknown call\n"

    def register(self, connection: AdminConnection) -> None:
        """Count a new connection; the oldest is dropped where there are MAX_CONNECTIONS already."""
        if len(self._connections) >= MAX_CONNECTIONS:
            next(iter(self._connections)).drop()
        self._connections[connection] = None

    def unregister(self, connection: AdminConnection) -> None:
        """Count a connection no longer."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Stop listening and drop all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self._connections):
            connection.drop()


def _outcome(succeeded: bool, state: str, reason: str) -> str:
    return f"SUCCESS {state}\n" if succeeded else f"FAILURE {reason}\n"


class AdminConnection(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._answered = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a line."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._server.register(self)
        self._set_timer(CALL_TIMEOUT_S, self._on_call_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._server.unregister(self)
        self._cancel_timer()

    def data_received(self, data: bytes) -> None:
        """Answer once the line is complete or too long."""
        if self._answered:
            return  # a connection carries one line; the rest is read so that a reset overtakes no answer
        self._received += data
        line, end, _ = self._received.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            self._answer(b"FAILURE overlong\n")
        elif end:
            self._answer(self._server.answer(line))

    def eof_received(self) -> bool:
        """The end of the stream ends a line too; True while the answer is still to be read."""
        if self._answered or not self._received:
            return False
        self._answer(self._server.answer(self._received))
        return True

    def drop(self) -> None:
        """Close the connection at once."""
        self._server.unregister(self)
        if self._transport is not None:
            self._transport.abort()

    def _answer(self, answer: bytes) -> None:
        assert self._transport is not None
        self._answered = True
        self._received = b""
        self._transport.write(answer)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._set_timer(LINGER_S, self.drop)

    def _on_call_timeout(self) -> None:
        self._answer(b"FAILURE no call came\n")

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
