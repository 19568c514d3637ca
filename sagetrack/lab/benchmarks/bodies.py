"""Memory of the gateway while many calls with long bodies are under way to servers of the newer format.

Clients of the older format send so many bodies at once; servers, in several processes, answer when no more
have come for a while, each with as long a body, and the clients read slowly. The gateway is a process of its
own, whose resident memory is looked at all the time.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import h2.events
import h2.exceptions
import uvloop

from sagetrack.grpc.calls_pb2 import Answer
from sagetrack.grpc.messages import pack
from sagetrack.lab.benchmarks.throughput import configuration
from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.child_process import require_file_descriptors
from sagetrack.lab.processes.resource_usage import free_port, memory_mb
from sagetrack.lab.repository import ROOT
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection

PIECE = 16_000  # of an answer's body
HEAD = (
    b"GET /lookup/1 HTTP/1.1\r\nHost: g\r\nX-Call-Id: b%x\r\nX-Call-Class: lookup\r\n"
    b"X-Caller: acme\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
)
WAIT_S = 300.0
QUIET_S = 3.0  # without a further body: all have come
PROCESSES = 4  # of servers: one alone is slower than the gateway, which takes it for dead


@dataclass(slots=True, frozen=True)
class Held:
    """What it came to. Megabytes are resident ones of the gateway."""

    streams: int
    body_kb: int
    whole: int  # answers of the full length
    idle_mb: float  # connections open, before the first body
    sending_mb: float  # the most until all bodies had come
    peak_mb: float
    each_kb: float  # what is above idle, for each stream
    seconds: float


class _Sink(GrpcServerConnection):
    """A server that keeps no body, and makes its own answer as it goes."""

    def __init__(self, on_call: Callable[[GrpcServerConnection, GrpcRequest], None]) -> None:
        super().__init__(on_call)
        self.left: dict[int, int] = {}

    def on_event(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.DataReceived):
            self.h2.acknowledge_received_data(event.flow_controlled_length or 0, event.stream_id or 0)
        else:
            super().on_event(event)

    def answer_long(self, request: GrpcRequest, size: int) -> None:
        request.outgoing += pack(Answer(length=size).SerializeToString())
        self.left[request.stream_id] = size
        request.trailers = [("grpc-status", "0")]
        self.send_head(request)
        self.send_pending(request)

    def send_pending(self, request: GrpcRequest) -> None:
        while not request.is_closed and request.trailers is not None:
            left = self.left.get(request.stream_id, 0)
            if not request.outgoing and left:
                size = min(left, PIECE)
                self.left[request.stream_id] = left - size
                request.outgoing += pack(Answer(body=bytes(size)).SerializeToString())
            try:
                if not request.outgoing:
                    self.h2.send_headers(request.stream_id, request.trailers, end_stream=True)
                    self.close_stream(request)
                    return
                window = self.h2.local_flow_control_window(request.stream_id)
                room = min(window, self.h2.max_outbound_frame_size)
                if room <= 0:
                    self.flush()
                    return
                self.h2.send_data(request.stream_id, bytes(request.outgoing[:room]))
                del request.outgoing[:room]
            except h2.exceptions.H2Error:
                request.is_closed = True


def _serve(ports: int, size: int, pipe: Any) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        held: list[tuple[_Sink, GrpcRequest]] = []
        due: asyncio.TimerHandle | None = None

        def take(connection: GrpcServerConnection, request: GrpcRequest) -> None:
            nonlocal due
            assert isinstance(connection, _Sink)
            held.append((connection, request))
            if due is not None:
                due.cancel()
            due = loop.call_later(QUIET_S, answer)

        def answer() -> None:
            pipe.send("all")
            for one, its in held:
                one.answer_long(its, size)
            held.clear()

        found = []
        for _ in range(ports):
            server = await loop.create_server(lambda: _Sink(take), "127.0.0.1", 0, backlog=64)
            found.append(server.sockets[0].getsockname()[1])
        silent = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        pipe.send((found, silent.sockets[0].getsockname()[1]))
        await asyncio.Event().wait()

    uvloop.run(main())


async def _client(port: int, number: int, size: int, begin: asyncio.Event) -> int:
    """Send a long body and read a long answer, both without haste; returns the answer's bytes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=16 * 1024)
    try:
        await begin.wait()
        writer.write(HEAD % (number, size))
        for at in range(0, size, PIECE):
            writer.write(bytes(min(PIECE, size - at)))
            await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            return 0
        got = 0
        while data := await reader.read(PIECE):
            got += len(data)
            await asyncio.sleep(0.001)
        return got
    except (OSError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.transport.abort()


def measure(streams: int, body_kb: int, progress: Callable[[float], None]) -> Held:
    """One round; LabError if the gateway does not come up."""
    require_file_descriptors(4 * streams + 2000)
    size = body_kb * 1000
    context = multiprocessing.get_context("fork")
    here, there = context.Pipe()
    count = max(8, -(-streams // 2)) // PROCESSES  # a server holds no more than a few calls
    make = context.Process
    servers = [make(target=_serve, args=(count, size, there), daemon=True) for _ in range(PROCESSES)]
    try:
        ports, discovery = [], 0
        for process in servers:  # one at a time: they share the pipe
            process.start()
            found, discovery = here.recv()
            ports += found
        with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
            port, file, operator = free_port(), Path(folder) / "config.json", Path(folder) / "operator.toml"
            made = configuration(port, ports, discovery, free_port(), "newer")
            made["limits"] = {"cores": 1.0, "memory_mb": 1024, "sockets": 4 * streams + 1000}
            for lane in made["settings"]["lanes"]:
                lane["aimUs"] = lane["giveUpUs"] = int(WAIT_S * 1e6)
            file.write_text(json.dumps(made))
            operator.write_text('[newer]\ntypes = ["newer"]\n')
            environment = os.environ | {
                "LB_CONFIG": str(file),
                "LB_OPERATOR": str(operator),
                "PYTHONPATH": str(ROOT),
                "TMPDIR": folder,
            }
            command = [sys.executable, "-m", "sagetrack"]
            gateway = subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL)
            try:
                return uvloop.run(_play(gateway.pid, port, streams, size, here, progress))
            finally:
                gateway.kill()
                gateway.wait()
    finally:
        for process in servers:
            if process.pid is not None:
                os.kill(process.pid, signal.SIGKILL)
                process.join()


async def _up(port: int) -> None:
    end = time.monotonic() + 10
    while time.monotonic() < end:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.02)
        else:
            writer.close()
            return
    raise LabError("the gateway does not listen")


async def _play(
    pid: int, port: int, streams: int, size: int, pipe: Any, progress: Callable[[float], None]
) -> Held:
    await _up(port)
    begin = asyncio.Event()
    clients = [asyncio.create_task(_client(port, n, size, begin)) for n in range(streams)]
    await asyncio.sleep(1.0)  # all connect, and none has sent: what is measured from is a busy gateway's
    idle = peak = sending = memory_mb(pid)
    began = time.monotonic()
    begin.set()
    whole_sent = False
    while not all(task.done() for task in clients) and time.monotonic() - began < WAIT_S:
        await asyncio.sleep(0.02)
        now = memory_mb(pid)
        peak = max(peak, now)
        whole_sent = whole_sent or pipe.poll()
        if not whole_sent:
            sending = max(sending, now)
        progress(sum(task.done() for task in clients) / streams)
    for task in clients:
        task.cancel()
    answers = await asyncio.gather(*clients, return_exceptions=True)
    whole = sum(answer == size for answer in answers)
    return Held(
        streams,
        size // 1000,
        whole,
        round(idle, 1),
        round(sending, 1),
        round(peak, 1),
        round((peak - idle) * 1000 / streams, 1),
        round(time.monotonic() - began, 1),
    )
