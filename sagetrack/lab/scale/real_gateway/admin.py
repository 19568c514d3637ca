"""Admin commands to a gateway process."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass

from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.gateway_process import GatewayProcess

START_TIMEOUT_S = 90.0  # for readiness; generous, as the gateway's core may be busy with other work
READY_POLL_S = 0.01


@dataclass(slots=True, frozen=True)
class RequestTotals:
    """The request counters of a gateway since its start."""

    served: float
    rejected: float
    failed: float

    def __sub__(self, earlier: RequestTotals) -> RequestTotals:
        """Return the requests since an earlier reading."""
        return RequestTotals(
            self.served - earlier.served, self.rejected - earlier.rejected, self.failed - earlier.failed
        )


async def run_command(process: GatewayProcess, command: bytes, terminator: bytes) -> bytes:
    """Return the gateway's response to an admin command, up to and including the terminator."""
    host, _, port = process.admin.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(command + b"\n")
        return await reader.readuntil(terminator)
    finally:
        writer.close()


async def wait_until_ready(process: GatewayProcess) -> float:
    """Wait until a gateway is ready for clients; return the waiting time in seconds.

    Raises:
        LabError: The process has ended, or is not ready within 90 s.
    """
    began_s = time.monotonic()
    while process.process.poll() is None and time.monotonic() < began_s + START_TIMEOUT_S:
        with suppress(OSError, asyncio.IncompleteReadError):
            if (await run_command(process, b"status", b"\n")).startswith(b"SUCCESS"):
                return time.monotonic() - began_s
        await asyncio.sleep(READY_POLL_S)
    raise LabError(f"the gateway ended or did not become ready in time: {process.last_log_line()}")


async def request_totals(process: GatewayProcess) -> RequestTotals:
    """Return the gateway's request counters, each summed over its labels."""
    text = (await run_command(process, b"stats", b"EOT\n")).decode()
    sums = dict.fromkeys(("answered", "deferred", "errored"), 0.0)  # as in the names of the metrics
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        for kind in sums:
            if name.startswith(f"svc_{kind}_total"):
                sums[kind] += float(value)
    return RequestTotals(served=sums["answered"], rejected=sums["deferred"], failed=sums["errored"])
