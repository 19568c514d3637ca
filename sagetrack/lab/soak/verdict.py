"""The verdict on one run: what its events and its history show."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from sagetrack.lab.soak.events import AnyEvent, RequestSent, ResponseReceived
from sagetrack.lab.soak.fault_schedule import ScheduledFault
from sagetrack.lab.soak.history import History
from sagetrack.lab.soak.oracle import Rule, Violation, find_violations

MIN_SERVED_SHARE = 0.2  # below it a run shows too little


@dataclass(slots=True)
class SoakReport:
    """What one seed has shown."""

    seed: int
    violations: list[Violation]
    faults: list[ScheduledFault]
    sent: int  # requests, without those that were resent
    served: int  # responses with status 200
    failed_system_calls: int
    limitations: list[str] = field(default_factory=list)  # what this machine cannot play


def evaluate_run(
    seed: int,
    events: Sequence[AnyEvent],
    history: History,
    faults: list[ScheduledFault],
    failed_system_calls: int,
) -> SoakReport:
    """Judge one run by its events, in the order of time, and its history.

    Beside the oracle's rules there is `Rule.ENOUGH_SERVED`: at least `MIN_SERVED_SHARE` of the requests.
    """
    served = sum(isinstance(event, ResponseReceived) and event.status == 200 for event in events)
    sent = sum(isinstance(event, RequestSent) and not event.is_resend for event in events)
    violations = find_violations(events, history)
    if served < sent * MIN_SERVED_SHARE:
        detail = f"{served} of {sent} served: the run shows too little"
        violations.append(Violation(Rule.ENOUGH_SERVED, detail))
    return SoakReport(seed, violations, faults, sent, served, failed_system_calls)
