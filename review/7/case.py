"""gRPC clients that send halves of many requests, and the memory limit of the gateway."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from pathlib import Path

import h2.config
import h2.connection

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins_2 import (
    TROUBLE,
    Discovery,
    Gateway,
    Record,
    free_port,
    now,
    read_head,
    request,
    run_case,
    small_fleet,
    works,
)

MEMORY_MB = 192  # of the gateway; our pages name 192 MB at most, and this is what its configuration says
BAD_CLIENTS = 30  # each with one connection
HALF_REQUESTS = 100  # of each, at once; the gateway allows as many streams
STATED = 95 * 1024  # the length that each states for its message; the gateway allows 96 KiB
SENT = 94 * 1024  # what it sends of it
WATCHED_S = 15.0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def half_requests(number: int, port: int) -> None:
    """Send halves of requests over one connection, and then stay."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    connection.receive_data(b"")
    unsent: dict[int, bytes] = {}
    begun = False
    with contextlib.suppress(ConnectionError), contextlib.closing(writer):
        writer.write(connection.data_to_send())
        while data := await reader.read(65_536):
            connection.receive_data(data)
            for _ in range(0 if begun else HALF_REQUESTS):
                stream = connection.get_next_available_stream_id()
                connection.send_headers(stream, head(f"bad-{number}-{stream}"))
                unsent[stream] = b"\0" + STATED.to_bytes(4, "big") + bytes(SENT)
            begun = True
            send_more(connection, unsent)
            writer.write(connection.data_to_send())
            await writer.drain()


def head(id_: str) -> list[tuple[str, str]]:
    """Return the headers of a call of the newer format."""
    return [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/sagetrack.v2.Calls/alta-lote"),
        (":authority", "backend.local"),
        ("te", "trailers"),
        ("content-type", "application/grpc+proto"),
        ("x-call-id", id_),
        ("grpc-timeout", "5000000u"),
    ]


def send_more(connection: h2.connection.H2Connection, unsent: dict[int, bytes]) -> None:
    """Send as much as the windows of the gateway allow."""
    for stream in list(unsent):
        while unsent[stream]:
            window = connection.local_flow_control_window(stream)
            size = min(window, connection.max_outbound_frame_size, len(unsent[stream]))
            if size <= 0:
                break
            connection.send_data(stream, unsent[stream][:size])
            unsent[stream] = unsent[stream][size:]
        if not unsent[stream]:
            del unsent[stream]


async def ask(record: Record, address: tuple[str, int], id_: str, lost: list[str]) -> None:
    """Send one request over HTTP/1.1; note it as lost if the gateway dies under it."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        record(f"client: {id_} cannot connect")
        return
    with contextlib.closing(writer):
        writer.write(request("buscar", id_))
        record(f"client: sent {id_}")
        try:
            async with asyncio.timeout(5.0):
                status, _ = await read_head(reader)
            record(f"client: {id_} has its answer {status}")
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
            record(f"client: {id_} has no answer ({type(error).__name__})")
            lost.append(id_)


async def platform(record: Record, gateway: Gateway) -> str:
    """Kill the gateway if it is over its limit; return what was seen."""
    most, start = 0.0, now()
    while now() < start + WATCHED_S:
        if gateway.process.poll() is not None:
            return f"the gateway ended by itself with {gateway.process.returncode}"
        memory = resident_mb(gateway.process.pid)
        if memory > most + 10:
            most = memory
            record(f"platform: the gateway holds {memory:.0f} MB")
        if memory > MEMORY_MB:
            gateway.end()
            record("platform: the gateway was killed for memory")
            return (
                f"the gateway held {memory:.0f} MB of {MEMORY_MB} and was killed for memory: it has crashed"
            )
        await asyncio.sleep(0.02)
    return ""


async def case(record: Record, temporary: Path) -> list[str]:
    """Return the breaks of the rule."""
    discovery = Discovery()
    await small_fleet(record, discovery, works)
    port = free_port()
    gateway = Gateway(
        record, discovery, temporary=temporary, operator=f'[newer]\nlisten = ["127.0.0.1:{port}"]\n'
    )
    lost: list[str] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await gateway.wait_ready()
        watch = asyncio.create_task(platform(record, gateway))
        for number in range(BAD_CLIENTS if TROUBLE else 0):
            tasks.append(asyncio.create_task(half_requests(number, port)))
        record(f"bad clients: {len(tasks)}, each with {HALF_REQUESTS} halves of {SENT} bytes")
        asked = []
        while not watch.done():
            asked.append(asyncio.create_task(ask(record, gateway.host_port, f"c{len(asked)}", lost)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*asked)
        crash = await watch
    finally:
        for task in tasks:
            task.cancel()
        gateway.end()
    breaks = [crash] if crash else []
    if lost:
        breaks.append(
            f"{len(lost)} requests over HTTP/1.1 had been taken and got no answer: {' '.join(lost)}"
        )
    return breaks


run_case(Path(__file__).resolve().with_name("record.txt"), case)
