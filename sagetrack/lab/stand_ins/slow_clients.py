"""Clients that make a gateway hold memory: they send slowly, stop within a request, or read slowly.

The clients are those of HTTP/1.1; `slow_front_clients` has those of the other protocols.
"""

from __future__ import annotations

import asyncio
import itertools
from enum import Enum

from sagetrack.lab.stand_ins.repeating_clients import Act, RepeatingClients, stay_silent

HALF_OF_BYTES = 1_000_000  # announced length of the body whose second half never comes
STALLED_BODY_BYTES = 60_000  # sent of a body that is announced one byte longer; short enough to be buffered
MAX_FIELDS = 250  # header fields of a head that never ends
SLOW_READ_BYTES_PER_S = 20_000
SLOW_WRITE_BYTES_PER_S = 64_000  # the slowest rate at which a body may arrive
SLOW_WRITE_BODY_BYTES = 400_000
PIECE_S = 0.1  # time between two pieces of a slow transfer

_ids = itertools.count(1)


class Habit(Enum):
    """What a client does with its connection."""

    SILENT = "silent"  # send nothing
    HALF_BODY = "half body"  # stop in the middle of a long body
    STALLED_BODY = "stalled body"  # stop right before the end of a short body
    SLOW_BODY = "slow body"  # send a long body at the slowest allowed rate
    SHORT_FIELDS = "short fields"  # send very many short header fields, and never end the head
    SLOW_READER = "slow reader"  # read a long response slowly


class SlowClients:
    """Runs clients with one habit each against one HTTP/1.1 address."""

    def __init__(self, address: tuple[str, int], class_name: str = "transfer") -> None:
        """Create clients of the gateway at `address`, whose requests are `POST`s of an unsafe class."""
        self._class_name = class_name
        self._clients = RepeatingClients(address)
        self._acts: dict[Habit, Act] = {
            Habit.SILENT: stay_silent,
            Habit.HALF_BODY: self._send_half_body,
            Habit.STALLED_BODY: self._stall_in_body,
            Habit.SLOW_BODY: self._send_body_slowly,
            Habit.SHORT_FIELDS: self._send_short_fields,
            Habit.SLOW_READER: self._read_slowly,
        }

    def start(self, habit: Habit, count: int) -> None:
        """Start `count` clients with this habit."""
        self._clients.start(self._acts[habit], count)

    async def stop(self) -> None:
        """End all clients, which reset their connections."""
        await self._clients.stop()

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
