"""Memory of the gateway while many requests with long bodies are in flight to servers of the newer format.

Clients of the older format (HTTP/1.1) send long request bodies at the same time. The servers, in several
processes, respond once no further body has arrived for `QUIET_S`, each with a body of the same length, which
the clients read slowly. The resident memory of the gateway process is sampled throughout.
"""

from __future__ import annotations

import asyncio
import subprocess
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, NamedTuple

import h2.events
import h2.exceptions
import uvloop

from sagetrack.grpc.calls_pb2 import Answer
from sagetrack.grpc.messages import pack
from sagetrack.lab.benchmarks.gateway_files import (
    GATEWAY_COMMAND,
    NEWER_OPERATOR_SETTINGS,
    NEWER_TYPE,
    gateway_configuration,
    gateway_environment,
)
from sagetrack.lab.benchmarks.measured_process import (
    forked_process,
    measured_process,
    open_servers,
    wait_until_listening,
)
from sagetrack.lab.processes.child_process import require_file_descriptors
from sagetrack.lab.processes.resource_usage import free_port, memory_mb
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection

CHUNK_BYTES = 16_000  # of a body that are sent or read at once
REQUEST_HEAD = (
    b"GET /lookup/1 HTTP/1.1\r\nHost: g\r\nX-Call-Id: b%x\r\nX-Call-Class: lookup\r\n"
    b"X-Caller: acme\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
)
TIMEOUT_S = 300.0  # of every request and of the whole round
QUIET_S = 3.0  # time without a further request body after which all are taken to have arrived
CONNECT_S = 1.0  # time allowed for all clients to connect
SAMPLE_INTERVAL_S = 0.02
READ_INTERVAL_S = 0.001  # pause of a client between two reads
# A single process is slower than the gateway, which would then consider its servers dead.
SERVER_PROCESSES = 4
MIN_SERVERS = 8
REQUESTS_PER_SERVER = 2
MEMORY_LIMIT_MB = 1024


@dataclass(slots=True, frozen=True)
class MemoryUse:
    """Results of one round. Memory is the resident set size of the gateway process."""

    streams: int
    body_kb: int
    complete: int  # number of responses of the full length
    idle_mb: float  # with all connections open, before the first body
    sending_mb: float  # maximum until the servers had received all request bodies
    peak_mb: float
    per_stream_kb: float  # difference between peak and idle memory, per stream
    seconds: float


class _BodySink(GrpcServerConnection):
    """A server that discards request bodies and generates response bodies chunk by chunk."""

    def __init__(self, on_call: Callable[[GrpcServerConnection, GrpcRequest], None]) -> None:
        super().__init__(on_call)
        self.bytes_left: dict[int, int] = {}  # remaining length of the response body, by stream id

    def on_event(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.DataReceived):
            self.h2.acknowledge_received_data(event.flow_controlled_length or 0, event.stream_id or 0)
        else:
            super().on_event(event)

    def respond_long(self, request: GrpcRequest, size: int) -> None:
        """Respond with a body of `size` bytes, sent as the flow control windows allow."""
        request.outgoing += pack(Answer(length=size).SerializeToString())
        self.bytes_left[request.stream_id] = size
        request.trailers = [("grpc-status", "0")]
        self.send_head(request)
        self.send_pending(request)

    def send_pending(self, request: GrpcRequest) -> None:
        while not request.is_closed and request.trailers is not None:
            self._make_chunk(request)
            try:
                if not request.outgoing:
                    self.h2.send_headers(request.stream_id, request.trailers, end_stream=True)
                    self.close_stream(request)
                    return
                window = self.h2.local_flow_control_window(request.stream_id)
                size = min(window, self.h2.max_outbound_frame_size)
                if size <= 0:
                    self.flush()
                    return
                self.h2.send_data(request.stream_id, bytes(request.outgoing[:size]))
                del request.outgoing[:size]
            except h2.exceptions.H2Error:
                request.is_closed = True

    def _make_chunk(self, request: GrpcRequest) -> None:
        bytes_left = self.bytes_left.get(request.stream_id, 0)
        if request.outgoing or not bytes_left:
            return
        size = min(bytes_left, CHUNK_BYTES)
        self.bytes_left[request.stream_id] = bytes_left - size
        request.outgoing += pack(Answer(body=bytes(size)).SerializeToString())


class _DelayedResponses:
    """Holds the requests of one server process until none has arrived for `QUIET_S`, then responds to all."""

    def __init__(self, size: int, pipe: Connection) -> None:
        self.size = size
        self.pipe = pipe
        self.loop = asyncio.get_running_loop()
        self.unanswered: list[tuple[_BodySink, GrpcRequest]] = []
        self.timer: asyncio.TimerHandle | None = None

    def take(self, connection: GrpcServerConnection, request: GrpcRequest) -> None:
        """Hold a request whose body has arrived completely."""
        assert isinstance(connection, _BodySink)
        self.unanswered.append((connection, request))
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(QUIET_S, self._respond_to_all)

    def _respond_to_all(self) -> None:
        self.pipe.send("all")
        for connection, request in self.unanswered:
            connection.respond_long(request, self.size)
        self.unanswered.clear()


