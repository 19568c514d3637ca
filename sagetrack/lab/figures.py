"""Figures of a run from its records: service, outcomes, latencies, by class, member and window of time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from sagetrack.lab.judges import RULES, Violation
from sagetrack.lab.records import Records
from sagetrack.lab.scenario import Expect, Scenario

WINDOW_S = 5
LONGEST_US = 3_600_000_000
LATE_SHARE = 0.01  # of the arrivals: more of them late, and the run is marked as late


def histogram() -> HdrHistogram:
    """A histogram of microseconds up to an hour, to three digits (Tene's HDR histogram)."""
    return HdrHistogram(1, LONGEST_US, 3)


@dataclass(slots=True)
class Figures:
    """What a run came to. Shares are of requests asked for after the settling time."""

    service: float = 0.0  # worth answered in time over worth asked for
    requests: int = 0
    served: int = 0  # within the aim
    too_late: int = 0  # within the deadline only
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
    late: bool = False  # the load ran late: not to be scored
    dns_queries: int = 0
    dns_service: float = 1.0  # share of DNS queries answered within their aim
    dns_p99_ms: float = 0.0
    expect_held: bool = True
    expect_missed: list[str] = field(default_factory=list)

    def plain(self) -> dict[str, Any]:
        """Rounded, for JSON."""
        return {name: _rounded(value) for name, value in asdict(self).items()}


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 4)
    return {key: _rounded(item) for key, item in value.items()} if isinstance(value, dict) else value


def figures(records: Records, scenario: Scenario, violations: list[Violation]) -> Figures:
    """Work out the figures, and hold them against the scenario's bounds.

    A latency runs from the moment that the request was due, not from when it could be sent: an answer that
    held up later requests counts for these too (no coordinated omission).
    """
    made = Figures()
    times = histogram()
    settled = scenario.settle_s * 1e6
    got: dict[tuple[str, int], float] = defaultdict(float)
    asked: dict[tuple[str, int], float] = defaultdict(float)
    for row in records.of("request"):
        _, time, _, klass, member, outcome, due, _ = row
        if due < settled:
            continue
        kind = scenario.classes[klass]
        worth = kind.worth * {"served": 1.0, "late": kind.late_worth}.get(outcome, 0.0)
        for key in (
            ("all", 0),
            ("class", klass),
            ("member", member),
            ("window", due // (WINDOW_S * 1_000_000)),
        ):
            asked[key] += kind.worth
            got[key] += worth
        made.requests += 1
        made.served += outcome == "served"
        made.too_late += outcome == "late"
        made.refused += outcome == "refused"
        made.failed += outcome == "failed"
        made.unanswered += outcome == "unanswered"
        if outcome in ("served", "late"):
            times.record_value(max(1, time - due))

    def share(kind: str, number: int) -> float:
        whole = asked[kind, number]
        return got[kind, number] / whole if whole else 1.0

    made.service = share("all", 0)
    made.by_class = {klass.name: share("class", n) for n, klass in enumerate(scenario.classes)}
    made.by_member = {member.name: share("member", n) for n, member in enumerate(scenario.members)}
    windows = [key for key in asked if key[0] == "window"]
    made.worst_window = min((share(*key) for key in windows), default=1.0)
    made.attempts = sum(1 for _ in records.of("recv"))
    made.p50_ms, made.p99_ms, made.p999_ms = (
        times.get_value_at_percentile(p) / 1000 if made.served + made.too_late else 0.0
        for p in (50, 99, 99.9)
    )
    made.rules_broken = {rule: count for rule in RULES if (count := sum(v.rule == rule for v in violations))}
    late = sum(1 for _ in records.of("late"))
    made.late = late > LATE_SHARE * max(1, made.requests)
    dns = [row for row in records.of("dns") if row[4] >= settled]
    if dns:
        made.dns_queries = len(dns)
        made.dns_service = sum(row[3] == "served" for row in dns) / len(dns)
        answered = histogram()
        for row in dns:
            if row[3] in ("served", "late"):
                answered.record_value(max(1, row[1] - row[4]))
        made.dns_p99_ms = answered.get_value_at_percentile(99) / 1000
    made.expect_missed = missed(made, scenario.expect)
    made.expect_held = not made.expect_missed
    return made


def missed(made: Figures, expect: Expect) -> list[str]:
    """The bounds that do not hold, in words."""
    whole = max(1, made.requests)
    least = {
        "service_min": (made.service, expect.service_min),
        "worst_member_min": (min(made.by_member.values(), default=1.0), expect.worst_member_min),
        "worst_window_min": (made.worst_window, expect.worst_window_min),
        "dns_service_min": (made.dns_service, expect.dns_service_min),
    }
    most = {
        "refused_max": (made.refused / whole, expect.refused_max),
        "failed_max": ((made.failed + made.unanswered) / whole, expect.failed_max),
        "p99_ms_max": (made.p99_ms, expect.p99_ms_max),
    }
    words = [f"{name} {bound:g}: was {value:.4g}" for name, (value, bound) in least.items() if value < bound]
    return words + [
        f"{name} {bound:g}: was {value:.4g}" for name, (value, bound) in most.items() if value > bound
    ]
