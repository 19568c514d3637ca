"""Process management for benchmarks: starting the measured process and stand-in servers, and CPU pinning."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import socket
import subprocess
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from sagetrack.lab.errors import LabError
from sagetrack.lab.repository import ROOT
from sagetrack.lab.stand_ins.dns_clients import wire_query

START_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 1.0
PORT_POLL_S = 0.01
DNS_POLL_S = 0.02
DNS_RESPONSE_TIMEOUT_S = 0.1
MAX_DNS_RESPONSE_BYTES = 600


def require_cores(count: int, reason: str) -> list[int]:
    """Return the CPU cores in this process's affinity mask, in ascending order.

    Raises:
        LabError: fewer than `count` cores are available; the message ends with `reason`.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < count:
        raise LabError(f"not enough CPU cores ({len(cores)} available): {reason}")
    return cores


@contextmanager
def pinned_to(core: int) -> Iterator[None]:
    """Pin this process to one core while the block runs, then restore its previous affinity."""
    cores_before = os.sched_getaffinity(0)
    os.sched_setaffinity(0, {core})
    try:
        yield
    finally:
        os.sched_setaffinity(0, cores_before)


@contextmanager
def forked_process(target: Callable[..., None], *arguments: Any) -> Iterator[Connection]:
    """Run `target(*arguments, pipe)` in a forked process, and kill the process when the block ends.

    Yields:
        The parent's end of the pipe.
    """
    context = multiprocessing.get_context("fork")
    parent_end, child_end = context.Pipe()
    process = context.Process(target=target, args=(*arguments, child_end), daemon=True)
    process.start()
    try:
        yield parent_end
    finally:
        process.kill()
        process.join()


async def open_servers(make: Callable[[], asyncio.Protocol], count: int, backlog: int = 100) -> list[int]:
    """Listen on `count` loopback ports until the event loop stops, and return the port numbers."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(count):
        server = await loop.create_server(make, "127.0.0.1", 0, backlog=backlog)
        ports.append(int(server.sockets[0].getsockname()[1]))
    return ports


@contextmanager
def measured_process(
    command: list[str],
    environment: Mapping[str, str],
    core: int | None = None,
    folder: Path = ROOT,
    stdout: int | None = subprocess.DEVNULL,
    stderr: int | None = subprocess.DEVNULL,
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a command in `folder`, pinned to `core` if given, and kill it when the block ends."""
    process = subprocess.Popen(command, cwd=folder, env=environment, stdout=stdout, stderr=stderr)
    try:
        if core is not None:
            os.sched_setaffinity(process.pid, {core})
        yield process
    finally:
        process.kill()
        process.wait()


def wait_until_listening(port: int, process: subprocess.Popen[bytes]) -> None:
    """Wait until the process accepts TCP connections on a loopback port.

    Raises:
        LabError: the process exited, or did not listen within `START_TIMEOUT_S`.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline and process.poll() is None:
        try:
            socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S).close()
            return
        except OSError:
            time.sleep(PORT_POLL_S)
    raise LabError("the measured process exited or did not listen on its TCP port in time")


def wait_for_dns_response(port: int, process: subprocess.Popen[bytes]) -> None:
    """Wait until the process responds to a DNS query over UDP on a loopback port.

    Raises:
        LabError: the process exited, or did not respond within `START_TIMEOUT_S`.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.settimeout(DNS_RESPONSE_TIMEOUT_S)
        while time.monotonic() < deadline and process.poll() is None:
            try:
                probe.sendto(wire_query("ready.example", 1), ("127.0.0.1", port))
                probe.recv(MAX_DNS_RESPONSE_BYTES)
                return
            except OSError:
                time.sleep(DNS_POLL_S)
    raise LabError("the measured process exited or did not respond to DNS queries in time")
