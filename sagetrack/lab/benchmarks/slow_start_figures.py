"""Figures of servers that start cold and warm up: what all gateways sent to them, and what they could do.

They are worked out from a run's records alone; `records.FIELDS` says what a record holds.
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

COMPARED_US = 12_000_000  # after the first cold start: capacity and work of that time are compared
STEP_US = 100_000  # in which they are compared
OFFERED_STEPS = 1_000_000 // STEP_US  # over which the work that is asked for is averaged


@dataclass(slots=True)
class SlowStartFigures:
    """What servers that started cold were sent, over all gateways. Requests are of mean work."""

    gateways: int
    case: str
    seed: int
    cold_servers: int  # that started cold
    crashed: int  # of these
    windows: int = 0
    windows_over_budget: int = 0  # with more than N + 2 x root of N + 2 requests
    max_window_requests: float = 0.0  # that a window had, as a share of its budget
    max_window_work: float = 0.0  # the same by the work that was drawn for each request
    usable_requests: float = 0.0  # that cold servers could have done in FIRST_US, as far as there was work
    received_requests: float = 0.0  # that reached them then, no more of them than a server can do
    answered: int = 0  # by them then, and taken by the client
    first_attempts: int = 0  # in that time
    served_in_time: int = 0  # requests asked for in that time that were answered within their objective

    @property
    def used_share(self) -> float:
        """Share of the usable requests that were received; 1 where there was no work for cold servers."""
        return min(1.0, self.received_requests / self.usable_requests) if self.usable_requests else 1.0

    def to_json(self) -> dict[str, Any]:
        """Return the figures rounded to 4 digits.

        The keys stay as they were stored from the first; the fields have today's names.
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
    """A server's life. Times in microseconds of the run."""

    number: int
    started_us: int
    stopped_us: float  # infinite if it did not
    crashed: bool
    is_cold: bool  # when it starts
    capacity: float  # in cores, when it is warm

    def is_up(self, time_us: int) -> bool:
        """Return whether it has not stopped by then."""
        return self.stopped_us > time_us


def _servers(records: Records) -> list[_Server]:
    stops = {server: (time_us, how) for _, time_us, server, how in records.of("stop")}
    servers = {}
    for _, time_us, number, _, _, is_cold, capacity in records.of("start"):
        stopped_us, how = stops.get(number, (math.inf, ""))
        servers[number] = _Server(number, time_us, stopped_us, how == "fell", bool(is_cold), capacity)
    return list(servers.values())


def figures(records: Records, scenario: Scenario, case: str = "") -> SlowStartFigures:
    """Work out the figures of a run.

    The work that there is for cold servers is that of the first attempts in the second before, less what the
    warm servers can do. What cold servers could have done is the smaller of that and of their capacity, step
    by step, as they warm up.
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
            for _, _, _, _, _, outcome, due_us, _ in records.of("request")
        )
    return result


def _add_windows(result: SlowStartFigures, records: Records, scenario: Scenario) -> None:
    for window in warm_up_windows(records, scenario):
        result.windows += 1
        result.windows_over_budget += window.calls > window.budget
        result.max_window_requests = max(result.max_window_requests, window.calls / window.budget)
        result.max_window_work = max(result.max_window_work, window.work / window.budget)


def _offered_work_us(
    result: SlowStartFigures, records: Records, scenario: Scenario, steps: range
) -> dict[int, float]:
    """Return the mean work of first attempts by step, and count those of `steps`."""
    offered_us: dict[int, float] = defaultdict(float)
    for _, time_us, _, _, class_index, _, _, _, _, attempt in records.of("ask"):
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
    """Add up what cold servers could have done; returns each one's capacity in requests over all steps."""
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
    """Count what cold servers received and answered before `end_us`."""
    received: dict[int, int] = defaultdict(int)
    last_server: dict[str, int] = {}  # by attempt of a client: the server that took it last
    for _, time_us, call, server, _, verdict, _, _ in records.of("recv"):
        if verdict == "taken":
            last_server[call] = server
            received[server] += server in capacities and time_us < end_us
    result.received_requests = math.fsum(
        min(float(count), capacities[server]) for server, count in received.items() if server in capacities
    )
    result.answered = sum(
        verdict == "served" and time_us < end_us and last_server.get(call) in capacities
        for _, time_us, call, _, verdict, _ in records.of("answer")
    )


def warmth(scenario: Scenario, age_us: int) -> float:
    """Return the share of its capacity that a server has at an age after a cold start, as in the model."""
    fleet = scenario.fleet
    warm_up_us = fleet.cold_s * 1e6
    if age_us >= warm_up_us:
        return 1.0
    return fleet.cold_share + (1.0 - fleet.cold_share) * max(0, age_us) / warm_up_us
