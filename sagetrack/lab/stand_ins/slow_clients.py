"""Clients that make a gateway hold memory: they send slowly, stop within a request, or read slowly.

Each client repeats its habit on a new connection when the gateway ends the previous one, until it is
cancelled.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable, Coroutine
from contextlib import suppress
from enum import Enum

HALF_OF_BYTES = 1_000_000  # announced length of the body whose second half never comes
STALLED_BODY_BYTES = 60_000  # sent of a body that is announced one byte longer; short enough to be buffered
MAX_FIELDS = 250  # header fields of a head that never ends
SLOW_READ_BYTES_PER_S = 20_000
SLOW_WRITE_BYTES_PER_S = 64_000  # the slowest rate at which a body may arrive
SLOW_WRITE_BODY_BYTES = 400_000
PIECE_S = 0.1  # time between two pieces of a slow transfer
RECEIVE_BUFFER_BYTES = 16 * 1024  # of a client that reads slowly
RECONNECT_S = 0.1

_ids = itertools.count(1)


class Habit(Enum):
    """What a client does with its connection."""

    SILENT = "silent"  # send nothing
    HALF_BODY = "half body"  # stop in the middle of a long body
    STALLED_BODY = "stalled body"  # stop right before the end of a short body
    SLOW_BODY = "slow body"  # send a long body at the slowest allowed rate
    SHORT_FIELDS = "short fields"  # send very many short header fields, and never end the head
    SLOW_READER = "slow reader"  # read a long response slowly


Act = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]


class SlowClients:
    """Runs clients with one habit each against one gateway."""

    def __init__(self, address: tuple[str, int], class_name: str = "transfer") -> None:
        """Create clients of the gateway at `address`, whose requests are `POST`s of an unsafe class."""
        self._address = address
        self._class_name = class_name
        self._tasks: list[asyncio.Task[None]] = []
        self._acts: dict[Habit, Act] = {
            Habit.SILENT: self._stay_silent,
            Habit.HALF_BODY: self._send_half_body,
            Habit.STALLED_BODY: self._stall_in_body,
            Habit.SLOW_BODY: self._send_body_slowly,
            Habit.SHORT_FIELDS: self._send_short_fields,
            Habit.SLOW_READER: self._read_slowly,
        }

    def start(self, habit: Habit, count: int) -> None:
        """Start `count` clients with this habit."""
        self._tasks += [asyncio.create_task(self._repeat(habit)) for _ in range(count)]

    async def stop(self) -> None:
        """End all clients, which reset their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _repeat(self, habit: Habit) -> None:
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._connect_and(self._acts[habit])
            await asyncio.sleep(RECONNECT_S)

    async def _connect_and(self, act: Act) -> None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(client, self._address)
            reader, writer = await asyncio.open_connection(sock=client, limit=RECEIVE_BUFFER_BYTES)
        except OSError:
            client.close()
            raise
        try:
            await act(reader, writer)
        finally:
            writer.transport.abort()

    def _head(self, body_bytes: int) -> bytes:
        id_ = f"{next(_ids):x}-slow-{id(self):x}"
        lines = [
            f"POST /{self._class_name}/{id_} HTTP/1.1",
            "Host: gateway",
            f"X-Call-Id: {id_}",
            f"X-Call-Class: {self._class_name}",
            "X-Caller: acme",
            f"Content-Length: {body_bytes}",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _stay_silent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def _send_half_body(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head(HALF_OF_BYTES) + b"x" * (HALF_OF_BYTES // 2))
        await reader.read()

    async def _stall_in_body(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head(STALLED_BODY_BYTES + 1) + b"x" * STALLED_BODY_BYTES)
        await reader.read()

    async def _send_body_slowly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head(SLOW_WRITE_BODY_BYTES))
        piece = b"x" * int(SLOW_WRITE_BYTES_PER_S * PIECE_S)
        for _ in range(SLOW_WRITE_BODY_BYTES // len(piece)):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        writer.write(b"x" * (SLOW_WRITE_BODY_BYTES % len(piece)))
        await reader.readuntil(b"\r\n\r\n")

    async def _send_short_fields(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fields = b"".join(b"a%d: %d\r\n" % (number, number) for number in range(MAX_FIELDS))
        writer.write(self._head(0)[: -len(b"\r\n")] + fields)
        await reader.read()

    async def _read_slowly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Request a response and read it slowly; the server decides how long it is."""
        writer.write(self._head(4) + b"long")
        while await reader.read(int(SLOW_READ_BYTES_PER_S * PIECE_S)):
            await asyncio.sleep(PIECE_S)
