"""A start on a machine that fails for a moment: the process waits for it, and serves."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.soak.shim import NO_FAULTS, FaultControl, SystemCallFaults, build_library
from tests.sockets import configuration, on_event_loop, request, scripted_server, wait_until
from tests.test_gateway_process import READY, ROOT, ask

MOMENT_S = 0.6


@asynccontextmanager
async def failing(
    folder: Path, faults: SystemCallFaults, address: str, elsewhere: Path | None = None
) -> AsyncIterator[tuple[int, int]]:
    """A process whose system calls fail from its first one on, for a moment; its two ports.

    Files in the folder fail; the configuration may lie elsewhere.
    """
    control = FaultControl(folder / "control", 1)
    control.set(faults)
    port, admin = free_port(), free_port()
    file = (elsewhere or folder) / "config.json"
    file.write_text(json.dumps(configuration(address) | {"listen": f"127.0.0.1:{port}"}))
    operator = folder / "operator.toml"
    operator.write_text('[log]\nlevel = "warning"\n')
    names = {"LB_CONFIG": str(file), "LB_ADMIN": f"127.0.0.1:{admin}", "TMPDIR": str(folder)}
    names["LB_OPERATOR"] = str(operator)
    names |= control.environment(build_library(folder))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sagetrack",
        cwd=ROOT,
        env=os.environ | names,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        await wait_until(lambda: control.failed_calls or process.returncode is not None)
        await asyncio.sleep(MOMENT_S)
        control.set(NO_FAULTS)
        yield port, admin
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def becomes_ready(port: int, admin: int) -> None:
    async with asyncio.timeout(8.0):
        while await ask(port, READY) != 200:
            await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", admin)
        writer.write(b"status\n")
        assert (await reader.read()).startswith(b"SUCCESS")
        writer.close()


@on_event_loop
async def test_sockets_that_cannot_be_had_for_a_moment_are_asked_for_again(tmp_path: Path) -> None:
    async with (
        scripted_server() as upstream,
        failing(tmp_path, SystemCallFaults(socket_rate=1000), upstream.address) as (port, admin),
    ):
        await becomes_ready(port, admin)
        assert await ask(port, request()) == 200


@on_event_loop
async def test_an_operators_file_that_cannot_be_opened_for_a_moment_is_opened_again(tmp_path: Path) -> None:
    """The configuration can: it comes from where nothing fails."""
    elsewhere, here = tmp_path / "elsewhere", tmp_path / "here"
    elsewhere.mkdir()
    here.mkdir()
    async with (
        scripted_server() as upstream,
        failing(here, SystemCallFaults(file_rate=1000), upstream.address, elsewhere) as (port, admin),
    ):
        await becomes_ready(port, admin)


@on_event_loop
async def test_a_configuration_that_cannot_be_opened_for_a_moment_is_opened_again(tmp_path: Path) -> None:
    async with (
        scripted_server() as upstream,
        failing(tmp_path, SystemCallFaults(file_rate=1000), upstream.address) as (port, admin),
    ):
        await becomes_ready(port, admin)
        assert await ask(port, request()) == 200


@on_event_loop
async def test_a_bad_configuration_ends_with_2_though_nobody_can_be_told(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text("no JSON")
    with open("/dev/full", "w") as full:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sagetrack",
            cwd=ROOT,
            stderr=full,
            env=os.environ | {"LB_CONFIG": str(file)},
        )
        assert await process.wait() == 2
