"""Checks of slow start: the load that all gateways together send to a server that is still warming up."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from sagetrack.lab.analysis.records import AttemptReceived, CallSent, Records, ServerStarted
from sagetrack.lab.analysis.violations import Violation
from sagetrack.lab.model.scenario import Fleet, Scenario

BUDGET_TOLERANCE = 1.1  # factor on a cold server's budget, for random variation


def _cold_starts(records: Records) -> dict[int, ServerStarted]:
    """Return the start of each server that had to warm up, by server."""
    return {start.server: start for start in records.of_type(ServerStarted) if start.is_cold}


def _warmth(fleet: Fleet, since_start_us: int) -> float:
    """Return the share of its full capacity that a cold server has this long after its start."""
    warm_up_us = fleet.cold_s * 1e6
    return fleet.cold_share + (1.0 - fleet.cold_share) * since_start_us / warm_up_us


def check_cold_budget(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Check that all gateways together stay within a cold server's budget of work.

    The work that arrives in any span of `fall_s` may not exceed `fall_multiple` times what the server can do
    in that time, at the capacity that it has at the end of the span. Each server is reported at most once.
    """
    warm_up_us = scenario.fleet.cold_s * 1e6
    starts = _cold_starts(records)
    arrivals: dict[int, list[AttemptReceived]] = defaultdict(list)
    for attempt in records.of_type(AttemptReceived):
        start = starts.get(attempt.server)
        if start is not None and attempt.time_us - start.time_us < warm_up_us:
            arrivals[attempt.server].append(attempt)
    for server, attempts in arrivals.items():
        violation = _first_over_budget(attempts, starts[server], scenario.fleet)
        if violation is not None:
            yield violation


def _first_over_budget(
    attempts: list[AttemptReceived], start: ServerStarted, fleet: Fleet
) -> Violation | None:
    span_us = int(fleet.fall_s * 1e6)
    oldest = 0
    total_us = 0.0
    for attempt in attempts:
        total_us += float(attempt.work_us)
        while attempts[oldest].time_us <= attempt.time_us - span_us:
            total_us -= float(attempts[oldest].work_us)
            oldest += 1
        warmth = _warmth(fleet, attempt.time_us - start.time_us)
        budget_us = fleet.fall_multiple * start.capacity * warmth * span_us
        if total_us > BUDGET_TOLERANCE * budget_us:
            reason = f"{total_us / budget_us:.2f} times its work budget in {fleet.fall_s:g} s"
            return Violation("cold_budget", attempt.time_us, attempt.call, attempt.server, reason)
    return None


@dataclass(slots=True, frozen=True)
class WarmUpWindow:
    """Calls from all gateways to a cold server in the span of `fall_s` that ends with one call's arrival.

    The unit of all amounts is a call of mean work. `calls` counts each call by the mean work of its class,
    which is what a gateway can know; `work` counts it by the work that was randomly drawn for it.
    """

    end_us: int
    call: str
    server: int
    calls: float
    work: float
    planned_calls: float  # N: what the settings allow at the server's capacity at the start of the span

    @property
    def call_limit(self) -> float:
        """Return N plus the excess that random variation may cause."""
        return self.planned_calls + 2.0 * math.sqrt(self.planned_calls) + 2.0


class _Arrival(NamedTuple):
    time_us: int
    calls: float  # mean work of the call's class, in calls of mean work
    work: float  # work that was drawn for the call, in calls of mean work


def warm_up_windows(records: Records, scenario: Scenario) -> Iterator[WarmUpWindow]:
    """Iterate over the windows of all cold servers, one for each accepted or rejected call at a server.

    The calls of all gateway processes count, including both processes during an upgrade, because the
    windows are taken from the servers' records. N is computed from the server's actual capacity and its
    warmth at the start of the window, or at the start of the server if that is later. This is the lowest
    warmth in the window, so it gives the strictest limit. A server is cold until `cold_s` after its start.
    """
    fleet = scenario.fleet
    span_us = int(fleet.fall_s * 1e6)
    warm_up_us = fleet.cold_s * 1e6
    mean_work_us = scenario.mean_work_ms * 1000
    starts = _cold_starts(records)
    calls_by_id = {
        sent.call: scenario.classes[sent.class_index].work_ms * 1000 / mean_work_us
        for sent in records.of_type(CallSent)
    }
    arrivals: dict[int, deque[_Arrival]] = defaultdict(deque)
    for attempt in records.of_type(AttemptReceived):
        start = starts.get(attempt.server)
        if start is None or attempt.time_us - start.time_us >= warm_up_us:
            continue
        window = arrivals[attempt.server]
        calls = calls_by_id.get(attempt.call, 1.0)
        window.append(_Arrival(attempt.time_us, calls, attempt.work_us / mean_work_us))
        while window[0].time_us <= attempt.time_us - span_us:
            window.popleft()
        begin_us = max(start.time_us, attempt.time_us - span_us)
        warmth = _warmth(fleet, begin_us - start.time_us)
        yield WarmUpWindow(
            end_us=attempt.time_us,
            call=attempt.call,
            server=attempt.server,
            calls=math.fsum(arrival.calls for arrival in window),
            work=math.fsum(arrival.work for arrival in window),
            planned_calls=fleet.fall_multiple * start.capacity * warmth * span_us / mean_work_us,
        )


def check_cold_sum(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Check that all gateways together send a cold server at most N + 2 * sqrt(N) + 2 calls in any window.

    The margin above N covers random variation, for any number of gateways. Each server is reported at most
    once.
    """
    reported: set[int] = set()
    for window in warm_up_windows(records, scenario):
        if window.calls > window.call_limit and window.server not in reported:
            reported.add(window.server)
            reason = (
                f"{window.calls:.0f} calls in {scenario.fleet.fall_s:g} s, N is {window.planned_calls:.1f}"
            )
            yield Violation("cold_sum", window.end_us, window.call, window.server, reason)
