"""Judges of slow start: what all gateways together send to a server that is still warming up."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from sagetrack.lab.analysis.records import AttemptReceived, CallSent, Records, ServerStarted
from sagetrack.lab.analysis.violations import Violation
from sagetrack.lab.model.scenario import Fleet, Scenario

BUDGET_TOLERANCE = 1.1  # times a cold server's budget, for chance


def _cold_starts(records: Records) -> dict[int, ServerStarted]:
    """By number, the start of each server that had to warm up."""
    return {start.server: start for start in records.of_type(ServerStarted) if start.is_cold}


def _warmth(fleet: Fleet, since_start_us: int) -> float:
    """The share of its capacity that a cold server has so long after its start."""
    warm_up_us = fleet.cold_s * 1e6
    return fleet.cold_share + (1.0 - fleet.cold_share) * since_start_us / warm_up_us


def check_cold_budget(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """All gateways together stay within a cold server's budget of work.

    In no span of `fall_s` may more come than `fall_multiple` times what the server can do by then. Reported
    once for each server.
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
            reason = f"{total_us / budget_us:.2f} times its budget in {fleet.fall_s:g} s"
            return Violation("cold_budget", attempt.time_us, attempt.call, attempt.server, reason)
    return None


@dataclass(slots=True, frozen=True)
class WarmUpWindow:
    """The span of `fall_s` that ends with one call's arrival at a cold server, over all gateways together.

    All in calls of mean work. `calls` counts each call as the mean of its class, which is what a gateway can
    know; `work` counts it as the work that was drawn for it.
    """

    end_us: int
    call: str
    server: int
    calls: float
    work: float
    planned_calls: float  # N: what the settings allow the server by its warmth at the span's begin

    @property
    def call_limit(self) -> float:
        """N, and what may come by chance beyond it."""
        return self.planned_calls + 2.0 * math.sqrt(self.planned_calls) + 2.0


class _Arrival(NamedTuple):
    time_us: int
    calls: float  # the mean work of its class, in calls of mean work
    work: float  # the work that was drawn for it, likewise


def warm_up_windows(records: Records, scenario: Scenario) -> Iterator[WarmUpWindow]:
    """Every window of every cold server: one for each call that reached it, accepted or rejected.

    All processes of all gateways count, also the old and the new one of an upgrade: the server's own records
    say what came. N goes by the server's true capacity and by its warmth when the window begins, or when
    the server started if that is later: the least that it has within the window, so that nothing passes
    that any other moment would forbid. A server counts as cold until `cold_s` after its start.
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
    """All gateways together send a cold server no more than N + 2 x root of N + 2 calls in any window.

    What is beyond N may come by chance, for any number of gateways. Reported once for each server.
    """
    reported: set[int] = set()
    for window in warm_up_windows(records, scenario):
        if window.calls > window.call_limit and window.server not in reported:
            reported.add(window.server)
            reason = (
                f"{window.calls:.0f} calls in {scenario.fleet.fall_s:g} s, N is {window.planned_calls:.1f}"
            )
            yield Violation("cold_sum", window.end_us, window.call, window.server, reason)
