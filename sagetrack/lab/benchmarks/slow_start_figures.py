"""Slow start figures: the load that all gateways sent to cold servers, compared with the servers' capacity.

The figures are computed from the records of a run; `records.FIELDS` describes the fields of a record.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import Any, NamedTuple

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.analysis.warm_up import warm_up_windows
from sagetrack.lab.benchmarks.rows import rounded
from sagetrack.lab.model.scenario import Scenario

# Time after the first cold start over which the load on cold servers is compared with their capacity.
COMPARED_US = 12_000_000
STEP_US = 100_000  # time step of that comparison
OFFERED_STEPS = 1_000_000 // STEP_US  # number of steps over which offered work is averaged


@dataclass(slots=True)
class SlowStartFigures:
    """Load on servers that start cold, summed over all gateways.

    Capacity is given in requests of the scenario's mean work.
    """

    gateways: int
    case: str
    seed: int
    cold_servers: int  # number of servers that started cold
    crashed: int  # number of these that crashed
    windows: int = 0  # number of warm-up windows, see `warm_up_windows`
    # Windows with more than N + 2 * sqrt(N) + 2 requests, where N is the budget that its warm-up allows.
    windows_over_budget: int = 0
    max_window_requests: float = 0.0  # maximum of a window's requests relative to its budget
    max_window_work: float = 0.0  # the same for the actual work of the requests
    # The following are counted within COMPARED_US after the first cold start.
    usable_requests: float = 0.0  # capacity of cold servers for which there was work
    received_requests: float = 0.0  # requests that reached cold servers, at most the capacity of each
    answered: int = 0  # responses of cold servers that the clients accepted
    first_attempts: int = 0  # first attempts of all requests
    served_in_time: int = 0  # requests due in that time that were served within their objective

    @property
    def used_share(self) -> float:
        """`received_requests` relative to `usable_requests`; 1 if there was no work for cold servers."""
        return min(1.0, self.received_requests / self.usable_requests) if self.usable_requests else 1.0

    def to_json(self) -> dict[str, Any]:
        """Return the figures rounded to 4 digits.

        The keys are kept for compatibility with stored results, so some differ from the field names.
        """
        row = {
            "gateways": self.gateways,
            "case": self.case,
            "seed": self.seed,
            "cold": self.cold_servers,
            "fell": self.crashed,
            "windows": self.windows,
            "past_budget": self.windows_over_budget,
            "most_calls": self.max_window_requests,
            "most_work": self.max_window_work,
            "could": self.usable_requests,
            "sent": self.received_requests,
            "answered": self.answered,
            "asked": self.first_attempts,
            "in_time": self.served_in_time,
            "used": self.used_share,
        }
        return rounded(row, 4)


class _Server(NamedTuple):
    """Start, stop and capacity of a server. Times are microseconds since the start of the run."""

    number: int
    started_us: int
    stopped_us: float  # infinity if it did not stop
    crashed: bool
    is_cold: bool  # whether it starts cold
    capacity: float  # number of cores that it has when warm

    def is_up(self, time_us: int) -> bool:
        """Return whether the server has not stopped by `time_us`."""
        return self.stopped_us > time_us


def _servers(records: Records) -> list[_Server]:
    stops = {server: (time_us, how) for _, time_us, server, how in records.rows_of("stop")}
    servers = {}
    for _, time_us, number, _, _, is_cold, capacity in records.rows_of("start"):
        stopped_us, how = stops.get(number, (math.inf, ""))
        servers[number] = _Server(number, time_us, stopped_us, how == "fell", bool(is_cold), capacity)
    return list(servers.values())


def figures(records: Records, scenario: Scenario, case: str = "") -> SlowStartFigures:
    """Compute the figures of a run.

    The work available for cold servers is the offered work, averaged over the last second of first attempts,
    less the capacity of the warm servers. The usable capacity of cold servers is the smaller of this and
    their capacity while warming up, summed over all time steps.
    """
    servers = _servers(records)
    cold = [server for server in servers if server.is_cold]
    result = SlowStartFigures(
        gateways=scenario.fleet.gateways,
        case=case,
        seed=int(records.header["seed"]),
        cold_servers=len(cold),
        crashed=sum(server.crashed for server in cold),
    )
    _add_windows(result, records, scenario)
    if cold:
        first_us = min(server.started_us for server in cold)
        steps = range(first_us // STEP_US, (first_us + COMPARED_US) // STEP_US)
        offered_us = _offered_work_us(result, records, scenario, steps)
        capacities = _add_usable(result, scenario, servers, offered_us, steps)
        _add_received(result, records, capacities, first_us + COMPARED_US)
        result.served_in_time = sum(
            outcome == "served" and due_us // STEP_US in steps
            for _, _, _, _, _, outcome, due_us, _ in records.rows_of("request")
        )
    return result


def _add_windows(result: SlowStartFigures, records: Records, scenario: Scenario) -> None:
    for window in warm_up_windows(records, scenario):
        result.windows += 1
        result.windows_over_budget += window.calls > window.call_limit
        result.max_window_requests = max(result.max_window_requests, window.calls / window.call_limit)
        result.max_window_work = max(result.max_window_work, window.work / window.call_limit)


def _offered_work_us(
    result: SlowStartFigures, records: Records, scenario: Scenario, steps: range
) -> dict[int, float]:
    """Return the offered work of first attempts by step, and count the first attempts within `steps`."""
    offered_us: dict[int, float] = defaultdict(float)
    for _, time_us, _, _, class_index, _, _, _, _, attempt in records.rows_of("ask"):
        if attempt == 1:
            step = time_us // STEP_US
            offered_us[step] += scenario.classes[class_index].work_ms * 1000
            result.first_attempts += step in steps
    return offered_us


def _add_usable(
    result: SlowStartFigures,
    scenario: Scenario,
    servers: list[_Server],
    offered_us: dict[int, float],
    steps: range,
) -> dict[int, float]:
    """Sum up the usable capacity of cold servers, and return each one's total capacity in requests."""
    mean_work_us = scenario.mean_work_ms * 1000
    capacities: dict[int, float] = {server.number: 0.0 for server in servers if server.is_cold}
    for step in steps:
        start_us = step * STEP_US
        offered_last_second_us = math.fsum(offered_us.get(step - n, 0.0) for n in range(OFFERED_STEPS))
        up = [server for server in servers if server.is_up(start_us)]
        warm_cores = math.fsum(server.capacity for server in up if not server.is_cold)
        cold_cores = {
            server.number: server.capacity * warmth(scenario, start_us + STEP_US // 2 - server.started_us)
            for server in up
            if server.is_cold and server.started_us <= start_us
        }
        cold_us = math.fsum(cold_cores.values()) * STEP_US
        available_us = max(0.0, offered_last_second_us / OFFERED_STEPS - warm_cores * STEP_US)
        usable_share = min(1.0, available_us / cold_us) if cold_us else 0.0
        result.usable_requests += usable_share * cold_us / mean_work_us
        for number, cores in cold_cores.items():
            capacities[number] += cores * STEP_US / mean_work_us
    return capacities


def _add_received(
    result: SlowStartFigures, records: Records, capacities: dict[int, float], end_us: int
) -> None:
    """Count the requests that cold servers received and answered before `end_us`."""
    received: dict[int, int] = defaultdict(int)
    last_server: dict[str, int] = {}  # the last server that accepted each client attempt
    for _, time_us, call, server, _, verdict, _, _ in records.rows_of("recv"):
        if verdict == "taken":
            last_server[call] = server
            received[server] += server in capacities and time_us < end_us
    result.received_requests = math.fsum(
        min(float(count), capacities[server]) for server, count in received.items() if server in capacities
    )
    result.answered = sum(
        verdict == "served" and time_us < end_us and last_server.get(call) in capacities
        for _, time_us, call, _, verdict, _ in records.rows_of("answer")
    )


def warmth(scenario: Scenario, age_us: int) -> float:
    """Return the share of its full capacity that the model gives a server `age_us` after a cold start."""
    fleet = scenario.fleet
    warm_up_us = fleet.cold_s * 1e6
    if age_us >= warm_up_us:
        return 1.0
    return fleet.cold_share + (1.0 - fleet.cold_share) * max(0, age_us) / warm_up_us
