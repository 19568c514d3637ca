"""Starts the child processes of a soak and ensures that none outlives the run."""

from __future__ import annotations

import asyncio
import os
import resource
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import Mapping
from pathlib import Path

from sagetrack.lab.processes.child_process import die_with_parent, prepare_gateway
from sagetrack.lab.repository import ROOT

MODULE_PACKAGE = "sagetrack.lab.soak"


class ProcessSupervisor:
    """Starts the processes of one run and kills them at its end.

    The kernel kills them if this process dies.
    """

    def __init__(self, folder: Path, gateway_module: str = "sagetrack") -> None:
        self._folder = folder
        self._gateway_module = gateway_module
        self._processes: list[Process] = []

    async def start_module(self, module: str, name: str, *arguments: str) -> Process:
        """Start a module of this package as a process.

        Its standard input and output are pipes; its standard error is appended to NAME.log.
        """
        with (self._folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"{MODULE_PACKAGE}.{module}",
                *arguments,
                cwd=ROOT,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
                stdin=PIPE,
                stdout=PIPE,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        self._processes.append(process)
        return process

    async def start_gateway(
        self, environment: Mapping[str, str], listener_fd: int, log: Path, max_descriptors: int
    ) -> Process:
        """Start a gateway process that inherits its listening socket; its output is appended to the log.

        As on the platform, it can open no more than `max_descriptors` descriptors.
        """
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._gateway_module,
                cwd=ROOT,
                env=os.environ | environment | {"PYTHONPATH": str(ROOT)},
                stdout=output,
                stderr=output,
                pass_fds=[listener_fd],
                preexec_fn=prepare_gateway,
            )
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))
        self._processes.append(process)
        return process

    def kill_all(self) -> None:
        """Kill every process that is still running, without waiting for it."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()


def send_line(process: Process, line: bytes) -> None:
    """Write a line to the standard input of a process. Does nothing if the process has ended."""
    if process.returncode is None and process.stdin is not None:
        process.stdin.write(line + b"\n")
