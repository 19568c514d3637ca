"""Constant-rate HTTP and DNS loads on one gateway, and servers of which one becomes slow during the load.

Each load and each protocol's servers run in a process pinned to its own core, see `mixed_protocols`.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from enum import StrEnum
from multiprocessing.connection import Connection
from typing import Any, NamedTuple, cast

import uvloop

from sagetrack.lab.analysis.figures import latency_histogram
from sagetrack.lab.benchmarks.dns_load import QUERY_IDS, DnsServer, has_answer, query_id, response_to
from sagetrack.lab.benchmarks.http_load import FixedResponseServer, HttpLoad, LoadConnection, pace
from sagetrack.lab.benchmarks.measured_process import open_servers
from sagetrack.lab.stand_ins.dns_clients import wire_query

HTTP_OBJECTIVE_S, DNS_OBJECTIVE_S = 0.25, 0.5  # latency objectives: a response within them is in time
HTTP_SLOW_S, DNS_SLOW_S = 0.4, 1.0  # response delay of the slow server
SLOW_AFTER = 0.3  # share of the load's duration after which one server becomes slow
SERVERS = 8
HTTP_CONNECTIONS = 128
DNS_SOCKETS = 8
RESPONSE_GRACE_S = 2.0  # wait at the end of the load for responses still in transit
MAX_SEND_DELAY_S = 0.02  # a load that sent a request later than this after its due time ran late


class Protocol(StrEnum):
    """Protocol of a load and its servers."""

    HTTP = "http"
    DNS = "dns"


class LoadOutcome(NamedTuple):
    """Outcomes of the requests of one load."""

    sent: int
    in_time_share: float  # share served within the latency objective
    failed_share: float  # share rejected or failed
    lost: int  # requests without any outcome
    p50_ms: float
    p99_ms: float
    is_late: bool  # the load generator fell behind its rate, so the result is unreliable


class _HttpServer(FixedResponseServer):
    def __init__(self, is_slow: Callable[[], bool]) -> None:
        super().__init__()
        self.is_slow = is_slow

    def respond(self) -> None:
        if self.is_slow():
            asyncio.get_running_loop().call_later(HTTP_SLOW_S, self._respond_if_open)
        else:
            self._respond_if_open()

    def _respond_if_open(self) -> None:
        if not self.transport.is_closing():
            super().respond()


class _DnsServer(DnsServer):
    def __init__(self, is_slow: Callable[[], bool]) -> None:
        self.is_slow = is_slow

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.is_slow():
            loop = asyncio.get_running_loop()
            loop.call_later(DNS_SLOW_S, self.transport.sendto, response_to(data), addr)
        else:
            super().datagram_received(data, addr)


def serve(core: int, protocol: Protocol, slow: Any, pipe: Connection) -> None:
    """Run servers until killed, and send their ports through the pipe.

    Args:
        core: CPU core to run on.
        protocol: protocol of the servers.
        slow: shared integer; the first server is slow while it is not 0.
        pipe: receives the list of ports.
    """
    os.sched_setaffinity(0, {core})

    async def open_server(is_slow: Callable[[], bool]) -> int:
        if protocol is Protocol.DNS:
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(lambda: _DnsServer(is_slow), ("127.0.0.1", 0))
            return int(transport.get_extra_info("sockname")[1])
        (port,) = await open_servers(lambda: _HttpServer(is_slow), 1, backlog=256)
        return port

    async def main() -> None:
        ports = [await open_server(lambda: bool(slow.value))]
        for _ in range(SERVERS - 1):
            ports.append(await open_server(lambda: False))
        pipe.send(ports)
        await asyncio.Event().wait()

    uvloop.run(main())


class _ObjectiveHttpLoad(HttpLoad):
    """An open-loop load that also counts the requests served within the latency objective."""

    def __init__(self) -> None:
        super().__init__(closed_loop=False)
        self.offered = 0
        self.in_time = 0

    def offer(self, due_s: float) -> None:
        self.offered += 1
        super().offer(due_s)

    def request_succeeded(self, connection: LoadConnection) -> None:
        self.in_time += self.now_s() - connection.due_s <= HTTP_OBJECTIVE_S
        super().request_succeeded(connection)


async def _run_http_load(port: int, rate: float, seconds: float) -> LoadOutcome:
    load = _ObjectiveHttpLoad()
    connections = await load.connect(port, HTTP_CONNECTIONS)
    max_delay_s = await pace(rate, seconds, load.offer)
    await asyncio.sleep(RESPONSE_GRACE_S)
    load.stopped = True
    for connection in connections:
        connection.transport.abort()
    lost = load.offered - load.succeeded - load.failed
    return _outcome(load.offered, load.in_time, load.failed, lost, load.latencies, max_delay_s)


class _DnsSocket(asyncio.DatagramProtocol):
    """One client socket; its queries are matched to responses by their id."""

    def __init__(self) -> None:
        self.due_s: dict[int, float] = {}  # due times of the queries in flight, by id
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.in_time = 0
        self.latencies = latency_histogram()
        self.name_suffix = f"{time.monotonic_ns():x}"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def send(self, due_s: float) -> None:
        """Send a query; if its id is still in use, the query is not sent and counts as lost."""
        self.sent += 1
        id_ = self.sent % QUERY_IDS
        if id_ not in self.due_s:
            self.due_s[id_] = due_s
            self.transport.sendto(wire_query(f"n{self.sent}.{self.name_suffix}.example", id_))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        due_s = self.due_s.pop(query_id(data), None)
        if due_s is None:
            return
        latency_s = time.perf_counter() - due_s
        self.latencies.record_value(max(1, int(latency_s * 1e6)))
        if has_answer(data):
            self.answered += 1
            self.in_time += latency_s <= DNS_OBJECTIVE_S
        else:
            self.failed += 1


async def _run_dns_load(port: int, rate: float, seconds: float) -> LoadOutcome:
    loop = asyncio.get_running_loop()
    sockets = []
    for _ in range(DNS_SOCKETS):
        _, opened = await loop.create_datagram_endpoint(_DnsSocket, remote_addr=("127.0.0.1", port))
        sockets.append(opened)
    sent = 0

    def send(due_s: float) -> None:
        nonlocal sent
        sent += 1
        sockets[sent % len(sockets)].send(due_s)

    max_delay_s = await pace(rate, seconds, send)
    await asyncio.sleep(RESPONSE_GRACE_S + DNS_SLOW_S)
    latencies = latency_histogram()
    for each in sockets:
        latencies.add(each.latencies)
        each.transport.close()
    failed = sum(each.failed for each in sockets)
    lost = sent - failed - sum(each.answered for each in sockets)
    return _outcome(sent, sum(each.in_time for each in sockets), failed, lost, latencies, max_delay_s)


def _outcome(
    sent: int, in_time: int, failed: int, lost: int, latencies: Any, max_delay_s: float
) -> LoadOutcome:
    return LoadOutcome(
        sent=sent,
        in_time_share=in_time / max(1, sent),
        failed_share=failed / max(1, sent),
        lost=lost,
        p50_ms=latencies.get_value_at_percentile(50) / 1000,
        p99_ms=latencies.get_value_at_percentile(99) / 1000,
        is_late=max_delay_s > MAX_SEND_DELAY_S,
    )


def run_load(
    core: int, protocol: Protocol, port: int, rate: float, seconds: float, slow: Any, pipe: Connection
) -> None:
    """Run a load on a gateway, and send its `LoadOutcome` through the pipe.

    Args:
        core: CPU core to run on.
        protocol: protocol of the load.
        port: the gateway's loopback port.
        rate: requests per second.
        seconds: duration of the load.
        slow: shared integer, set to 1 after the share `SLOW_AFTER` of the duration, see `serve`.
        pipe: receives the outcome.
    """
    os.sched_setaffinity(0, {core})

    def make_slow() -> None:
        slow.value = 1

    async def main() -> LoadOutcome:
        asyncio.get_running_loop().call_later(SLOW_AFTER * seconds, make_slow)
        run = _run_dns_load if protocol is Protocol.DNS else _run_http_load
        return await run(port, rate, seconds)

    pipe.send(uvloop.run(main()))
