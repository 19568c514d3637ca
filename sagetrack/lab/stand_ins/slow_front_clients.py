"""Clients of the gRPC and DNS fronts that make a gateway hold memory or descriptors."""

from __future__ import annotations

import asyncio
import functools
from enum import Enum

import h2.config
import h2.connection
import h2.events
import h2.exceptions

from sagetrack.lab.stand_ins.repeating_clients import Act, RepeatingClients, stay_silent

STREAMS = 100  # concurrent streams of a client, as many as a gateway allows
STATED_MESSAGE_BYTES = 95 * 1024  # a gateway allows messages of 96 KiB
SENT_MESSAGE_BYTES = 94 * 1024
SHORT_FIELDS = 300
EMPTY_MESSAGE_BYTES = 5  # the prefix of a message
READ_BYTES = 64 * 1024
DNS_HOSTS = tuple(f"127.0.1.{number}" for number in range(1, 17))  # a gateway limits connections by host
DNS_STATED_BYTES = 60_000


class GrpcHabit(Enum):
    """What a gRPC client does with its connection."""

    SILENT = "silent gRPC"  # send nothing
    HALF_REQUESTS = "half gRPC requests"  # stop in the message of many requests at once
    HALF_HEADERS = "half gRPC headers"  # stop within a header block
    MANY_FIELDS = "many gRPC fields"  # send many requests of very many short fields, and no message
    NO_WINDOW = "gRPC reader that stops"  # request long responses and never extend the windows


class DnsHabit(Enum):
    """What a DNS client over TCP does with its connection."""

    SILENT = "silent DNS"  # send nothing
    HALF_MESSAGE = "half DNS message"  # stop in the middle of a long message


class SlowGrpcClients:
    """Runs gRPC clients with one habit each against one address."""

    def __init__(self, address: tuple[str, int], class_name: str = "transfer") -> None:
        """Create clients of the gateway at `address`, whose requests are of this class."""
        self._class_name = class_name
        self._clients = RepeatingClients(address)
        self._acts: dict[GrpcHabit, Act] = {
            GrpcHabit.SILENT: stay_silent,
            GrpcHabit.HALF_REQUESTS: self._send_half_requests,
            GrpcHabit.HALF_HEADERS: self._send_half_headers,
            GrpcHabit.MANY_FIELDS: self._send_many_fields,
            GrpcHabit.NO_WINDOW: self._read_nothing,
        }

    def start(self, habit: GrpcHabit, count: int) -> None:
        """Start `count` clients with this habit."""
        self._clients.start(self._acts[habit], count)

    async def stop(self) -> None:
        """End all clients, which reset their connections."""
        await self._clients.stop()

    @property
    def _head(self) -> tuple[tuple[str, str], ...]:
        return (
            (":method", "POST"),
            (":scheme", "http"),
            (":path", f"/sagetrack.v2.Calls/{self._class_name}"),
            (":authority", "gateway"),
            ("te", "trailers"),
            ("content-type", "application/grpc+proto"),
            ("x-call-id", f"slow-{id(self):x}"),
            ("grpc-timeout", "5S"),
        )

    async def _send_half_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _new_connection(writer)
        data = b"\0" + STATED_MESSAGE_BYTES.to_bytes(4) + bytes(SENT_MESSAGE_BYTES)
        unsent: dict[int, bytes] = {}
        for _ in range(STREAMS):
            stream = connection.get_next_available_stream_id()
            connection.send_headers(stream, self._head)
            unsent[stream] = data
        while unsent:  # until the gateway has ended all streams
            for stream in unsent:
                unsent[stream] = _send_part(connection, stream, unsent[stream])
            writer.write(connection.data_to_send())
            await writer.drain()
            for stream in await _ended_streams(connection, reader):
                unsent.pop(stream, None)

    async def _send_half_headers(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _new_connection(writer)
        block = bytes(16_000)
        writer.write(len(block).to_bytes(3) + b"\x01\x00" + (1).to_bytes(4) + block)  # without END_HEADERS
        await reader.read()
        await reader.read()

    async def _send_many_fields(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fields = tuple((f"a{number}", "1") for number in range(SHORT_FIELDS))
        writer.write(_encode_requests((*self._head, *fields), with_message=False))
        while await reader.read(READ_BYTES):
            pass

    async def _read_nothing(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(_encode_requests(self._head, with_message=True))
        while await reader.read(READ_BYTES):
            pass


class SlowDnsClients:
    """Runs DNS clients over TCP with one habit each against one address."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create clients of the gateway at `address`."""
        self._clients = RepeatingClients(address, DNS_HOSTS)
        self._acts: dict[DnsHabit, Act] = {
            DnsHabit.SILENT: stay_silent,
            DnsHabit.HALF_MESSAGE: self._send_half_message,
        }

    def start(self, habit: DnsHabit, count: int) -> None:
        """Start `count` clients with this habit."""
        self._clients.start(self._acts[habit], count)

    async def stop(self) -> None:
        """End all clients, which reset their connections."""
        await self._clients.stop()

    async def _send_half_message(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(DNS_STATED_BYTES.to_bytes(2) + bytes(DNS_STATED_BYTES - 1))
        await reader.read()


@functools.cache
def _encode_requests(head: tuple[tuple[str, str], ...], with_message: bool) -> bytes:
    """Encode a connection with `STREAMS` requests, each whole with an empty message or without an end.

    Each request has an id of its own, and the ids are the same for all connections.
    """
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    for number in range(STREAMS):
        stream = connection.get_next_available_stream_id()
        fields = [(name, f"{value}-{number}" if name == "x-call-id" else value) for name, value in head]
        connection.send_headers(stream, fields)
        if with_message:
            connection.send_data(stream, bytes(EMPTY_MESSAGE_BYTES), end_stream=True)
    return connection.data_to_send()


def _new_connection(writer: asyncio.StreamWriter) -> h2.connection.H2Connection:
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    writer.write(connection.data_to_send())
    return connection


async def _ended_streams(connection: h2.connection.H2Connection, reader: asyncio.StreamReader) -> list[int]:
    """Receive frames, and return the streams that they end.

    Raises:
        ConnectionError: The gateway has ended the connection.
    """
    data = await reader.read(READ_BYTES)
    if not data:
        raise ConnectionResetError
    try:
        events = connection.receive_data(data)
    except h2.exceptions.ProtocolError:
        raise ConnectionResetError from None
    ends = (h2.events.StreamReset, h2.events.StreamEnded)
    return [event.stream_id for event in events if isinstance(event, ends) and event.stream_id is not None]


def _send_part(connection: h2.connection.H2Connection, stream: int, data: bytes) -> bytes:
    """Send as much as the windows allow, and return the rest; nothing is left of a stream that has ended."""
    try:
        while data:
            size = min(connection.local_flow_control_window(stream), connection.max_outbound_frame_size)
            if size <= 0:
                return data
            connection.send_data(stream, data[:size])
            data = data[size:]
    except h2.exceptions.H2Error:
        return b""
    return data
