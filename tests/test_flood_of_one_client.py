"""One client that sends at full speed: others get their responses in time, and memory stays bounded."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from time import monotonic

import pytest

from tests.sockets import configuration, on_event_loop, request, scripted_server
from tests.test_gateway_process import fetch_status, gateway_process
from tests.test_memory_limits import LIMIT_MB, SOCKETS, resident_mb

FLOOD_S = 3.0
BATCH = 50  # requests in one write
READ_BYTES = 64 * 1024
SOUND_GAP_S = 0.05
BUDGET_MS = 1_000  # of a sound request

numbers = itertools.count(1)


def unknown_path() -> bytes:
    return b"GET /nothing-%d HTTP/1.1\r\nHost: b\r\n\r\n" % next(numbers)


def unknown_class() -> bytes:
    return request(x_call_class=f"class-{next(numbers)}")


def unknown_tenant() -> bytes:
    return request(x_caller=f"tenant-{next(numbers)}")


def malformed() -> bytes:
    return b"GET /search/1 HTTP/1.1\r\nBad Header %d: x\r\n\r\n" % next(numbers)


async def flood(port: int, message: Callable[[], bytes], end_s: float) -> int:
    """Send requests as fast as the gateway takes them, on a new connection when it closes one."""
    sent = 0
    while monotonic() < end_s:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                while monotonic() < end_s and not reader.at_eof():
                    writer.write(b"".join(message() for _ in range(BATCH)))
                    sent += BATCH
                    await writer.drain()
                    await reader.read(READ_BYTES)
            finally:
                writer.transport.abort()
    return sent


# Guards against late responses and growing memory beside one client at full speed, picture (b).
@pytest.mark.parametrize("message", [unknown_path, unknown_class, unknown_tenant, malformed])
@on_event_loop
async def test_a_client_at_full_speed_delays_no_other_client(
    message: Callable[[], bytes], tmp_path: Path
) -> None:
    async with scripted_server() as first, scripted_server() as second:
        config = configuration(first, second) | {"limits": {"sockets": SOCKETS, "memory_mb": LIMIT_MB}}
        async with gateway_process(tmp_path, config) as (process, port):
            end_s = monotonic() + FLOOD_S
            flooding = asyncio.create_task(flood(port, message, end_s))
            peak_mb = 0.0
            while monotonic() < end_s:
                since_s = monotonic()
                assert await fetch_status(port, request(budget_ms=BUDGET_MS)) == 200
                assert monotonic() - since_s < BUDGET_MS / 1000
                peak_mb = max(peak_mb, resident_mb(process.pid))
                await asyncio.sleep(SOUND_GAP_S)
            assert await flooding > BATCH
            process.kill()
    assert peak_mb <= LIMIT_MB
