"""Memory of a gateway process with the least memory that is named, under hundreds of slow clients."""

from __future__ import annotations

import asyncio
import resource
from collections import Counter
from pathlib import Path

import pytest

from sagetrack.core import memory_budget
from sagetrack.core.memory_budget import (
    MIN_BUDGET_BYTES,
    THRESHOLDS,
    MemoryBudget,
    MemoryClaim,
    OverloadAction,
)
from sagetrack.http1.header_block import HeaderBlock
from sagetrack.lab.stand_ins.slow_clients import Habit, SlowClients
from tests.sockets import (
    Exchange,
    configuration,
    http_response,
    on_event_loop,
    request,
    running_gateway,
    scripted_server,
    wait_until,
)
from tests.test_gateway_process import fetch_status, gateway_process

LIMIT_MB = 32
SOCKETS = 1024
SLOW_CLIENTS = 320
PLAY_S = 5.0
SOUND_PER_S = 16
SAMPLE_S = 1 / SOUND_PER_S
MIN_SOUND_SHARE = 0.9  # of sound requests that are served
LONG_RESPONSE = bytes(8_000_000)
BUDGET_MS = 3_000
BYTES_PER_MB = 1024 * 1024
OPEN_FILES = 4096  # for the clients and servers of the test process


async def respond(exchange: Exchange) -> None:
    """Send 8 MB to the clients that read slowly, and a short response to all others."""
    long = exchange.message.body == b"long"
    exchange.respond(http_response(200, LONG_RESPONSE if long else b"ok"))
    await exchange.writer.drain()


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process; 0 if it has ended and was not waited for."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / BYTES_PER_MB


@pytest.fixture
def many_open_files() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < OPEN_FILES:
        pytest.fail(f"the test needs {OPEN_FILES} open files, the system allows {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (OPEN_FILES, hard))


# Guards against a process that is killed for memory, picture (a) of the incident of 2026-12-05.
@pytest.mark.parametrize("habit", list(Habit), ids=lambda habit: habit.value)
@on_event_loop
async def test_hundreds_of_slow_clients_stay_within_the_memory_limit(
    habit: Habit, tmp_path: Path, many_open_files: None
) -> None:
    async with scripted_server(respond) as first, scripted_server(respond) as second:
        config = configuration(first, second) | {"limits": {"sockets": SOCKETS, "memory_mb": LIMIT_MB}}
        async with gateway_process(tmp_path, config) as (process, port):
            clients = SlowClients(("127.0.0.1", port))
            clients.start(habit, SLOW_CLIENTS)
            sound: list[asyncio.Task[int]] = []
            peak_mb = 0.0
            for _ in range(int(PLAY_S / SAMPLE_S)):
                sound.append(asyncio.create_task(fetch_status(port, request(budget_ms=BUDGET_MS))))
                await asyncio.sleep(SAMPLE_S)
                peak_mb = max(peak_mb, resident_mb(process.pid))
            served = Counter([await task for task in sound])[200]
            await clients.stop()
            process.kill()
        assert peak_mb <= LIMIT_MB
        assert served >= MIN_SOUND_SHARE * len(sound)


@on_event_loop
async def test_a_response_that_its_client_does_not_read_costs_one_buffer() -> None:
    async with scripted_server(respond) as upstream:
        config = configuration(upstream) | {"limits": {"sockets": SOCKETS, "memory_mb": LIMIT_MB}}
        async with running_gateway(config) as run:
            budget = run.listener.memory_budget
            clients = SlowClients(("127.0.0.1", run.port))
            clients.start(Habit.SLOW_READER, 20)
            await wait_until(lambda: budget.active_bodies == 20)
            for _ in range(20):
                await asyncio.sleep(0.02)
                assert budget.claimed_bytes <= 20 * 2 * budget.stream_buffer_bytes
            await clients.stop()
            await wait_until(lambda: not budget.active_bodies and not run.listener.connections)
            assert budget.claimed_bytes == 0


def test_each_overload_action_starts_at_its_threshold() -> None:
    budget = MemoryBudget(memory_mb=LIMIT_MB)
    claim = MemoryClaim(budget)
    before = OverloadAction.NONE
    for action, threshold in THRESHOLDS.items():
        claim.update(int(budget.total_bytes * threshold) - 1)
        assert budget.action is before
        claim.update(int(budget.total_bytes * threshold) + 1)
        assert budget.action is action
        before = action
    assert list(THRESHOLDS.values()) == sorted(THRESHOLDS.values())


def test_the_budget_is_what_the_memory_at_rest_leaves_of_the_limit(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    budget = MemoryBudget(memory_mb=LIMIT_MB)
    alone = budget.total_bytes
    monkeypatch.setattr(memory_budget, "resident_bytes", lambda: 8 * 1024 * 1024)
    budget.measure_rest()
    assert budget.total_bytes == alone - 8 * 1024 * 1024
    budget.process_count = 2  # a hot restart: both processes have their memory at rest
    assert budget.total_bytes == alone // 2 - 8 * 1024 * 1024
    budget.process_count = 8
    budget.measure_rest()
    assert budget.total_bytes == MIN_BUDGET_BYTES
    assert "memory limit too low" in capsys.readouterr().err


def test_a_header_block_returns_the_headers_that_were_added() -> None:
    headers = [(b"host", b"b"), (b"x", b""), (b"x", b"a: b, c"), (b"host", b"c" * 9_000)]
    block = HeaderBlock()
    for name, value in headers:
        block.add(name, value)
    assert len(block) == 4 and block.unpack() == headers
    assert block.memory_bytes < sum(len(name) + len(value) for name, value in headers) + 100
