"""Mutual influence of DNS and HTTP on one gateway, when one server of each protocol becomes slow.

The gateway, the HTTP servers, the DNS servers and each load run on separate cores. A closed loop first finds
the maximum throughput of each protocol alone. Then open loops at a share of it run each load alone and both
together; latency is measured from when each request was due.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from dataclasses import dataclass
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import uvloop

from sagetrack.lab.benchmarks.dns_load import RESPONSE_GRACE_S, run_dns_load
from sagetrack.lab.benchmarks.gateway_files import (
    GATEWAY_COMMAND,
    gateway_configuration,
    gateway_environment,
)
from sagetrack.lab.benchmarks.http_load import run_http_load
from sagetrack.lab.benchmarks.measured_process import (
    forked_process,
    measured_process,
    pinned_to,
    require_cores,
    wait_for_dns_response,
)
from sagetrack.lab.benchmarks.paced_loads import (
    DNS_OBJECTIVE_S,
    DNS_SLOW_S,
    HTTP_OBJECTIVE_S,
    HTTP_SLOW_S,
    LoadOutcome,
    Protocol,
    run_load,
    serve,
)
from sagetrack.lab.benchmarks.rows import rounded
from sagetrack.lab.benchmarks.throughput import CLOSED_LOOP_CONNECTIONS
from sagetrack.lab.processes.resource_usage import cpu_s, free_port

CAPACITY_S = 3.0  # duration of the closed loop that finds the maximum throughput
RECOVERY_S = HTTP_SLOW_S + DNS_SLOW_S + 8.0  # pause between measurements, so that open breakers close again
LOAD_COMBINATIONS = ((Protocol.HTTP,), (Protocol.DNS,), (Protocol.HTTP, Protocol.DNS))
# Positions in the list of available cores.
GATEWAY_CORE = 0
SERVER_CORES = {Protocol.HTTP: 1, Protocol.DNS: 2}
LOAD_CORES = {Protocol.HTTP: 3, Protocol.DNS: 4}


@dataclass(slots=True, frozen=True)
class LoadResult:
    """Result of one load in one measurement."""

    protocol: Protocol
    concurrent: str  # protocol of the load that ran at the same time, or "-"
    rate: float  # requests per second
    cpu: float  # share of its core that the gateway used, over all loads
    outcome: LoadOutcome

    def row(self) -> dict[str, Any]:
        """Return a row for JSON and the printed table, whose keys are kept for compatibility."""
        row = {
            "load": self.protocol.value,
            "beside": self.concurrent,
            "rate": self.rate,
            "asked": self.outcome.sent,
            "within": self.outcome.in_time_share,
            "refused": self.outcome.failed_share,
            "lost": self.outcome.lost,
            "p50_ms": self.outcome.p50_ms,
            "p99_ms": self.outcome.p99_ms,
            "cpu": self.cpu,
            "late": self.outcome.is_late,
        }
        return rounded(row, 4)


class _TestBed:
    """The running servers and gateway, shared by all measurements."""

    def __init__(self, cores: list[int], stack: ExitStack) -> None:
        """Start the servers and the gateway; closing `stack` stops them."""
        self.cores = cores
        shared = get_context("fork")
        self.slow = {protocol: shared.Value("i", 0) for protocol in Protocol}
        server_ports = {}
        for protocol in Protocol:
            core = cores[SERVER_CORES[protocol]]
            pipe = stack.enter_context(forked_process(serve, core, protocol, self.slow[protocol]))
            server_ports[protocol] = pipe.recv()
        stack.enter_context(pinned_to(cores[LOAD_CORES[Protocol.HTTP]]))
        self.ports = {protocol: free_port() for protocol in Protocol}
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="sagetrack-lab-")))
        environment = _gateway_environment(folder, self.ports, server_ports)
        self.gateway = stack.enter_context(
            measured_process(GATEWAY_COMMAND, environment, cores[GATEWAY_CORE])
        )
        wait_for_dns_response(self.ports[Protocol.DNS], self.gateway)

    def capacities(self) -> dict[Protocol, float]:
        """Return the maximum throughput of each protocol alone, in requests per second."""
        http = uvloop.run(run_http_load(self.ports[Protocol.HTTP], CLOSED_LOOP_CONNECTIONS, CAPACITY_S))
        dns = uvloop.run(run_dns_load(self.ports[Protocol.DNS], CAPACITY_S, True))
        return {
            Protocol.HTTP: http.succeeded / CAPACITY_S,
            Protocol.DNS: dns.answered / (CAPACITY_S + RESPONSE_GRACE_S),
        }

    def measure(self, rates: dict[Protocol, float], seconds: float) -> list[LoadResult]:
        """Run loads of the given rates (requests per second) on the gateway at the same time."""
        cpu_before_s = cpu_s(self.gateway.pid)
        start_s = time.monotonic()
        results = []
        with ExitStack() as loads:
            pipes = {
                protocol: loads.enter_context(self._load(protocol, rate, seconds))
                for protocol, rate in rates.items()
            }
            time.sleep(seconds)
            cpu = (cpu_s(self.gateway.pid) - cpu_before_s) / (time.monotonic() - start_s)
            for protocol, rate in rates.items():
                concurrent = "".join(rates.keys() - {protocol}) or "-"
                results.append(LoadResult(protocol, concurrent, rate, cpu, pipes[protocol].recv()))
                self.slow[protocol].value = 0
        return results

    def _load(self, protocol: Protocol, rate: float, seconds: float) -> AbstractContextManager[Connection]:
        core = self.cores[LOAD_CORES[protocol]]
        port = self.ports[protocol]
        return forked_process(run_load, core, protocol, port, rate, seconds, self.slow[protocol])


def _gateway_environment(
    folder: Path, ports: dict[Protocol, int], server_ports: dict[Protocol, list[int]]
) -> dict[str, str]:
    configuration = gateway_configuration(
        ports[Protocol.HTTP], server_ports[Protocol.HTTP], free_port(), free_port()
    )
    configuration["settings"]["lanes"][0]["aimUs"] = int(HTTP_OBJECTIVE_S * 1e6)
    upstreams = ", ".join(f'"127.0.0.1:{port}"' for port in server_ports[Protocol.DNS])
    operator_settings = (
        f'[dns]\nlisten = ["127.0.0.1:{ports[Protocol.DNS]}"]\nupstreams = [{upstreams}]\n'
        f"queries_each = 100000\nqueries = 100000\naim_ms = {DNS_OBJECTIVE_S * 1000:.0f}\n"
    )
    return gateway_environment(folder, configuration, operator_settings)


def measure(
    share: float, seconds: float, rounds: int, progress: Callable[[float], None] = lambda share: None
) -> dict[str, Any]:
    """Find the capacities, then measure each load alone and both together, in alternation.

    Args:
        share: rate of each load, as a share of its protocol's capacity when it runs alone.
        seconds: duration of each load.
        rounds: number of measurements of each entry of `LOAD_COMBINATIONS`.
        progress: called with the share of measurements that are finished.

    Returns:
        `capacity_http` and `capacity_dns` in requests per second, and `rows` as returned by `LoadResult.row`.

    Raises:
        LabError: fewer than 5 cores are available, or the gateway did not start.
    """
    cores = require_cores(5, "5 are needed, one for each process")
    total = rounds * len(LOAD_COMBINATIONS)
    rows = []
    with ExitStack() as stack:
        test_bed = _TestBed(cores, stack)
        capacities = test_bed.capacities()
        for number in range(total):
            protocols = LOAD_COMBINATIONS[number % len(LOAD_COMBINATIONS)]
            rates = {protocol: share * capacities[protocol] for protocol in protocols}
            rows += [result.row() for result in test_bed.measure(rates, seconds)]
            time.sleep(RECOVERY_S)
            progress((number + 1) / total)
    return {
        "capacity_http": round(capacities[Protocol.HTTP]),
        "capacity_dns": round(capacities[Protocol.DNS]),
        "rows": rows,
    }
