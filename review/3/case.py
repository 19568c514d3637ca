"""Case 3: the gateway cuts off the end of a long answer while its client is still reading it."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    AddressServer,
    Agent,
    Gateway,
    Message,
    Record,
    request_head,
    run_case,
    settings,
    trouble,
)

SERVERS = 9
CLIENTS = 30
STEP = 20_000  # each answer is that much longer than the one before
READ_PER_S = 300_000  # bytes; a client of the usual kind that takes seconds
PIECE = 16_384
WAIT_S = 90.0


def first_size() -> int:
    """Return the size of the shortest answer, a little less than the kernel may hold for a connection."""
    largest_buffer = int(Path("/proc/sys/net/ipv4/tcp_wmem").read_text().split()[2])
    return int(largest_buffer * 0.9)


async def read_answer(reader: socket.socket, size: int) -> tuple[bytes, int, str]:
    """Read an answer at the client's pace; return its first line, the bytes of its body, and how it ended."""
    loop = asyncio.get_running_loop()
    began = time.monotonic()
    head, received, in_body = b"", 0, False
    while not in_body or received < size:
        try:
            data = await loop.sock_recv(reader, PIECE)
        except OSError as error:
            return head, received, f"reset ({error.strerror})"
        if not data:
            return head, received, "closed by the gateway"
        if in_body:
            received += len(data)
        else:
            head += data
            in_body = b"\r\n\r\n" in head
            received = len(head.partition(b"\r\n\r\n")[2]) if in_body else 0
        if in_body and not head.startswith(b"HTTP/1.1 200"):
            return head, received, "not served"
        ahead_s = received / READ_PER_S - (time.monotonic() - began)
        if trouble() and ahead_s > 0:
            await asyncio.sleep(ahead_s)
    return head, received, "whole"


async def client(port: int, number: int, size: int, record: Record) -> str:
    """Send one request on a connection of its own, and return how its answer ended."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, ("127.0.0.1", port))
        head = request_head("buscar", number, more="Connection: close\r\n")
        await loop.sock_sendall(connection, head.replace(b"/buscar ", b"/buscar?size=%d " % size, 1))
        record(f"sent     {number:016x} GET /buscar?size={size}, Connection: close")
        try:
            async with asyncio.timeout(WAIT_S):
                head, received, end = await read_answer(connection, size)
        except TimeoutError:
            head, received, end = b"", 0, "no end"
    first = head.split(b"\r\n")[0].decode("latin-1")
    record(f"answered {number:016x} {first!r}, {received} of {size} bytes, {end}")
    return end


async def case(record: Record) -> bool:
    """Ask for long answers of many sizes; the rule is broken if one that its server gave whole is cut off."""
    given: set[int] = set()

    async def run(message: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        number = int(message.headers["x-call-id"], 16)
        size = int(message.first.split()[1].partition("size=")[2])
        record(f"run      {number:016x}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for at in range(0, size, 65_536):
            writer.write(b"x" * min(65_536, size - at))
            await writer.drain()
        record(f"given    {number:016x} all {size} bytes")
        given.add(number)
        return True

    servers = [AddressServer(f"s-{number}", run) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([server.entry() for server in servers])
    await agent.start()
    gateway = Gateway(agent, settings())
    try:
        gateway.start()
        await gateway.wait_ready()
        clients = []
        for number in range(1, CLIENTS + 1):
            size = first_size() + number * STEP
            clients.append(asyncio.create_task(client(gateway.port, number, size, record)))
            await asyncio.sleep(0.05)
        ends = await asyncio.gather(*clients)
    finally:
        gateway.end()
    cut = [n for n, end in enumerate(ends, 1) if n in given and end not in ("whole", "not served")]
    whole = ends.count("whole")
    line = f"{CLIENTS} long answers: {whole} whole, {len(cut)} cut off though given whole: {cut}"
    record(line)
    print(line)
    return bool(cut)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
