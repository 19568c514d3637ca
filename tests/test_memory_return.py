"""Free memory is returned to the system, so that crowds in a row need no more than one."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from pathlib import Path

import pytest

from sagetrack.core.memory_return import LITTLE_BYTES, MAX_INTERVAL_S, MIN_INTERVAL_S, MemoryReturn
from sagetrack.lab.stand_ins.slow_clients import Habit, SlowClients
from tests.sockets import configuration, on_event_loop, scripted_server
from tests.test_gateway_process import gateway_process
from tests.test_memory_limits import (
    LIMIT_MB,
    SLOW_CLIENTS,
    SOCKETS,
    many_open_files,
    resident_mb,
    respond,
)

__all__ = ["many_open_files"]

CROWDS = 4
CROWD_S = 3.0
PAUSE_S = 1.0
SAMPLE_S = 0.05


# Guards against memory that grows from crowd to crowd until the process is killed, picture (a).
@pytest.mark.parametrize("habit", [Habit.STALLED_BODY, Habit.HALF_BODY], ids=lambda habit: habit.value)
@on_event_loop
async def test_crowds_in_a_row_stay_within_the_memory_limit(
    habit: Habit, tmp_path: Path, many_open_files: None
) -> None:
    async with scripted_server(respond) as first, scripted_server(respond) as second:
        config = configuration(first, second) | {"limits": {"sockets": SOCKETS, "memory_mb": LIMIT_MB}}
        async with gateway_process(tmp_path, config) as (process, port):
            peaks_mb: list[float] = []
            for _ in range(CROWDS):
                clients = SlowClients(("127.0.0.1", port))
                clients.start(habit, SLOW_CLIENTS)
                peak_mb = 0.0
                for _ in range(int(CROWD_S / SAMPLE_S)):
                    await asyncio.sleep(SAMPLE_S)
                    peak_mb = max(peak_mb, resident_mb(process.pid))
                await clients.stop()
                await asyncio.sleep(PAUSE_S)
                peaks_mb.append(peak_mb)
            process.kill()
        assert max(peaks_mb) <= LIMIT_MB, peaks_mb


class Memory:
    """Resident memory of which a trim returns a fixed number of bytes."""

    def __init__(self, returned_bytes: int) -> None:
        self.bytes = 1_000_000_000
        self.trims = 0
        self.returned_bytes = returned_bytes

    def resident_bytes(self) -> int:
        return self.bytes

    def trim(self) -> None:
        self.trims += 1
        self.bytes -= self.returned_bytes


def test_memory_is_returned_at_intervals_that_grow_while_it_does_not_help() -> None:
    memory = Memory(returned_bytes=2 * LITTLE_BYTES)
    memory_return = MemoryReturn(memory.resident_bytes, memory.trim)
    for tenth in range(100):
        memory_return.return_free(tenth / 10)
    assert memory.trims == 10 / MIN_INTERVAL_S
    assert memory_return.returned_bytes == memory.trims * memory.returned_bytes
    memory.returned_bytes = 0
    times = [second for second in range(100, 500) if _trims_at(memory, memory_return, second)]
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert gaps[:4] == [2, 4, 8, 16] and set(gaps[5:]) == {MAX_INTERVAL_S}


def _trims_at(memory: Memory, memory_return: MemoryReturn, now_s: float) -> bool:
    before = memory.trims
    memory_return.return_free(now_s)
    return memory.trims > before
