"""Spoofed DNS responses to a gateway, sent from its upstream server's address and from another one."""

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

from sagetrack.lab.benchmarks.dns_load import response_to
from sagetrack.lab.benchmarks.gateway_files import gateway_configuration
from sagetrack.lab.benchmarks.measured_process import wait_for_dns_response
from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.repository import ROOT
from sagetrack.lab.stand_ins.dns_clients import wire_query

GENUINE_ADDRESS = response_to(wire_query("a.example", 0))[-4:]
SPOOFED_ADDRESS = b"\xc6\x33\x64\x42"  # 198.51.100.66
QUERIES_PER_S = 100
SEND_INTERVAL_S = 0.005  # interval at which due queries are sent
LAST_RESPONSES_WAIT_S = 0.5  # time to wait for responses after the last query


@dataclass(slots=True)
class SpoofingReport:
    """Numbers of queries and spoofed responses sent, and of responses that reached the client."""

    sent: int = 0  # spoofed responses
    seconds: float = 0.0
    queries: int = 0
    genuine_responses: int = 0
    accepted: int = 0  # spoofed responses that the gateway accepted and sent to the client


class _SpoofingUpstream(asyncio.DatagramProtocol):
    """An upstream server that sends spoofed responses ahead of each genuine one."""

    def __init__(self, spoofed_per_query: int, report: SpoofingReport) -> None:
        self.spoofed_per_query = spoofed_per_query
        self.report = report
        self.other_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.other_socket.bind(("127.0.0.1", 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        genuine_response = response_to(data)
        for number in range(self.spoofed_per_query):
            spoofed = bytearray(genuine_response[:-4] + SPOOFED_ADDRESS)
            match number % 3:
                case 0:
                    other_id = int.from_bytes(data[:2]) + 1 + number & 0xFFFF
                    spoofed[0:2] = other_id.to_bytes(2)
                    self.transport.sendto(bytes(spoofed), addr)
                case 1:
                    spoofed[13] ^= 0x01  # changes the name in the question
                    self.transport.sendto(bytes(spoofed), addr)
                case _:
                    self.other_socket.sendto(bytes(spoofed), addr)  # only the source address is wrong
            self.report.sent += 1
        self.transport.sendto(genuine_response, addr)

    def connection_lost(self, exc: Exception | None) -> None:
        self.other_socket.close()


class _Client(asyncio.DatagramProtocol):
    """A DNS client that counts the genuine and the spoofed responses that it receives."""

    def __init__(self, report: SpoofingReport) -> None:
        self.report = report

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.report.genuine_responses += data[-4:] == GENUINE_ADDRESS
        self.report.accepted += SPOOFED_ADDRESS in data


@dataclass(slots=True, frozen=True)
class _GatewayUnderTest:
    """A gateway process that listens on a DNS port and keeps its files in a folder."""

    folder: Path
    dns_port: int

    @contextmanager
    def running(self, upstream_port: int) -> Iterator[subprocess.Popen[bytes]]:
        """Run the gateway with an upstream DNS server on this port; it is killed at the end."""
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
    """Send spoofed responses to a gateway process that is started for this purpose.

    Args:
        spoofed_per_s: Spoofed responses per second.
        seconds: Duration.
        progress: Called with the share of the duration that has passed.

    Raises:
        LabError: The gateway does not respond.
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
            await asyncio.to_thread(wait_for_dns_response, gateway.dns_port, process)
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
    """Send queries at a constant rate, each for a new name, so that none is served from the cache."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    while (elapsed_s := loop.time() - start) < seconds:
        while report.queries < elapsed_s * QUERIES_PER_S:
            report.queries += 1
            client.sendto(wire_query(f"n{report.queries}.example", report.queries % 65_536))
        progress(elapsed_s / seconds)
        await asyncio.sleep(SEND_INTERVAL_S)
    report.seconds = loop.time() - start
