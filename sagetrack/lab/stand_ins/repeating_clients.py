"""Clients that repeat what they do on a new connection when the gateway ends the previous one."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from contextlib import suppress

RECEIVE_BUFFER_BYTES = 16 * 1024
RECONNECT_S = 0.1

Act = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]
"""What a client does on one connection, until the gateway ends it."""


async def stay_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send nothing."""
    await reader.read()


class RepeatingClients:
    """Runs clients of one address, each until it is stopped.

    Args:
        address: The address.
        local_hosts: The addresses from which the clients connect by turns; by default the system chooses.
    """

    def __init__(self, address: tuple[str, int], local_hosts: tuple[str, ...] = ("",)) -> None:
        self._address = address
        self._local_hosts = local_hosts
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, act: Act, count: int) -> None:
        """Start `count` clients that do the same."""
        for _ in range(count):
            local_host = self._local_hosts[len(self._tasks) % len(self._local_hosts)]
            self._tasks.append(asyncio.create_task(self._repeat(act, local_host)))

    async def stop(self) -> None:
        """End all clients, which reset their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _repeat(self, act: Act, local_host: str) -> None:
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._connect_and(act, local_host)
            await asyncio.sleep(RECONNECT_S)

    async def _connect_and(self, act: Act, local_host: str) -> None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.setblocking(False)
        try:
            if local_host:
                client.bind((local_host, 0))
            await asyncio.get_running_loop().sock_connect(client, self._address)
            reader, writer = await asyncio.open_connection(sock=client, limit=RECEIVE_BUFFER_BYTES)
        except OSError:
            client.close()
            raise
        try:
            await act(reader, writer)
        finally:
            writer.transport.abort()
