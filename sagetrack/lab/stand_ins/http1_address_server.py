"""The server side of HTTP/1.1 connections from gateways to a simulated upstream server."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from sagetrack.lab.model.server import Job, Result
from sagetrack.lab.stand_ins.address_server import AddressServer
from sagetrack.lab.stand_ins.http1_parser import Http1Message, Http1Parser

RESPONSE_BODY = b"x" * 64
UNKNOWN_CALL = b"HTTP/1.1 400 No Such Call\r\nContent-Length: 0\r\n\r\n"
RESPONSES = {
    Result.SERVED: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(RESPONSE_BODY), RESPONSE_BODY),
    Result.ERROR: b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
    Result.REJECTED: b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
    Result.MALFORMED: b"HTP/9 nonsense\x00\x01\r\n\r\n" + RESPONSE_BODY,
}


class Http1ServerConnection(asyncio.Protocol):
    """The server side of one connection, which carries one request at a time."""

    def __init__(self, server: AddressServer, gateway: int) -> None:
        self.server = server
        self.gateway = gateway
        self.transport: asyncio.Transport | None = None
        self.parser = Http1Parser(True, self.on_request)
        self.job: Job | None = None
        self.is_new = True  # until its first request arrives
        self.idle_timer: asyncio.TimerHandle | None = None
        self.first_byte_us: int | None = None  # arrival time of the current request's first byte

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server's open connections; abort if the server's connection limit is exceeded."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        if len(self.server.connections) > self.server.world.scenario.fleet.connections:
            self.transport.abort()
            return
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        idle_s = self.server.world.scenario.fleet.idle_s
        self.idle_timer = asyncio.get_running_loop().call_later(idle_s, self._close)

    def _cancel_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse part of a request, or drop it if a fault prevents it from reaching the server."""
        if self.first_byte_us is None:
            self.first_byte_us = self.server.world.clock.now_us()
        if not self.server.receives_from(self.gateway):
            return
        try:
            self.parser.feed(data)
        except httptools.HttpParserError:
            self._abort()

    def on_request(self, message: Http1Message, keeps_alive: bool) -> None:
        """Submit a complete request to the model after the network delay."""
        self._cancel_idle_timer()
        call_id = message.headers.get(b"x-call-id", b"").decode("latin-1")
        attempt = self.server.attempts.get(call_id)
        if attempt is None:
            self._respond(UNKNOWN_CALL)
            return
        assert self.first_byte_us is not None
        sent_us = self.first_byte_us
        self.first_byte_us = None
        budget_us = int(message.headers.get(b"x-budget-ms", b"0") or 0) * 1000
        job = self.server.new_job(attempt, self.is_new, sent_us + budget_us, self._on_job_done)
        self.job = job
        self.server.after_network_delay(self.gateway, lambda: self._deliver(job, sent_us), self.is_new)
        self.is_new = False

    def _deliver(self, job: Job, sent_us: int) -> None:
        if not job.ended and self.job is job:
            self.server.deliver(job, self.gateway, sent_us)

    def _on_job_done(self, job: Job, result: Result) -> None:
        if self.job is not job:
            return
        self.job = None
        if result is Result.RESET:
            self._abort()
            return
        data = RESPONSES[result]
        self.server.after_network_delay(self.gateway, lambda: self._respond(data))

    def _respond(self, data: bytes) -> None:
        if self.transport is not None and self.server.is_connected_to(self.gateway):
            self.transport.write(data)
            self._start_idle_timer()

    def eof_received(self) -> bool:
        """Close the connection when the gateway has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister from the server and cancel the job in progress."""
        self.transport = None
        self.server.connections.discard(self)
        self._cancel_idle_timer()
        job = self.job
        self.job = None
        if job is not None:
            self.server.cancel(job)
