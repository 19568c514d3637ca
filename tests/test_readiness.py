"""The start of a gateway: what it waits for and which modules it loads; tests wait for events, not times."""

from __future__ import annotations

import asyncio
import json
import os
import re
import subprocess
import sys
import threading
from pathlib import Path

import pytest

from sagetrack.config.operator import load as load_operator
from sagetrack.lab.benchmarks.readiness import Case, percentile_90, write_store
from sagetrack.store.directory import DiskDirectory
from tests.sockets import configuration, on_event_loop, request, running_gateway, scripted_server

ROOT = Path(__file__).parent.parent


class BlockedDisk(DiskDirectory):
    """A disk whose reads block until `unblocked` is set."""

    unblocked: threading.Event
    read_started: threading.Event

    def read(self, name: str, offset: int, length: int) -> bytes:
        self.read_started.set()
        assert self.unblocked.wait(60)
        return super().read(name, offset, length)


def operator_with_store(folder: Path) -> Path:
    file = folder / "operator.toml"
    file.write_text(f'[store]\nfolder = "{folder}/store"\nsync = "batch"\n')
    return file


@on_event_loop
async def test_clients_are_accepted_while_the_disk_of_the_store_blocks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Stored observations are restored once they can be read, and are not overwritten before that."""
    operator = load_operator(str(operator_with_store(tmp_path)))
    async with scripted_server() as upstream:
        config = configuration(upstream)
        async with running_gateway(config, operator) as gateway:
            for _ in range(8):
                assert (await gateway.request(request())).status == 200
            before = {observation.server for observation in gateway.gateway.balancer.own_observations()[0]}
        assert before
        BlockedDisk.unblocked, BlockedDisk.read_started = threading.Event(), threading.Event()
        monkeypatch.setattr("sagetrack.server.persistence.DiskDirectory", BlockedDisk)
        try:
            async with running_gateway(config, operator) as gateway:
                persistence = gateway.assembly.persistence
                assert persistence is not None and await asyncio.to_thread(BlockedDisk.read_started.wait, 60)
                assert (await gateway.request(b"GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n")).status == 200
                assert (await gateway.request(request())).status == 200
                assert not gateway.gateway.balancer.gossip.received and not persistence.read_finished.is_set()
                persistence.save()
                BlockedDisk.unblocked.set()
                await persistence.read_finished.wait()
                assert {server for server, _ in gateway.gateway.balancer.gossip.received} == before
        finally:
            BlockedDisk.unblocked.set()


@pytest.mark.parametrize("mode", ["pushed", "asked"])
@on_event_loop
async def test_a_gateway_with_a_list_is_ready_while_discovery_is_silent(mode: str) -> None:
    """Discovery accepts the connection and the call, but never responds."""
    called = asyncio.Event()
    writers: list[asyncio.StreamWriter] = []

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await reader.readline()
        called.set()

    silent = await asyncio.start_server(hold, "127.0.0.1", 0)
    port = silent.sockets[0].getsockname()[1]
    try:
        async with scripted_server() as upstream:
            config = configuration(upstream, discovery=f"127.0.0.1:{port}")
            config["settings"]["membershipMode"] = mode
            async with running_gateway(config) as gateway:
                assert (await gateway.request(b"GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n")).status == 200
                assert (await gateway.request(request())).status == 200
                if mode == "pushed":
                    await called.wait()
    finally:
        for writer in writers:
            writer.close()
        silent.close()


def test_a_start_loads_only_required_modules_and_logs_its_phases(tmp_path: Path) -> None:
    """Without an operator's file, the optional packages (store, peers, DNS, gRPC, lab) are not loaded."""
    config, script = tmp_path / "c.json", tmp_path / "start.py"
    config.write_text(json.dumps(configuration("127.0.0.1:9")))
    script.write_text(
        "import os, signal, sys\n"
        "import sagetrack.server.startup_timing as startup\n"
        "original_log = startup.StartupTiming.log\n"
        "def log_and_stop(self):\n"
        "    original_log(self)\n"
        "    print(*sorted(sys.modules))\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n"
        "startup.StartupTiming.log = log_and_stop\n"
        "from sagetrack.__main__ import main\n"
        "sys.exit(main())\n"
    )
    done = subprocess.run(
        [sys.executable, str(script)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
        env=os.environ
        | {"LB_CONFIG": str(config), "PYTHONPATH": str(ROOT), "TMPDIR": str(tmp_path)}
        | {"SAGETRACK_STARTUP": "1"},
    )
    assert done.returncode == 0, done.stderr
    loaded = set(done.stdout.split())
    assert "sagetrack.server.gateway_assembly" in loaded
    optional_packages = ("store", "peers", "dns", "grpc", "lab", "cli", "simulator")
    loaded_optional = {
        name for name in loaded if re.match(rf"sagetrack\.({'|'.join(optional_packages)})\b", name)
    }
    assert loaded_optional == set()
    assert loaded.isdisjoint({"msgspec", "structlog", "typer", "rich", "numpy", "tomllib", "cryptography"})
    (line,) = [line for line in done.stderr.splitlines() if "started; ms of CPU/elapsed: " in line]
    phases = re.findall(r"(?:: |, )([a-z ]+) \d+/\d+", line)
    expected = ["interpreter", "imports", "configuration", "decisions", "list", "first call", "peers"]
    assert [phase for phase in phases if phase in expected] == expected


def test_the_readiness_benchmark_computes_p90_and_fills_a_store(tmp_path: Path) -> None:
    assert percentile_90([1.0]) == 1.0 and percentile_90([float(n) for n in range(1, 21)]) == 18.0
    assert Case("x").stored_values == 0
    write_store(tmp_path / "store", 2_500)
    line = [sys.executable, "-m", "sagetrack", "store", "verify", str(tmp_path / "store")]
    done = subprocess.run(line, cwd=ROOT, text=True, capture_output=True, timeout=60)
    assert done.returncode == 0 and "2500 values" in done.stdout
