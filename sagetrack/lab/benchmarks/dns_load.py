"""A DNS server that responds immediately, and a closed-loop DNS load generator."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any, cast

from sagetrack.lab.analysis.figures import latency_histogram
from sagetrack.lab.stand_ins.dns_clients import wire_query

WINDOW = 64  # queries in flight over all sockets
SOCKETS = 8
CACHED_NAMES = 100  # number of distinct names when responses are to come from the cache
QUERY_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 0.05
RESPONSE_GRACE_S = 0.1  # wait at the end of the load for responses still in transit
HEADER_BYTES = 12
QUERY_IDS = 65_536
# 192.0.2.1 for the name in the question, with a TTL of one hour.
A_RECORD = b"\xc0\x0c\0\1\0\1\0\0\x0e\x10\0\4\xc0\0\2\1"


def response_to(query: bytes) -> bytes:
    """Return a valid response to an A query; it is assembled without a DNS codec."""
    end = HEADER_BYTES
    while query[end]:
        end += 1 + query[end]
    end += 5  # skips the root label, the type and the class
    return query[:2] + b"\x81\x80\0\1\0\1\0\0\0\0" + query[HEADER_BYTES:end] + A_RECORD


def query_id(message: bytes) -> int:
    """Return the id of a DNS message."""
    return int.from_bytes(message[:2])


def has_answer(message: bytes) -> bool:
    """Return whether a response has RCODE 0 and at least one answer record."""
    return not message[3] & 0xF and message[7] != 0


class DnsServer(asyncio.DatagramProtocol):
    """A server that responds to each query immediately."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Respond to a query."""
        self.transport.sendto(response_to(data), addr)


class DnsLoad:
    """The queries of one measurement and their outcomes.

    Attributes:
        answered: queries that received a response.
        invalid: the number of these responses that had an error code or no answer record.
        lost: queries without a response within `QUERY_TIMEOUT_S`.
        latencies: histogram of the answered queries' latencies, in microseconds.
    """

    def __init__(self, unique_names: bool) -> None:
        self.unique_names = unique_names
        self.names_used = 0
        self.answered = 0
        self.lost = 0
        self.invalid = 0
        self.stopped = False
        self.latencies = latency_histogram()
        self.name_suffix = f"{time.monotonic_ns():x}"

    def next_name(self) -> str:
        """Return the name of the next query: a unique one, or the next of `CACHED_NAMES` names."""
        self.names_used += 1
        if self.unique_names:
            return f"n{self.names_used}.{self.name_suffix}.example"
        return f"n{self.names_used % CACHED_NAMES}.example"


class _LoadSocket(asyncio.DatagramProtocol):
    """One client socket: sends the next query as soon as one is answered or timed out."""

    def __init__(self, load: DnsLoad) -> None:
        self.load = load
        self.sent_s: dict[int, float] = {}  # send times of the queries in flight, by id
        # Ids and send times of queries, oldest first. Answered queries stay until they would have timed out.
        self.order: deque[tuple[int, float]] = deque()
        self.last_id = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def send(self) -> None:
        self.last_id = (self.last_id + 1) % QUERY_IDS
        now_s = time.perf_counter()
        self.sent_s[self.last_id] = now_s
        self.order.append((self.last_id, now_s))
        self.transport.sendto(wire_query(self.load.next_name(), self.last_id))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        sent_s = self.sent_s.pop(query_id(data), None)
        if sent_s is None:
            return
        load = self.load
        if not has_answer(data):
            load.invalid += 1
        load.answered += 1
        load.latencies.record_value(max(1, int((time.perf_counter() - sent_s) * 1e6)))
        if not load.stopped:
            self.send()

    def expire(self, before_s: float) -> None:
        """Count unanswered queries that were sent before `before_s` as lost."""
        while self.order and self.order[0][1] < before_s:
            id_, sent_s = self.order.popleft()
            if self.sent_s.get(id_) == sent_s:
                del self.sent_s[id_]
                self.load.lost += 1
                if not self.load.stopped:
                    self.send()


async def run_dns_load(port: int, seconds: float, unique_names: bool, max_answered: int = 0) -> DnsLoad:
    """Keep `WINDOW` queries in flight for `seconds`, or until `max_answered` are answered if it is not 0."""
    loop = asyncio.get_running_loop()
    load = DnsLoad(unique_names)
    sockets = []
    for _ in range(SOCKETS):
        _, opened = await loop.create_datagram_endpoint(
            lambda: _LoadSocket(load), remote_addr=("127.0.0.1", port)
        )
        sockets.append(opened)
    for each in sockets:
        for _ in range(WINDOW // SOCKETS):
            each.send()
    end_s = loop.time() + seconds
    while loop.time() < end_s and (not max_answered or load.answered < max_answered):
        await asyncio.sleep(CHECK_INTERVAL_S)
        for each in sockets:
            each.expire(time.perf_counter() - QUERY_TIMEOUT_S)
    load.stopped = True
    await asyncio.sleep(RESPONSE_GRACE_S)
    for each in sockets:
        each.transport.close()
    return load
