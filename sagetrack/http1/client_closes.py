"""Why this process closes clients' connections: counted by reason, traced, and checked for a due response."""

from __future__ import annotations

from collections.abc import Callable

from sagetrack.core.event_trace import TraceEventKind
from sagetrack.core.gateway import Gateway
from sagetrack.core.invariants import Invariant
from sagetrack.core.metrics import LabeledCounter
from sagetrack.core.requests import Request
from sagetrack.core.send_rules import CloseReason

# Reasons, beside the values of `CloseReason`: labels of an exported metric.
RESPONDED = "answered"
DRAINED = "drain"
ABORTED = "aborted"
CLIENT_LEFT = "client_left"  # the client has closed, not this process
NOT_TRACED = frozenset({RESPONDED, CloseReason.IDLE.value})


class ClientCloses:
    """Counts the closes of one process.

    Attributes:
        counts: Closes by reason, as a metric.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self.counts = LabeledCounter("client_closes_total", "reason", ())

    def record(
        self,
        reason: str,
        request: Request | None,
        awaits_response: bool,
        has_disconnected: Callable[[], bool],
    ) -> None:
        """Count a close by this process; with a response due it is a violated invariant.

        Args:
            reason: Why the connection is closed.
            request: Its request that is in progress.
            awaits_response: Whether nothing of the response to that is written, and the client reads.
            has_disconnected: Asks the kernel whether the client has closed.
        """
        if reason == CLIENT_LEFT:
            return
        self.counts.add(reason)
        if reason not in NOT_TRACED:
            self._gateway.trace.record(
                TraceEventKind.CONNECTION_CLOSED, request.id if request is not None else "", reason
            )
        if awaits_response and request is not None and not has_disconnected():
            self._gateway.violations.record(Invariant.NO_CLOSE_BEFORE_RESPONSE, request.id, reason)
