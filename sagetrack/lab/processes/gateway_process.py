"""One process of the gateway program."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.child_process import die_with_parent
from sagetrack.lab.processes.resource_usage import cpu_s, memory_mb
from sagetrack.lab.repository import ROOT

READY_TIMEOUT_S = 15.0  # for a gateway to report that it is ready
READY_POLL_S = 0.01
INHERITED_SETTINGS = ("LB_ACCEPT_FD", "LB_OPERATOR", "LB_ADMIN")  # of this process's own environment


class Usage(NamedTuple):
    """Resources of one gateway or several."""

    cpu_s: float  # since the start
    memory_mb: float  # resident; the largest process's


class GatewayProcess:
    """A gateway that is started with this object and dies at the latest with this process.

    `folder` gets its configuration and its log; `number` tells apart processes that share a folder.
    `listener`, if there is one, is handed down as the socket to accept from. `operator_settings` is the text
    of its operator file, empty for none. `process` is the child process itself, `log` the file of what it
    prints, `admin` the "host:port" of its admin interface.
    """

    def __init__(
        self,
        folder: Path,
        config: dict[str, Any],
        listener: socket.socket | None,
        number: int,
        operator_settings: str = "",
    ) -> None:
        config_file = folder / f"config-{number}.json"
        config_file.write_text(json.dumps(config))
        temp_folder = folder / "tmp"
        temp_folder.mkdir(exist_ok=True)
        environment = {name: value for name, value in os.environ.items() if name not in INHERITED_SETTINGS}
        environment |= {
            "LB_CONFIG": str(config_file),
            "TMPDIR": str(temp_folder),
            "PYTHONPATH": str(ROOT),
        }
        if operator_settings:
            operator_file = folder / f"operator-{number}.toml"
            operator_file.write_text(operator_settings)
            environment["LB_OPERATOR"] = str(operator_file)
        descriptors = []
        if listener is not None:
            descriptors = [listener.fileno()]
            environment["LB_ACCEPT_FD"] = str(listener.fileno())
        self.admin: str = config["admin"]
        self.log = folder / f"log-{number}.txt"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "sagetrack"],
                cwd=ROOT,
                env=environment,
                pass_fds=descriptors,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.process.poll() is None

    def last_log_line(self) -> str:
        """The last line that it printed."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def describe_exit(self) -> str:
        """How an ended process ended, for people."""
        return f"ended with status {self.process.returncode}: {self.last_log_line()}"

    def usage(self) -> Usage:
        """What it has used so far; zeros once it has ended."""
        try:
            return Usage(cpu_s(self.process.pid), memory_mb(self.process.pid))
        except OSError:
            return Usage(0.0, 0.0)

    async def reports_ready(self) -> bool:
        """Whether its admin interface reports that it takes clients; False if it does not answer."""
        host, _, port = self.admin.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"status\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return line.startswith(b"SUCCESS")

    async def wait_until_ready(self, name: str) -> None:
        """Wait until it takes clients; LabError, which names it so, if it ends or is not ready in time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < end_s:
            if not self.is_running:
                raise LabError(f"{name} {self.describe_exit()}")
            if await self.reports_ready():
                return
            await asyncio.sleep(READY_POLL_S)
        raise LabError(f"{name} was not ready within {READY_TIMEOUT_S:g} s: {self.last_log_line()}")
