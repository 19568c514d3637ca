"""Temporary system call failures during the start: the process retries and then serves."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.soak.shim import NO_FAULTS, FaultControl, SystemCallFaults, build_library
from tests.sockets import configuration, on_event_loop, request, scripted_server, wait_until
from tests.test_gateway_process import READY, ROOT, fetch_status

FAULT_DURATION_S = 0.6


@asynccontextmanager
async def faulty_process(
    folder: Path, faults: SystemCallFaults, address: str, config_folder: Path | None = None
) -> AsyncIterator[tuple[int, int]]:
    """Start a process whose system calls fail for FAULT_DURATION_S, and return its two ports.

    Faults of files apply to those in `folder`; the configuration may be in another folder.
    """
    control = FaultControl(folder / "control", 1)
    control.set(faults)
    port, admin = free_port(), free_port()
    file = (config_folder or folder) / "config.json"
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
        await asyncio.sleep(FAULT_DURATION_S)
        control.set(NO_FAULTS)
        yield port, admin
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def wait_until_ready(port: int, admin: int) -> None:
    async with asyncio.timeout(8.0):
        while await fetch_status(port, READY) != 200:
            await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", admin)
        writer.write(b"status\n")
        assert (await reader.read()).startswith(b"SUCCESS")
        writer.close()


@on_event_loop
async def test_failures_to_create_sockets_are_retried(tmp_path: Path) -> None:
    async with (
        scripted_server() as upstream,
        faulty_process(tmp_path, SystemCallFaults(socket_rate=1000), upstream.address) as (port, admin),
    ):
        await wait_until_ready(port, admin)
        assert await fetch_status(port, request()) == 200


@on_event_loop
async def test_failures_to_open_the_operators_file_are_retried(tmp_path: Path) -> None:
    """The configuration is in a folder in which no faults occur."""
    config_folder, failing_folder = tmp_path / "elsewhere", tmp_path / "here"
    config_folder.mkdir()
    failing_folder.mkdir()
    async with (
        scripted_server() as upstream,
        faulty_process(failing_folder, SystemCallFaults(file_rate=1000), upstream.address, config_folder) as (
            port,
            admin,
        ),
    ):
        await wait_until_ready(port, admin)


@on_event_loop
async def test_failures_to_open_the_configuration_are_retried(tmp_path: Path) -> None:
    async with (
        scripted_server() as upstream,
        faulty_process(tmp_path, SystemCallFaults(file_rate=1000), upstream.address) as (port, admin),
    ):
        await wait_until_ready(port, admin)
        assert await fetch_status(port, request()) == 200


@on_event_loop
async def test_an_invalid_configuration_exits_with_2_although_standard_error_cannot_be_written(
    tmp_path: Path,
) -> None:
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


@on_event_loop
async def test_a_start_waits_for_the_rest_of_half_written_configuration_files(tmp_path: Path) -> None:
    """A reload and a start may coincide; without a process, clients would wait in the shared socket."""
    async with scripted_server() as upstream:
        port, admin = free_port(), free_port()
        complete = json.dumps(configuration(upstream.address) | {"listen": f"127.0.0.1:{port}"})
        file, operator = tmp_path / "config.json", tmp_path / "operator.toml"
        file.write_text(complete[: len(complete) // 2])
        operator.write_text('[log]\nlevel = "warn')
        names = {"LB_CONFIG": str(file), "LB_ADMIN": f"127.0.0.1:{admin}", "LB_OPERATOR": str(operator)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sagetrack", cwd=ROOT, env=os.environ | names
        )
        try:
            await asyncio.sleep(FAULT_DURATION_S)
            file.write_text(complete)
            await asyncio.sleep(FAULT_DURATION_S)
            operator.write_text('[log]\nlevel = "warning"\n')
            await wait_until_ready(port, admin)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


@on_event_loop
async def test_a_start_waits_for_addresses_that_its_predecessor_still_has(tmp_path: Path) -> None:
    async with scripted_server() as upstream:
        with (
            socket.create_server(("127.0.0.1", 0)) as first,
            socket.create_server(("127.0.0.1", 0)) as second,
        ):
            port, admin = first.getsockname()[1], second.getsockname()[1]
            file = tmp_path / "config.json"
            file.write_text(json.dumps(configuration(upstream.address) | {"listen": f"127.0.0.1:{port}"}))
            names = {"LB_CONFIG": str(file), "LB_ADMIN": f"127.0.0.1:{admin}"}
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "sagetrack", cwd=ROOT, env=os.environ | names
            )
            await asyncio.sleep(2 * FAULT_DURATION_S)
            assert process.returncode is None
        try:
            await wait_until_ready(port, admin)
        finally:
            process.kill()
            await process.wait()
