"""Metrics of a run, computed from its records: service, outcomes and latencies."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from sagetrack.lab.analysis.fairness import compute_fairness
from sagetrack.lab.analysis.judges import RULES
from sagetrack.lab.analysis.records import (
    CallAnswered,
    CallSent,
    DnsQueryFinished,
    Execution,
    LateSend,
    Records,
    RequestFinished,
    RetryAdvised,
)
from sagetrack.lab.analysis.violations import Violation
from sagetrack.lab.model.scenario import Expectations, Scenario

WINDOW_S = 5
MAX_LATENCY_US = 3_600_000_000
MAX_LATE_SHARE = 0.01  # of the requests; a run in which more are sent late is marked as late
ADVICE_TOLERANCE = 0.2  # relative deviation from the advised wait within which a retry followed it
ADVICE_SLACK_US = 50_000  # additional deviation, for clock differences and scheduling delays


def latency_histogram() -> HdrHistogram:
    """Return an empty HDR histogram of microseconds, up to one hour with three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@dataclass(slots=True)
class Figures:
    """The results of a run. Only requests that were due after the settling time count.

    The fields have the names of the keys in JSON results and in sweep files.
    """

    service: float = 0.0  # priority weight served, as a share of the weight requested
    requests: int = 0
    served: int = 0  # within the latency objective
    too_late: int = 0  # within the deadline, but not within the latency objective
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    attempts: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    p999_ms: float = 0.0
    worst_window: float = 1.0
    by_class: dict[str, float] = field(default_factory=dict)
    by_member: dict[str, float] = field(default_factory=dict)
    rules_broken: dict[str, int] = field(default_factory=dict)
    late: bool = False  # too many requests were sent late, so the run must not be scored
    advised: int = 0  # refusals with a retry time, sent to clients that honor it
    advice_right: float = 1.0  # share of retries at the advised time that were served
    jain_members: float = 1.0  # Jain's index over the members, weighted by their shares
    jain_clients: float = 1.0  # lowest Jain's index over the clients of any one member
    duplicate_executions: int = 0  # executions of an idempotency key that was executed within its window
    dns_queries: int = 0
    dns_service: float = 1.0  # share of DNS queries answered within the latency objective
    dns_p99_ms: float = 0.0
    expect_held: bool = True
    expect_missed: list[str] = field(default_factory=list)

    def to_json(self) -> dict[str, Any]:
        """Return the fields by name, with rounded numbers."""
        return {name: _rounded(value) for name, value in asdict(self).items()}


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 4)
    return {key: _rounded(item) for key, item in value.items()} if isinstance(value, dict) else value


def compute_figures(records: Records, scenario: Scenario, violations: list[Violation]) -> Figures:
    """Compute the results of a run, and compare them with the scenario's expectations.

    Latency is measured from the time at which a request was due rather than from when it was sent. A slow
    response that delays later requests therefore adds to their latency, too (no coordinated omission).
    """
    settled_us = scenario.settle_s * 1e6
    requests = [request for request in records.of_type(RequestFinished) if request.due_us >= settled_us]
    results = Figures(requests=len(requests))
    _count_outcomes(results, requests)
    _measure_service(results, requests, scenario)
    _measure_latency(results, requests)
    results.attempts = sum(1 for _ in records.rows_of("recv"))
    broken = Counter(violation.rule for violation in violations)
    results.rules_broken = {rule: broken[rule] for rule in RULES if broken[rule]}
    late_sends = sum(1 for _ in records.of_type(LateSend))
    results.late = late_sends > MAX_LATE_SHARE * max(1, results.requests)
    _measure_advice(results, records)
    results.jain_members, results.jain_clients = compute_fairness(records, requests, scenario)
    results.duplicate_executions = _count_duplicates(records, scenario)
    _measure_dns(results, records, settled_us)
    results.expect_missed = _missed_bounds(results, scenario.expect, _members_without_faults(scenario))
    results.expect_held = not results.expect_missed
    return results


def _count_outcomes(results: Figures, requests: Iterable[RequestFinished]) -> None:
    outcomes = Counter(request.outcome for request in requests)
    results.served = outcomes["served"]
    results.too_late = outcomes["late"]
    results.refused = outcomes["refused"]
    results.failed = outcomes["failed"]
    results.unanswered = outcomes["unanswered"]


class _Group(NamedTuple):
    """Requests that are counted together: all, or those of one class, member or time window."""

    kind: str
    number: int


class _ServiceTally:
    """Sums of the requested and the served priority weight for each group of requests."""

    def __init__(self) -> None:
        self._requested: dict[_Group, float] = defaultdict(float)
        self._served: dict[_Group, float] = defaultdict(float)

    def add(self, group: _Group, requested: float, served: float) -> None:
        self._requested[group] += requested
        self._served[group] += served

    def share(self, kind: str, number: int) -> float:
        """Return the share of the requested weight that was served, or 1 for a group without requests."""
        group = _Group(kind, number)
        requested = self._requested.get(group, 0.0)
        return self._served[group] / requested if requested else 1.0

    def shares(self, kind: str) -> list[float]:
        return [self.share(*group) for group in self._requested if group.kind == kind]