def _serve(count: int, size: int, pipe: Connection) -> None:
    """Run servers and a discovery that never responds until killed.

    Sends the ports through the pipe first, then a message each time that all request bodies have arrived.
    """

    async def main() -> None:
        responses = _DelayedResponses(size, pipe)
        ports = await open_servers(lambda: _BodySink(responses.take), count, backlog=64)
        (discovery_port,) = await open_servers(asyncio.Protocol, 1)
        pipe.send((ports, discovery_port))
        await asyncio.Event().wait()

    uvloop.run(main())


async def _send_and_read(port: int, number: int, size: int, begin: asyncio.Event) -> int:
    """Send a request body and slowly read the response; returns the length of the response body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=16 * 1024)
    try:
        await begin.wait()
        writer.write(REQUEST_HEAD % (number, size))
        for start in range(0, size, CHUNK_BYTES):
            writer.write(bytes(min(CHUNK_BYTES, size - start)))
            await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            return 0
        received = 0
        while data := await reader.read(CHUNK_BYTES):
            received += len(data)
            await asyncio.sleep(READ_INTERVAL_S)
        return received
    except (OSError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.transport.abort()


class _Gateway(NamedTuple):
    """The gateway process under test, and the pipes of the server processes behind it."""

    pid: int
    port: int
    server_pipes: list[Connection]  # each is readable once its process has received all request bodies

    def all_bodies_received(self) -> bool:
        return any(pipe.poll() for pipe in self.server_pipes)


def _configuration(port: int, server_ports: list[int], discovery_port: int, streams: int) -> dict[str, Any]:
    configuration = gateway_configuration(port, server_ports, discovery_port, free_port(), NEWER_TYPE)
    configuration["limits"] = {
        "cores": 1.0,
        "memory_mb": MEMORY_LIMIT_MB,
        "sockets": 4 * streams + 1000,
    }
    for lane in configuration["settings"]["lanes"]:
        lane["aimUs"] = int(TIMEOUT_S * 1e6)
        lane["giveUpUs"] = int(TIMEOUT_S * 1e6)
    return configuration


def measure(streams: int, body_kb: int, progress: Callable[[float], None]) -> MemoryUse:
    """Measure one round.

    Args:
        streams: number of concurrent requests.
        body_kb: length of each request body and each response body, in kilobytes.
        progress: called with the share of requests that have ended.

    Raises:
        LabError: the gateway does not start, or the limit of file descriptors is too low.
    """
    require_file_descriptors(4 * streams + 2000)
    size = body_kb * 1000
    servers_needed = max(MIN_SERVERS, -(-streams // REQUESTS_PER_SERVER))
    server_count = servers_needed // SERVER_PROCESSES
    with ExitStack() as stack:
        server_ports: list[int] = []
        discovery_port = 0
        pipes = []
        for _ in range(SERVER_PROCESSES):
            pipe = stack.enter_context(forked_process(_serve, server_count, size))
            pipes.append(pipe)
            ports, discovery_port = pipe.recv()
            server_ports += ports
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="sagetrack-lab-")))
        port = free_port()
        configuration = _configuration(port, server_ports, discovery_port, streams)
        environment = gateway_environment(folder, configuration, NEWER_OPERATOR_SETTINGS)
        process: subprocess.Popen[bytes] = stack.enter_context(
            measured_process(GATEWAY_COMMAND, environment, stderr=None)
        )
        wait_until_listening(port, process)
        return uvloop.run(_run_round(_Gateway(process.pid, port, pipes), streams, size, progress))


async def _run_round(
    gateway: _Gateway, streams: int, size: int, progress: Callable[[float], None]
) -> MemoryUse:
    begin = asyncio.Event()
    clients = [
        asyncio.create_task(_send_and_read(gateway.port, number, size, begin)) for number in range(streams)
    ]
    await asyncio.sleep(CONNECT_S)  # so that the idle memory includes the open connections
    idle_mb = peak_mb = sending_mb = memory_mb(gateway.pid)
    start_s = time.monotonic()
    begin.set()
    all_sent = False
    while not all(task.done() for task in clients) and time.monotonic() - start_s < TIMEOUT_S:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        now_mb = memory_mb(gateway.pid)
        peak_mb = max(peak_mb, now_mb)
        all_sent = all_sent or gateway.all_bodies_received()
        if not all_sent:
            sending_mb = max(sending_mb, now_mb)
        progress(sum(task.done() for task in clients) / streams)
    for task in clients:
        task.cancel()
    lengths = await asyncio.gather(*clients, return_exceptions=True)
    return MemoryUse(
        streams=streams,
        body_kb=size // 1000,
        complete=sum(length == size for length in lengths),
        idle_mb=round(idle_mb, 1),
        sending_mb=round(sending_mb, 1),
        peak_mb=round(peak_mb, 1),
        per_stream_kb=round((peak_mb - idle_mb) * 1000 / streams, 1),
        seconds=round(time.monotonic() - start_s, 1),
    )
