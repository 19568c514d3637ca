"""Evaluates one run from its events and its history."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from sagetrack.lab.soak.events import AnyEvent, RequestSent, ResponseReceived
from sagetrack.lab.soak.fault_schedule import ScheduledFault
from sagetrack.lab.soak.history import History
from sagetrack.lab.soak.oracle import Rule, Violation, find_violations

MIN_SERVED_SHARE = 0.2  # with a lower share of served requests a run is not meaningful


@dataclass(slots=True)
class SoakReport:
    """The results of one seed."""

    seed: int
    violations: list[Violation]
    faults: list[ScheduledFault]
    sent: int  # number of requests, not counting resends
    served: int  # number of responses with status 200
    failed_system_calls: int
    peak_memory_mb: float = 0.0  # of all processes of one gateway together
    limitations: list[str] = field(default_factory=list)  # faults that this machine cannot inject


def evaluate_run(
    seed: int,
    events: Sequence[AnyEvent],
    history: History,
    faults: list[ScheduledFault],
    failed_system_calls: int,
) -> SoakReport:
    """Evaluate one run from its events, in chronological order, and its history.

    In addition to the oracle's rules, `Rule.ENOUGH_SERVED` requires that at least `MIN_SERVED_SHARE` of the
    requests are served.
    """
    served = sum(isinstance(event, ResponseReceived) and event.status == 200 for event in events)
    sent = sum(isinstance(event, RequestSent) and not event.is_resend for event in events)
    violations = find_violations(events, history)
    if served < sent * MIN_SERVED_SHARE:
        detail = f"{served} of {sent} requests served, too few for a meaningful run"
        violations.append(Violation(Rule.ENOUGH_SERVED, detail))
    return SoakReport(seed, violations, faults, sent, served, failed_system_calls)