def _measure_service(results: Figures, requests: Iterable[RequestFinished], scenario: Scenario) -> None:
    tally = _ServiceTally()
    for request in requests:
        request_class = scenario.classes[request.class_index]
        weight_of_outcome = {"served": 1.0, "late": request_class.late_weight}
        served = request_class.priority_weight * weight_of_outcome.get(request.outcome, 0.0)
        for group in (
            _Group("all", 0),
            _Group("class", request.class_index),
            _Group("member", request.member),
            _Group("window", request.due_us // (WINDOW_S * 1_000_000)),
        ):
            tally.add(group, request_class.priority_weight, served)
    results.service = tally.share("all", 0)
    results.by_class = {
        request_class.name: tally.share("class", number)
        for number, request_class in enumerate(scenario.classes)
    }
    results.by_member = {
        member.name: tally.share("member", number) for number, member in enumerate(scenario.tenants)
    }
    results.worst_window = min(tally.shares("window"), default=1.0)


def _latencies(finished: Iterable[RequestFinished | DnsQueryFinished]) -> HdrHistogram:
    """Return the latencies, from the due time, of requests or queries that were served or late."""
    latencies = latency_histogram()
    for row in finished:
        if row.outcome in ("served", "late"):
            latencies.record_value(max(1, row.time_us - row.due_us))
    return latencies


def _measure_latency(results: Figures, requests: Iterable[RequestFinished]) -> None:
    if not results.served + results.too_late:
        return
    latencies = _latencies(requests)
    results.p50_ms = latencies.get_value_at_percentile(50) / 1000
    results.p99_ms = latencies.get_value_at_percentile(99) / 1000
    results.p999_ms = latencies.get_value_at_percentile(99.9) / 1000


def _measure_dns(results: Figures, records: Records, settled_us: float) -> None:
    queries = [query for query in records.of_type(DnsQueryFinished) if query.due_us >= settled_us]
    if not queries:
        return
    results.dns_queries = len(queries)
    results.dns_service = sum(query.outcome == "served" for query in queries) / len(queries)
    results.dns_p99_ms = _latencies(queries).get_value_at_percentile(99) / 1000


def _count_duplicates(records: Records, scenario: Scenario) -> int:
    """Count executions of a key, at any server, that follow another one within the key's window."""
    class_of_key = {sent.key: sent.class_index for sent in records.of_type(CallSent) if sent.key is not None}
    last_us: dict[int, int] = {}
    duplicates = 0
    for execution in records.of_type(Execution):
        key = execution.key
        if key is None or not execution.has_effect:
            continue
        window_us = scenario.classes[class_of_key[key]].window_ms * 1000 if key in class_of_key else 0
        duplicates += key in last_us and execution.time_us - last_us[key] < window_us
        last_us[key] = execution.time_us
    return duplicates


def _measure_advice(results: Figures, records: Records) -> None:
    """Compute the share of retries sent at the advised time that were served."""
    advice_by_request: dict[str, RetryAdvised] = {}
    first_verdicts: dict[str, str] = {}
    followed: list[str] = []
    for record in records.of_types(RetryAdvised, CallSent, CallAnswered):
        if isinstance(record, RetryAdvised):
            results.advised += 1
            advice_by_request[record.request] = record
        elif isinstance(record, CallSent):
            advice = advice_by_request.pop(record.request, None)
            if advice is not None and _follows_advice(record, advice):
                followed.append(record.call)
        elif isinstance(record, CallAnswered):
            first_verdicts.setdefault(record.call, record.verdict)
    if followed:
        served = sum(first_verdicts.get(call) == "served" for call in followed)
        results.advice_right = served / len(followed)


def _follows_advice(retry: CallSent, advice: RetryAdvised) -> bool:
    """Return whether a retry was sent at about the advised time."""
    waited_us = retry.time_us - advice.time_us
    least_us = (1 - ADVICE_TOLERANCE) * advice.retry_after_us
    most_us = (1 + ADVICE_TOLERANCE) * advice.retry_after_us + ADVICE_SLACK_US
    return least_us <= waited_us <= most_us


def _members_without_faults(scenario: Scenario) -> list[str]:
    """Return the names of the members that are not the target of a scheduled fault."""
    faulted = {fault.member for fault in scenario.faults if fault.member}
    return [member.name for member in scenario.tenants if member.name not in faulted]


def _missed_bounds(results: Figures, expect: Expectations, unaffected: Sequence[str]) -> list[str]:
    """Return a message for each unmet expectation, which starts with the bound's key in the scenario."""
    requests = max(1, results.requests)
    worst_unaffected = min((results.by_member[name] for name in unaffected), default=1.0)
    lower_bounds = {
        "service_min": (results.service, expect.service_min),
        "worst_member_min": (min(results.by_member.values(), default=1.0), expect.worst_member_min),
        "worst_window_min": (results.worst_window, expect.worst_window_min),
        "others_min": (worst_unaffected, expect.others_min),
        "advice_right_min": (results.advice_right, expect.advice_right_min),
        "dns_service_min": (results.dns_service, expect.dns_service_min),
    }
    upper_bounds = {
        "refused_max": (results.refused / requests, expect.refused_max),
        "failed_max": ((results.failed + results.unanswered) / requests, expect.failed_max),
        "p99_ms_max": (results.p99_ms, expect.p99_ms_max),
    }
    missed = [(name, value, bound) for name, (value, bound) in lower_bounds.items() if value < bound]
    missed += [(name, value, bound) for name, (value, bound) in upper_bounds.items() if value > bound]
    return [f"{name} {bound:g}: was {value:.4g}" for name, value, bound in missed]
