"""Rules that were about to be broken, or were: counted by rule and told in the log with the call's id.

A count that is not 0 is a fault of this program, whatever its clients and servers do.
"""

from __future__ import annotations

from enum import Enum

from sagetrack.core.event_trace import Step, Trace
from sagetrack.core.log import log


class Invariant(Enum):
    """What is watched while the program runs."""

    RETRIES_ARE_SAFE = "repeat"  # a repeat was chosen that may run twice; it was not sent
    NO_SEND_TO_WITHDRAWN = "withdrawn"  # a server that may get nothing was chosen; nothing was sent
    ANSWERED_IN_TIME = "unanswered"  # a call's time was over without an answer; it was answered then
    NO_CLOSE_BEFORE_RESPONSE = (
        "closed_unanswered"  # a connection was closed under a call that was owed an answer
    )
    NO_HANDLER_ERROR = "handling"  # an event or an action ended with an error


class InvariantViolations:
    """Counts of one process."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.counts = dict.fromkeys(Invariant, 0)

    def note(self, rule: Invariant, about: str, detail: str) -> None:
        self.counts[rule] += 1
        self.trace.note(Step.VIOLATION, about, f"{rule.value}: {detail}")
        log(f"violation of rule {rule.value}: {detail}", "error", f"violation {rule.value}", call=about)

    def figures(self) -> dict[str, float]:
        """For the stats."""
        return {f'violations_total{{rule="{rule.value}"}}': count for rule, count in self.counts.items()}
