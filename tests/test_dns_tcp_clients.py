"""TCP connections of DNS clients."""

from __future__ import annotations

import asyncio
import contextlib

import dns.edns
import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import pytest

from sagetrack.dns.downstream_connection import MAX_PIPELINED_QUERIES
from sagetrack.dns.listener import ClientLimits
from sagetrack.lab.stand_ins.dns_server import NameserverBehaviour, nameserver
from tests.dns_helpers import (
    UdpClient,
    query,
    read_tcp_responses,
    running_service,
)
from tests.sockets import on_event_loop, wait_until


@on_event_loop
async def test_tcp_queries_are_reassembled_and_answered_in_any_order() -> None:
    # Long enough that no query is shed on a busy machine.
    long_deadlines = {"latency_objective_us": 20_000_000, "deadline_us": 20_000_000}
    async with (
        nameserver(NameserverBehaviour(records=100)) as upstream,
        running_service(upstream, **long_deadlines) as (_, address),
    ):
        reader, writer = await asyncio.open_connection(*address)
        queries = [query(f"n{n}.example.") for n in range(MAX_PIPELINED_QUERIES * 2)]
        data = b"".join(len(q).to_bytes(2) + q for q in queries)
        for offset in range(0, len(data), 7):
            writer.write(data[offset : offset + 7])
            if offset % 490 == 0:
                await writer.drain()
        responses = await read_tcp_responses(reader, len(queries))
        assert {m.id for m in responses} == {int.from_bytes(q[:2]) for q in queries}
        assert all(len(m.answer[0]) == 100 for m in responses)
        writer.close()


@pytest.mark.parametrize("data", [b"\0\0", b"\0\x05hello", b"\0\x0b" + b"x" * 11])
@on_event_loop
async def test_frame_shorter_than_a_dns_header_closes_the_connection(data: bytes) -> None:
    async with nameserver() as upstream, running_service(upstream) as (service, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        await wait_until(lambda: not service.listener.connections)
        writer.close()


@on_event_loop
async def test_incomplete_and_largest_frames_do_not_affect_other_clients() -> None:
    async with nameserver() as upstream, running_service(upstream) as (service, address):
        for data in (b"\0", b"\0\x20half", b"\xff\xff" + b"\x01" * 65_535):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            writer.write_eof()
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()
        await wait_until(lambda: not service.listener.connections)
        client = await UdpClient.connect(address)
        assert (await client.exchange(query())).rcode() == dns.rcode.NOERROR
        client.transport.close()


@on_event_loop
async def test_buffered_responses_to_a_client_that_does_not_read_are_bounded() -> None:
    options = {"limits": ClientLimits(max_connections_per_client=1)}
    async with (
        nameserver(NameserverBehaviour(records=200)) as upstream,
        running_service(upstream, **options) as (service, address),
    ):
        reader, writer = await asyncio.open_connection(*address)
        frame = query("big.example.")

        async def send_without_reading() -> None:
            with contextlib.suppress(ConnectionError):
                for number in range(20_000):
                    message = number.to_bytes(2) + frame[2:]
                    writer.write(len(message).to_bytes(2) + message)
                    if number % 100 == 0:
                        await writer.drain()

        task = asyncio.create_task(send_without_reading())
        await wait_until(lambda: any(c.write_paused for c in service.listener.connections))
        buffer_sizes = [
            c.transport.get_write_buffer_size() for c in service.listener.connections if c.transport
        ]
        assert all(size < 1_000_000 for size in buffer_sizes)
        task.cancel()
        writer.transport.abort()
