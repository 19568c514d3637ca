"""Invariants checked at run time; each violation is counted, traced and logged with the request id.

A count above 0 indicates a bug in this program, whatever its clients and servers do.
"""

from __future__ import annotations

from enum import Enum

from sagetrack.core.event_trace import EventTrace, TraceEventKind
from sagetrack.core.log import log


class Invariant(Enum):
    """A condition that always has to hold. The values are label values of an exported metric."""

    # Violated if the load balancer chose a retry that might run the request twice; the retry is not sent.
    RETRIES_ARE_SAFE = "repeat"
    # Violated if a server was chosen that must not receive requests; nothing is sent.
    NO_SEND_TO_WITHDRAWN = "withdrawn"
    # Violated if a request had no response past its deadline; the request is then failed.
    RESPONSE_BY_DEADLINE = "unanswered"
    # Violated if this process closed a connection that awaited a response.
    NO_CLOSE_BEFORE_RESPONSE = "closed_unanswered"
    # Violated if handling an event or an action raised an exception.
    NO_HANDLER_ERROR = "handling"


class InvariantViolations:
    """Counts the violations in one process, by invariant."""

    def __init__(self, trace: EventTrace) -> None:
        self._trace = trace
        self.counts = dict.fromkeys(Invariant, 0)

    def record(self, invariant: Invariant, subject: str, detail: str) -> None:
        """Count a violation, add it to the trace, and log it.

        Args:
            invariant: The violated invariant.
            subject: The id of the request, or the component that failed.
            detail: A description of the violation.
        """
        self.counts[invariant] += 1
        self._trace.record(TraceEventKind.VIOLATION, subject, f"{invariant.value}: {detail}")
        log(
            f"invariant violated: {invariant.value}: {detail}",
            "error",
            f"violation {invariant.value}",
            call=subject,
        )

    def metric_values(self) -> dict[str, float]:
        """Return the counts by metric name, including the label."""
        return {
            f'violations_total{{rule="{invariant.value}"}}': count for invariant, count in self.counts.items()
        }
