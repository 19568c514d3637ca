"""Spoofed DNS answers beside the true ones: from the upstream server's own address, and from another one."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import uvloop

from sagetrack.lab.benchmarks.dns_load import answer_to
from sagetrack.lab.benchmarks.gateway_files import gateway_configuration
from sagetrack.lab.benchmarks.measured_process import await_dns_answer
from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.repository import ROOT
from sagetrack.lab.stand_ins.dns_clients import wire_query

GENUINE_ADDRESS = answer_to(wire_query("a.example", 0))[-4:]
SPOOFED_ADDRESS = b"\xc6\x33\x64\x42"  # 198.51.100.66
QUERIES_PER_S = 100
SEND_INTERVAL_S = 0.005  # between checks whether a query is due
LAST_RESPONSES_WAIT_S = 0.5  # for those on their way at the end


@dataclass(slots=True)
class SpoofingReport:
    """What was sent, and what reached the client."""

    sent: int = 0  # spoofed answers
    seconds: float = 0.0
    queries: int = 0
    genuine_responses: int = 0
    accepted: int = 0  # spoofed answers that a client was given


class _SpoofingUpstream(asyncio.DatagramProtocol):
    """An upstream server whose address sends spoofed answers ahead of the true one."""

    def __init__(self, spoofed_per_query: int, report: SpoofingReport) -> None:
        self.spoofed_per_query = spoofed_per_query
        self.report = report
        self.other_address = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.other_address.bind(("127.0.0.1", 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        genuine_response = answer_to(data)
        for number in range(self.spoofed_per_query):
            spoofed = bytearray(genuine_response[:-4] + SPOOFED_ADDRESS)
            match number % 3:
                case 0:
                    other_id = int.from_bytes(data[:2]) + 1 + number & 0xFFFF
                    spoofed[0:2] = other_id.to_bytes(2)
                    self.transport.sendto(bytes(spoofed), addr)
                case 1:
                    spoofed[13] ^= 0x01  # another question
                    self.transport.sendto(bytes(spoofed), addr)
                case _:
                    self.other_address.sendto(bytes(spoofed), addr)  # wrong in its source address alone
            self.report.sent += 1
        self.transport.sendto(genuine_response, addr)

    def connection_lost(self, exc: Exception | None) -> None:
        self.other_address.close()


class _Client(asyncio.DatagramProtocol):
    """Counts the true and the spoofed answers that it is given."""

    def __init__(self, report: SpoofingReport) -> None:
        self.report = report

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.report.genuine_responses += data[-4:] == GENUINE_ADDRESS
        self.report.accepted += SPOOFED_ADDRESS in data


@dataclass(slots=True, frozen=True)
class _GatewayUnderTest:
    """A gateway process with a DNS port, its files in a folder."""

    folder: Path
    dns_port: int

    @contextmanager
    def running(self, upstream_port: int) -> Iterator[subprocess.Popen[bytes]]:
        """Start it with this upstream server; it is killed at the end."""
        config = self.folder / "config.json"
        operator = self.folder / "operator.toml"
        config.write_text(
            json.dumps(gateway_configuration(free_port(), [free_port()], free_port(), free_port()))
        )
        operator.write_text(
            f'[dns]\nlisten = ["127.0.0.1:{self.dns_port}"]\nupstreams = ["127.0.0.1:{upstream_port}"]\n'
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "sagetrack"],
            cwd=ROOT,
            env=os.environ
            | {
                "PYTHONPATH": str(ROOT),
                "TMPDIR": str(self.folder),
                "LB_CONFIG": str(config),
                "LB_OPERATOR": str(operator),
            },
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()


def spoof(
    spoofed_per_s: int, seconds: float, progress: Callable[[float], None] = lambda share: None
) -> SpoofingReport:
    """Send so many spoofed answers a second to a gateway of its own, for so long.

    Raises:
        LabError: the gateway does not answer.
    """
    report = SpoofingReport()
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        gateway = _GatewayUnderTest(Path(folder), free_port())
        uvloop.run(_spoof(gateway, spoofed_per_s, seconds, report, progress))
    return report


async def _spoof(
    gateway: _GatewayUnderTest,
    spoofed_per_s: int,
    seconds: float,
    report: SpoofingReport,
    progress: Callable[[float], None],
) -> None:
    loop = asyncio.get_running_loop()
    spoofed_per_query = max(1, round(spoofed_per_s / QUERIES_PER_S))
    upstream, _ = await loop.create_datagram_endpoint(
        lambda: _SpoofingUpstream(spoofed_per_query, report), ("127.0.0.1", 0)
    )
    client, _ = await loop.create_datagram_endpoint(
        lambda: _Client(report), remote_addr=("127.0.0.1", gateway.dns_port)
    )
    try:
        with gateway.running(upstream.get_extra_info("sockname")[1]) as process:
            await asyncio.to_thread(await_dns_answer, gateway.dns_port, process)
            report.sent = 0
            await _send_queries(client, seconds, report, progress)
            await asyncio.sleep(LAST_RESPONSES_WAIT_S)
    finally:
        upstream.close()
        client.close()


async def _send_queries(
    client: asyncio.DatagramTransport,
    seconds: float,
    report: SpoofingReport,
    progress: Callable[[float], None],
) -> None:
    """Send queries for new names at a constant rate."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    while (elapsed_s := loop.time() - start) < seconds:
        while report.queries < elapsed_s * QUERIES_PER_S:
            report.queries += 1
            client.sendto(wire_query(f"n{report.queries}.example", report.queries % 65_536))
        progress(elapsed_s / seconds)
        await asyncio.sleep(SEND_INTERVAL_S)
    report.seconds = loop.time() - start
