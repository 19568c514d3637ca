"""Abusive clients: some hold connections open with a partial request, others send malformed requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Literal

from sagetrack.lab.processes.background_tasks import BackgroundTasks

PARTIAL_REQUEST = b"GET /lookup HTTP/1.1\r\nX-Half"
MALFORMED_REQUESTS = (
    b"\x00\xff\x17nonsense\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"POST /register HTTP/1.1\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"GET /none HTTP/1.1\r\nX-Budget-Ms: soon\r\n\r\n",
)
SLOWLORIS_PAUSE_S = (0.2, 0.4)  # range of the delay before a client connects again
MALFORMED_PAUSE_S = 0.1
RESPONSE_TIMEOUT_S = 3.0  # maximum wait for the response to a malformed request
MAX_RESPONSE_BYTES = 1000

HostileKind = Literal["crowd", "rude"]  # fault kinds in scenarios: partial requests, malformed requests


class HostileClients:
    """Starts and stops clients of each kind.

    `ports` is the supervisor's live mapping from each gateway to its port.
    """

    def __init__(self, ports: Mapping[int, int], rng: random.Random, background: BackgroundTasks) -> None:
        self.ports = ports
        self.rng = rng
        self.background = background
        self.tasks: dict[HostileKind, list[asyncio.Task[None]]] = {}

    def start(self, kind: HostileKind, count: int) -> None:
        """Start `count` clients, distributed evenly over the gateways."""
        behave = self._hold_connections if kind == "crowd" else self._send_malformed
        self.tasks[kind] = [self.background.spawn(behave(number)) for number in range(count)]

    def stop(self, kind: HostileKind) -> None:
        """Stop all clients of a kind."""
        for task in self.tasks.pop(kind, []):
            task.cancel()

    def _address(self, number: int) -> tuple[str, int]:
        gateways = list(self.ports)
        gateway = gateways[number % len(gateways)]
        return f"127.10.{gateway + 1}.1", self.ports[gateway]

    async def _hold_connections(self, number: int) -> None:
        """Send part of a request head and hold the connection open; reconnect when disconnected."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self._address(number))
                writer.write(PARTIAL_REQUEST)
                try:
                    await reader.read()
                finally:
                    writer.close()
            except OSError:
                pass  # the gateway is down, or has reset the connection
            await asyncio.sleep(self.rng.uniform(*SLOWLORIS_PAUSE_S))

    async def _send_malformed(self, number: int) -> None:
        """Send a malformed request and read the response, repeatedly."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self._address(number))
                writer.write(MALFORMED_REQUESTS[number % len(MALFORMED_REQUESTS)])
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    await reader.read(MAX_RESPONSE_BYTES)
                writer.close()
            except (OSError, TimeoutError):
                pass  # the gateway is down, has reset the connection, or did not respond in time
            await asyncio.sleep(MALFORMED_PAUSE_S)
