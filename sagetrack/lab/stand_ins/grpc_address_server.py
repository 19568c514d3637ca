"""The server side of gRPC connections from gateways to a simulated upstream server."""

from __future__ import annotations

import asyncio

from sagetrack.grpc.metadata import parse_timeout_us
from sagetrack.lab.model.server import Job, Result
from sagetrack.lab.stand_ins.address_server import AddressServer
from sagetrack.lab.stand_ins.grpc_server import OK_TRAILERS, GrpcRequest, GrpcServerConnection

# gRPC status codes
INVALID_ARGUMENT = 3
RESOURCE_EXHAUSTED = 8
INTERNAL = 13

CORRUPT_MESSAGE = b"\x09nonsense"


class GrpcAddressServerConnection(GrpcServerConnection):
    """The server side of one connection. Its concurrent streams share one simulated server."""

    def __init__(self, server: AddressServer, gateway: int) -> None:
        super().__init__(self._on_complete_request)
        self.server = server
        self.gateway = gateway
        self.jobs: dict[GrpcRequest, Job] = {}
        self.is_new = True  # until its first request arrives
        self.on_reset = self._cancel
        self.on_lost = lambda: server.connections.discard(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server's open connections."""
        self.server.connections.add(self)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Handle received data, or drop it if a fault prevents it from reaching the server."""
        if self.server.receives_from(self.gateway):
            super().data_received(data)

    def _on_complete_request(self, connection: GrpcServerConnection, request: GrpcRequest) -> None:
        """Submit a request to the model after the network delay."""
        attempt = self.server.attempts.get(request.headers.get("x-call-id", ""))
        if attempt is None:
            self.trailers_only(request, INVALID_ARGUMENT, grpc_message="no such call")
            return
        now_us = self.server.world.clock.now_us()
        deadline_us = now_us + parse_timeout_us(request.headers.get("grpc-timeout", "1u"))
        job = self.server.new_job(
            attempt, self.is_new, deadline_us, lambda job, result: self._on_job_done(request, result)
        )
        self.jobs[request] = job
        self.server.after_network_delay(
            self.gateway, lambda: self._deliver(request, job, now_us), self.is_new
        )
        self.is_new = False

    def _deliver(self, request: GrpcRequest, job: Job, sent_us: int) -> None:
        if not job.ended and not request.is_closed:
            self.server.deliver(job, self.gateway, sent_us)

    def _on_job_done(self, request: GrpcRequest, result: Result) -> None:
        self.jobs.pop(request, None)
        self.server.after_network_delay(self.gateway, lambda: self._send_result(request, result))

    def _send_result(self, request: GrpcRequest, result: Result) -> None:
        if request.is_closed or not self.server.is_connected_to(self.gateway):
            return
        match result:
            case Result.SERVED:
                self.respond(request)
            case Result.REJECTED:
                self.trailers_only(request, RESOURCE_EXHAUSTED, x_rejected="1", grpc_retry_pushback_ms="50")
            case Result.RESET:
                self.reset(request)
            case Result.MALFORMED:
                request.outgoing += CORRUPT_MESSAGE
                self.send_head(request)
                request.trailers = OK_TRAILERS
                self.send_pending(request)
            case _:
                self.trailers_only(request, INTERNAL)

    def _cancel(self, request: GrpcRequest) -> None:
        job = self.jobs.pop(request, None)
        if job is not None:
            self.server.cancel(job)
