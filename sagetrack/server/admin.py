"""The operators' own address: one connection, one line, one answer.

Only the line protocol lives here; what a call does is behind `Operations`. Callers can't hurt: a line, the
number of connections and the time for a call are bounded, and who says nothing yields to the next.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from sagetrack.config.platform import Address
from sagetrack.core.transient_errors import retry_while_transient
from sagetrack.server.listen import bind

LINE_LIMIT = 256  # bytes
CALLERS = 12  # connections at once; the oldest yields to the next
CALL_S = 5.0  # for the line to come
LINGER_S = 1.0  # for the caller to read its answer and close
BACKLOG = 64


class Operations(Protocol):
    """What operators can ask of a gateway."""

    def status(self) -> bool:
        """Whether this process takes clients."""
        ...

    def stats(self) -> str:
        """The figures, a line each."""
        ...

    def peers(self) -> str:
        """Other gateways as this one sees them, a line each."""
        ...

    def trace(self) -> str:
        """The last things out of the ordinary, a line each, the oldest first."""
        ...

    def standby(self) -> bool:
        """Drain; False if that can't be."""
        ...

    def active(self) -> bool:
        """End the drain; False if that can't be."""
        ...


class Admin:
    """Listens at the second address and answers calls."""

    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self.callers: dict[Caller, None] = {}  # the oldest first
        self.server: asyncio.Server | None = None
        self.calls: dict[str, Callable[[], str]] = {
            "status": lambda: _said(operations.status(), "takes clients", "takes no clients"),
            "stats": lambda: f"SUCCESS\n{operations.stats()}EOT\n",
            "standby": lambda: _said(operations.standby(), "drains", "is on its way out"),
            "peers": lambda: f"SUCCESS\n{operations.peers()}EOT\n",
            "trace": lambda: f"SUCCESS\n{operations.trace()}EOT\n",
            "active": lambda: _said(operations.active(), "takes clients", "is on its way out"),
        }

    async def start(self, address: Address) -> None:
        """Listen there; the error if that cannot be, also for a while.

        Guards against a server without a socket: asyncio passes over one that cannot be made.
        """
        loop = asyncio.get_running_loop()
        listener = await retry_while_transient(lambda: bind(address, BACKLOG))
        self.server = await loop.create_server(lambda: Caller(self), sock=listener, backlog=BACKLOG)

    def answer(self, line: bytes) -> bytes:
        try:
            call = self.calls.get(line.decode("ascii").strip())
        except UnicodeDecodeError:
            return b"FAILURE unreadable\n"
        return call().encode() if call is not None else b"FAILURE unknown call\n"

    def let_in(self, caller: Caller) -> None:
        if len(self.callers) >= CALLERS:
            next(iter(self.callers)).drop()
        self.callers[caller] = None

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.drop()


def _said(yes: bool, why: str, why_not: str) -> str:
    return f"SUCCESS {why}\n" if yes else f"FAILURE {why_not}\n"


class Caller(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.transport: asyncio.Transport | None = None
        self.line = b""
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.admin.let_in(self)
        self.wait(CALL_S, self.time_out)

    def connection_lost(self, exc: Exception | None) -> None:
        self.admin.callers.pop(self, None)
        self.wait(0.0, None)

    def wait(self, time_s: float, then: Callable[[], None] | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if then is None else asyncio.get_running_loop().call_later(time_s, then)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # a connection carries one line; the rest is read so that a reset overtakes no answer
        self.line += data
        line, end, _ = self.line.partition(b"\n")
        if len(line) > LINE_LIMIT:
            self.answer(b"FAILURE overlong\n")
        elif end:
            self.answer(self.admin.answer(line))

    def eof_received(self) -> bool:
        """The end of what a caller says is the end of its line too."""
        if self.answered or not self.line:
            return False
        self.answer(self.admin.answer(self.line))
        return True  # the answer is still to be read

    def time_out(self) -> None:
        self.answer(b"FAILURE no call came\n")

    def answer(self, answer: bytes) -> None:
        assert self.transport is not None
        self.answered = True
        self.line = b""
        self.transport.write(answer)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.wait(LINGER_S, self.drop)

    def drop(self) -> None:
        self.admin.callers.pop(self, None)
        if self.transport is not None:
            self.transport.abort()
