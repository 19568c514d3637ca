"""HTTP servers that respond immediately, and a closed-loop or open-loop load generator.

In an open loop, latency is measured from the time at which a request was due rather than sent, so that a slow
gateway cannot delay its own measurement (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import deque
from collections.abc import Callable
from typing import cast

from sagetrack.lab.analysis.figures import latency_histogram

RESPONSE_BODY = b"x" * 64
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + RESPONSE_BODY
END_OF_HEAD = b"\r\n\r\n"
PACE_STEP_S = 0.0005  # how often an open loop checks which requests are due
RESPONSE_GRACE_S = 0.05  # wait at the end of the load for responses still in transit


class FixedResponseServer(asyncio.Protocol):
    """Server side of a connection: sends a fixed response to each request immediately."""

    def __init__(self) -> None:
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Respond to each request whose head is complete; requests have no body."""
        self.buffer += data
        while (end := self.buffer.find(END_OF_HEAD)) >= 0:
            self.buffer = self.buffer[end + len(END_OF_HEAD) :]
            self.respond()

    def respond(self) -> None:
        """Send the response to one request."""
        self.transport.write(RESPONSE)


class LoadConnection(asyncio.Protocol):
    """One client connection, with at most one request in flight."""

    def __init__(self, load: HttpLoad) -> None:
        self.load = load
        self.buffer = b""
        self.due_s = 0.0
        self.is_busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, due_s: float) -> None:
        """Send a request whose latency is measured from `due_s`, a time of `time.perf_counter`."""
        self.is_busy = True
        self.due_s = due_s
        self.transport.write(self.load.next_request())

    def data_received(self, data: bytes) -> None:
        """Record the outcome once the response is complete.

        A response whose body is at least as long as `RESPONSE_BODY` counts as a success; a shorter one counts
        as a failure unless its status is 200, in which case the rest of the body is awaited.
        """
        self.buffer += data
        end = self.buffer.find(END_OF_HEAD)
        if end < 0:
            return
        if len(self.buffer) >= end + len(END_OF_HEAD) + len(RESPONSE_BODY):
            self._end_request()
            self.load.request_succeeded(self)
        elif not self.buffer.startswith(b"HTTP/1.1 200"):
            self._end_request()
            self.load.request_failed(self)

    def _end_request(self) -> None:
        self.buffer = b""
        self.is_busy = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Count a request in flight as failed."""
        if self.is_busy:
            self.load.failed += 1


class HttpLoad:
    """The requests of one measurement and their outcomes.

    Attributes:
        succeeded: requests that received a complete response, see `LoadConnection.data_received`.
        failed: requests that received another response, or none.
        latencies: histogram of the successful requests' latencies, in microseconds.
    """

    def __init__(self, closed_loop: bool) -> None:
        self.closed_loop = closed_loop
        self.sent = 0
        self.succeeded = 0
        self.failed = 0
        self.latencies = latency_histogram()
        self.stopped = False
        self.idle: deque[LoadConnection] = deque()
        self.waiting: deque[float] = deque()  # due times of requests that wait for an idle connection
        self.now_s = time.perf_counter  # the event loop's clock has a resolution of only 1 ms
        self.id_prefix = f"{os.getpid():x}{time.monotonic_ns():x}".encode()

    def next_request(self) -> bytes:
        """Return a request with a unique id."""
        self.sent += 1
        return (
            b"GET /lookup/1 HTTP/1.1\r\nHost: g\r\nX-Call-Id: %s%x\r\nX-Call-Class: lookup\r\n"
            b"X-Caller: acme\r\nX-Budget-Ms: 3000\r\n\r\n" % (self.id_prefix, self.sent)
        )

    def offer(self, due_s: float) -> None:
        """Send a request on an idle connection, or queue it until a connection becomes idle (open loop)."""
        if self.idle:
            self.idle.popleft().send(due_s)
        else:
            self.waiting.append(due_s)

    def request_succeeded(self, connection: LoadConnection) -> None:
        """Record a success and reuse the connection."""
        self.succeeded += 1
        self.latencies.record_value(max(1, int((self.now_s() - connection.due_s) * 1e6)))
        self._connection_idle(connection)

    def request_failed(self, connection: LoadConnection) -> None:
        """Record a failure and reuse the connection."""
        self.failed += 1
        self._connection_idle(connection)

    def _connection_idle(self, connection: LoadConnection) -> None:
        if self.stopped:
            return
        if self.closed_loop:
            connection.send(self.now_s())
        elif self.waiting:
            connection.send(self.waiting.popleft())
        else:
            self.idle.append(connection)

    async def connect(self, port: int, count: int) -> list[LoadConnection]:
        """Open `count` connections to a loopback port; in an open loop they start as idle."""
        loop = asyncio.get_running_loop()
        connections = []
        for _ in range(count):
            _, connection = await loop.create_connection(lambda: LoadConnection(self), "127.0.0.1", port)
            connections.append(connection)
        if not self.closed_loop:
            self.idle.extend(connections)
        return connections

    def latency_ms(self, percentile: float) -> float:
        """Return a latency percentile (0 to 100) in milliseconds."""
        return float(self.latencies.get_value_at_percentile(percentile)) / 1000


async def pace(rate: float, seconds: float, send: Callable[[float], None]) -> float:
    """Call `send` at a constant rate with the time, of `time.perf_counter`, at which each call was due.

    Returns:
        The largest delay of a call after its due time, in seconds.
    """
    start_s = time.perf_counter()
    sent = 0
    max_delay_s = 0.0
    while (now_s := time.perf_counter()) < start_s + seconds:
        while sent < (now_s - start_s) * rate:
            due_s = start_s + sent / rate
            sent += 1
            max_delay_s = max(max_delay_s, time.perf_counter() - due_s)
            send(due_s)
        await asyncio.sleep(PACE_STEP_S)
    return max_delay_s


async def run_http_load(port: int, connections: int, seconds: float, rate: float = 0.0) -> HttpLoad:
    """Run a load for `seconds`: an open loop of `rate` requests per second, or a closed loop if it is 0."""
    load = HttpLoad(closed_loop=rate <= 0)
    opened = await load.connect(port, connections)
    if load.closed_loop:
        for connection in opened:
            connection.send(load.now_s())
        await asyncio.sleep(seconds)
    else:
        await pace(rate, seconds, load.offer)
    load.stopped = True
    await asyncio.sleep(RESPONSE_GRACE_S)
    for connection in opened:
        connection.transport.abort()
    return load
