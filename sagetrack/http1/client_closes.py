"""Accounting of closed client connections: a metric by reason, the event trace, and an invariant."""

from __future__ import annotations

from collections.abc import Callable

from sagetrack.core.event_trace import TraceEventKind
from sagetrack.core.gateway import Gateway
from sagetrack.core.invariants import Invariant
from sagetrack.core.metrics import LabeledCounter
from sagetrack.core.requests import Request
from sagetrack.core.send_rules import CloseReason

# Reasons in addition to the values of `CloseReason`. They are label values of an exported metric.
RESPONDED = "answered"
DRAINED = "drain"
ABORTED = "aborted"
CLIENT_DISCONNECTED = "client_left"  # closed by the client; not counted
NOT_TRACED = frozenset({RESPONDED, CloseReason.IDLE.value})


class ClientCloses:
    """Counts the client connections that this process closes.

    Attributes:
        counts: The number of closed connections by reason, exported as a metric.
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
        """Count a close by this process; report an invariant violation if a response was pending.

        Args:
            reason: The reason for the close.
            request: The request in progress; None if there is none.
            awaits_response: True if no byte of its response has been written although the client is reading.
            has_disconnected: Returns whether the client has closed the connection.
        """
        if reason == CLIENT_DISCONNECTED:
            return
        self.counts.add(reason)
        if reason not in NOT_TRACED:
            self._gateway.trace.record(
                TraceEventKind.CONNECTION_CLOSED, request.id if request is not None else "", reason
            )
        if awaits_response and request is not None and not has_disconnected():
            self._gateway.violations.record(Invariant.NO_CLOSE_BEFORE_RESPONSE, request.id, reason)
