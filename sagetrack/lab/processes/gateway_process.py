"""One gateway process: its start, readiness check, resource usage and end."""

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
from sagetrack.lab.processes.child_process import prepare_gateway
from sagetrack.lab.processes.resource_usage import cpu_s, memory_mb
from sagetrack.lab.repository import ROOT

READY_TIMEOUT_S = 15.0  # maximum time from a gateway's start until it reports that it is ready
READY_POLL_S = 0.01
EXCLUDED_VARIABLES = (
    "LB_ACCEPT_FD",
    "LB_OPERATOR",
    "LB_ADMIN",
)  # removed from the environment of gateways


class Usage(NamedTuple):
    """Resource usage of one or more gateways."""

    cpu_s: float  # CPU seconds since the start
    memory_mb: float  # resident megabytes; of several processes, those of the largest


class GatewayProcess:
    """A gateway process. The constructor starts it; the kernel kills it if this process ends.

    `folder` receives its configuration and its log, and `number` distinguishes processes that share a
    folder. The gateway inherits `listener`, if given, as the socket to accept from. `operator_settings` is
    the text of its operator file; if it is empty, there is no such file. `process` is the child process,
    `log` the file that receives its output, and `admin` the "host:port" of its admin interface.
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
        environment = {name: value for name, value in os.environ.items() if name not in EXCLUDED_VARIABLES}
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
                preexec_fn=prepare_gateway,
            )

    @property
    def is_running(self) -> bool:
        """True until the process ends."""
        return self.process.poll() is None

    def last_log_line(self) -> str:
        """Return the last line of the process's output."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "no output"

    def describe_exit(self) -> str:
        """Describe for error messages how an ended process ended: its exit status and last log line."""
        return f"ended with status {self.process.returncode}; last log line: {self.last_log_line()}"

    def usage(self) -> Usage:
        """Return the resources used so far, or zeros once the process has ended."""
        try:
            return Usage(cpu_s(self.process.pid), memory_mb(self.process.pid))
        except OSError:
            return Usage(0.0, 0.0)

    async def reports_ready(self) -> bool:
        """Return True if the admin interface reports that the gateway accepts clients.

        Returns False if the admin interface cannot be reached.
        """
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
        """Wait until the gateway accepts clients.

        Raises LabError, whose message begins with `name`, if the gateway ends or is not ready in time.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < end_s:
            if not self.is_running:
                raise LabError(f"{name} {self.describe_exit()}")
            if await self.reports_ready():
                return
            await asyncio.sleep(READY_POLL_S)
        raise LabError(
            f"{name} was not ready within {READY_TIMEOUT_S:g} s; last log line: {self.last_log_line()}"
        )
