"""Invariants checked while the program runs: each violation is counted, traced and logged with its request.

A count that is not 0 is a fault of this program, whatever its clients and servers do.
"""

from __future__ import annotations

from enum import Enum

from sagetrack.core.event_trace import EventTrace, TraceEventKind
from sagetrack.core.log import log


class Invariant(Enum):
    """What always has to hold. The values are labels of an exported metric."""

    RETRIES_ARE_SAFE = "repeat"  # violated by choosing an attempt that may run twice; it was not sent
    NO_SEND_TO_WITHDRAWN = "withdrawn"  # by choosing a server that may get nothing; nothing was sent
    RESPONSE_BY_DEADLINE = "unanswered"  # by a request past its deadline without a response
    NO_CLOSE_BEFORE_RESPONSE = "closed_unanswered"  # by closing a connection that awaited a response
    NO_HANDLER_ERROR = "handling"  # by an event or an action whose handling raised an exception


class InvariantViolations:
    """Counts of violations in one process, by invariant."""

    def __init__(self, trace: EventTrace) -> None:
        self._trace = trace
        self.counts = dict.fromkeys(Invariant, 0)

    def record(self, rule: Invariant, subject: str, detail: str) -> None:
        """Count a violation, add it to the trace and log it.

        Args:
            rule: What was violated.
            subject: The id of the request, or what was being handled.
            detail: What happened.
        """
        self.counts[rule] += 1
        self._trace.record(TraceEventKind.VIOLATION, subject, f"{rule.value}: {detail}")
        log(f"invariant violated: {rule.value}: {detail}", "error", f"violation {rule.value}", call=subject)

    def metric_values(self) -> dict[str, float]:
        """Return the counts by metric name and labels."""
        return {f'violations_total{{rule="{rule.value}"}}': count for rule, count in self.counts.items()}
