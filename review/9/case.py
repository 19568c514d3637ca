"""An address server whose answer never ends, and the final answer that the client is due."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins_2 import (
    TROUBLE,
    Call,
    Discovery,
    Gateway,
    Record,
    now,
    read_head,
    request,
    run_case,
    small_fleet,
    whole_answer,
)

CALLS = 20
SPOILT = {"c5", "c15"}  # one in ten answers is spoilt
BUDGET_S = 3.0
LATE_S = 0.5 + 0.05  # an answer that is later has lost the request; time limits on sockets are 50 ms longer
WATCHED_S = 30.0  # how long the client waits to see whether an end comes at all


async def answer(call: Call, writer: asyncio.StreamWriter) -> bool:
    """Answer soundly, or with a spoilt answer that never ends."""
    await asyncio.sleep(0.1)
    if call.id not in SPOILT or not TROUBLE:
        writer.write(whole_answer(call.id.encode()))
        return True
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(int(WATCHED_S * 4)):  # 16 bytes in 0.25 s, far below 64 KiB together
        writer.write(b"10\r\n0123456789abcdef\r\n")
        await writer.drain()
        await asyncio.sleep(0.25)
    return False


async def ask(record: Record, address: tuple[str, int], id_: str, breaks: list[str]) -> None:
    """Send one request; note whether its answer, an error or a close came in time."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request("buscar", id_, int(BUDGET_S * 1000)))
    sent_at = now()
    record(f"client: sent {id_}")
    received = 0
    try:
        async with asyncio.timeout(WATCHED_S):
            status, headers = await read_head(reader)
            record(f"client: {id_} gets status {status}, {headers} after {now() - sent_at:.2f} s")
            if "content-length" in headers:
                received = len(await reader.readexactly(int(headers["content-length"])))
            else:
                while (size := int(await reader.readline(), 16)) > 0:
                    await reader.readexactly(size + 2)
                    received += size
        end = f"a whole answer {status} of {received} bytes"
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        end = "a close by the gateway"
    except TimeoutError:
        end = "no end"
    took = now() - sent_at
    record(f"client: {id_} has {end} after {took:.2f} s, {received} bytes of the body")
    if took > BUDGET_S + LATE_S:
        breaks.append(f"{id_} waits at most {BUDGET_S:g} s, and has {end} after {took:.2f} s")
    writer.close()


async def case(record: Record, temporary: Path) -> list[str]:
    """Return the breaks of the rule."""
    discovery = Discovery()
    await small_fleet(record, discovery, answer)
    gateway = Gateway(record, discovery, temporary=temporary)
    breaks: list[str] = []
    try:
        await gateway.wait_ready()
        async with asyncio.TaskGroup() as group:
            for number in range(CALLS):
                group.create_task(ask(record, gateway.host_port, f"c{number}", breaks))
                await asyncio.sleep(0.3)
        return breaks
    finally:
        gateway.end()


run_case(Path(__file__).resolve().with_name("record.txt"), case)
