"""Figures of a run from its records: service, outcomes, latencies, by class, member and window of time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from sagetrack.lab.analysis.judges import RULES, Violation
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Expectations, Scenario
from sagetrack.policy.fair_queue import max_min_fair_shares

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
    advised: int = 0  # refusals that said when to come back, to a client that does as told
    advice_right: float = 1.0  # share of those who came back as told and were served then
    jain_members: float = 1.0  # Jain's index over members' service within their share
    jain_clients: float = 1.0  # over the clients of the member in which they differ the most
    duplicate_executions: int = 0  # of one key within its window, in its scope
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
        _, time, _, class_index, member, outcome, due, _ = row
        if due < settled:
            continue
        kind = scenario.classes[class_index]
        worth = kind.priority_weight * {"served": 1.0, "late": kind.late_weight}.get(outcome, 0.0)
        for key in (
            ("all", 0),
            ("class", class_index),
            ("member", member),
            ("window", due // (WINDOW_S * 1_000_000)),
        ):
            asked[key] += kind.priority_weight
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
    made.by_class = {
        request_class.name: share("class", n) for n, request_class in enumerate(scenario.classes)
    }
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
    advice(made, records)
    fairness(made, records, scenario, settled)
    made.duplicate_executions = duplicates(records, scenario)
    dns = [row for row in records.of("dns") if row[4] >= settled]
    if dns:
        made.dns_queries = len(dns)
        made.dns_service = sum(row[3] == "served" for row in dns) / len(dns)
        answered = histogram()
        for row in dns:
            if row[3] in ("served", "late"):
                answered.record_value(max(1, row[1] - row[4]))
        made.dns_p99_ms = answered.get_value_at_percentile(99) / 1000
    jumpers = {t.member for t in scenario.faults if t.member}
    calm = [member.name for member in scenario.members if member.name not in jumpers]
    made.expect_missed = missed(made, scenario.expect, calm)
    made.expect_held = not made.expect_missed
    return made


def duplicates(records: Records, scenario: Scenario) -> int:
    """Executions that took effect a second time within the key's window, wherever they were."""
    keys = {row[7]: row[4] for row in records.of("ask") if row[7] is not None}
    last: dict[int, int] = {}
    found = 0
    for row in records.of("run"):
        key, effect = row[4], row[5]
        if key is None or not effect:
            continue
        window = scenario.classes[keys[key]].window_ms * 1000 if key in keys else 0
        found += key in last and row[1] - last[key] < window
        last[key] = row[1]
    return found


ADVICE_SLACK = 0.2  # of an advised wait: who comes back within it has come as told


def advice(made: Figures, records: Records) -> None:
    """Of the clients that came back when told, how many were served then."""
    told: dict[str, tuple[int, int, int]] = {}
    verdicts: dict[str, str] = {}
    came: list[str] = []
    for row in records.of("advised", "ask", "answer"):
        if row[0] == "advised":
            made.advised += 1
            told[row[3]] = (row[4], row[1], row[5])
        elif row[0] == "ask":
            word = told.pop(row[8], None)
            if word is None:
                continue
            waited = row[1] - word[1]
            if (1 - ADVICE_SLACK) * word[2] <= waited <= (1 + ADVICE_SLACK) * word[2] + 50_000:
                came.append(row[2])
        else:
            verdicts.setdefault(row[2], row[4])
    if came:
        made.advice_right = sum(verdicts.get(call) == "served" for call in came) / len(came)


def jain(values: list[float]) -> float:
    """Jain's fairness index (Jain, Chiu, Hawe, 1984): 1 if all are equal, 1/n if one has all."""
    squares = sum(value * value for value in values)
    return min(1.0, sum(values) ** 2 / (len(values) * squares)) if squares else 1.0


def fairness(made: Figures, records: Records, scenario: Scenario, settled: float) -> None:
    """Jain's index over members and over the clients of each, of what each got over its fair part of it.

    The fair part of what was served in all is the max-min fair one: by share for members, even for clients.
    """
    who = {row[2]: row[3] for row in records.of("client")}
    asked: dict[int, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    got: dict[int, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    for row in records.of("request"):
        if row[6] >= settled:
            client = who.get(row[2], 0)
            work = scenario.classes[row[3]].work_ms
            asked[row[4]][client] += work
            got[row[4]][client] += work * (row[5] in ("served", "late"))
    members = sorted(asked)
    shares = [scenario.members[n].share for n in members]
    wanted = [sum(asked[n].values()) for n in members]
    made.jain_members = normalised(wanted, [sum(got[n].values()) for n in members], shares)
    for member in members:
        clients = [client for client in asked[member] if client]
        if len(clients) > 1 and not scenario.members[member].single_request:
            part = normalised(
                [asked[member][c] for c in clients], [got[member][c] for c in clients], [1.0] * len(clients)
            )
            made.jain_clients = min(made.jain_clients, part)


def normalised(asked: list[float], got: list[float], shares: list[float]) -> float:
    """Jain's index of each one's part over its fair part."""
    fair = max_min_fair_shares(asked, shares, sum(got))
    return jain([mine / part for mine, part in zip(got, fair, strict=True) if part > 0])


def missed(made: Figures, expect: Expectations, calm: list[str]) -> list[str]:
    """The bounds that do not hold, in words."""
    whole = max(1, made.requests)
    least = {
        "service_min": (made.service, expect.service_min),
        "worst_member_min": (min(made.by_member.values(), default=1.0), expect.worst_member_min),
        "worst_window_min": (made.worst_window, expect.worst_window_min),
        "others_min": (min((made.by_member[n] for n in calm), default=1.0), expect.others_min),
        "advice_right_min": (made.advice_right, expect.advice_right_min),
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
