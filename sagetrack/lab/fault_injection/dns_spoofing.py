"""Forged answers beside the true ones: from the upstream server's own address, and from a stranger's."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
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

TRUE = answer_to(wire_query("a.example", 0))[-4:]
FALSE = b"\xc6\x33\x64\x42"
QUERIES = 100  # a second


@dataclass(slots=True)
class Forged:
    """What came of it."""

    sent: int = 0  # forged answers
    seconds: float = 0.0
    asked: int = 0
    true: int = 0
    false: int = 0  # forged answers that a client was given


class _Forger(asyncio.DatagramProtocol):
    """An upstream server's address, from which forged answers come ahead of the true one."""

    def __init__(self, each: int, found: Forged) -> None:
        self.each, self.found = each, found
        self.stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.stranger.bind(("127.0.0.1", 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        true = answer_to(data)
        for number in range(self.each):
            false = bytearray(true[:-4] + FALSE)
            match number % 3:
                case 0:
                    false[0:2] = (int.from_bytes(data[:2]) + 1 + number & 0xFFFF).to_bytes(2)
                case 1:
                    false[13] ^= 0x01  # another question
                case _:
                    self.stranger.sendto(bytes(false), addr)  # all is right but where it is from
                    self.found.sent += 1
                    continue
            self.transport.sendto(bytes(false), addr)
            self.found.sent += 1
        self.transport.sendto(true, addr)

    def connection_lost(self, exc: Exception | None) -> None:
        self.stranger.close()


class _Client(asyncio.DatagramProtocol):
    def __init__(self, found: Forged) -> None:
        self.found = found

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.found.true += data[-4:] == TRUE
        self.found.false += FALSE in data


def forge(per_s: int, seconds: float, progress: Callable[[float], None] = lambda share: None) -> Forged:
    """Play it against a gateway of its own: so many forged answers a second."""
    found = Forged()

    async def play() -> None:
        loop = asyncio.get_running_loop()
        each = max(1, round(per_s / QUERIES))
        upstream, _ = await loop.create_datagram_endpoint(lambda: _Forger(each, found), ("127.0.0.1", 0))
        client, _ = await loop.create_datagram_endpoint(
            lambda: _Client(found), remote_addr=("127.0.0.1", port)
        )
        place = upstream.get_extra_info("sockname")[1]
        operator.write_text(f'[dns]\nlisten = ["127.0.0.1:{port}"]\nupstreams = ["127.0.0.1:{place}"]\n')
        process = subprocess.Popen(
            [sys.executable, "-m", "sagetrack"],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            await asyncio.to_thread(await_dns_answer, port, process)
            found.sent, start = 0, loop.time()
            while (at := loop.time() - start) < seconds:
                while found.asked < at * QUERIES:
                    found.asked += 1
                    client.sendto(wire_query(f"n{found.asked}.example", found.asked % 65_536))
                progress(at / seconds)
                await asyncio.sleep(0.005)
            found.seconds = loop.time() - start
            await asyncio.sleep(0.5)
        finally:
            process.kill()
            process.wait()
            upstream.close()
            client.close()

    port = free_port()
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        config, operator = Path(folder) / "config.json", Path(folder) / "operator.toml"
        plain = gateway_configuration(free_port(), [free_port()], free_port(), free_port())
        config.write_text(json.dumps(plain))
        environment = os.environ | {
            "PYTHONPATH": str(ROOT),
            "TMPDIR": folder,
            "LB_CONFIG": str(config),
            "LB_OPERATOR": str(operator),
        }
        uvloop.run(play())
    return found
