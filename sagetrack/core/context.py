"""What the parts of one gateway share."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.core.endpoints import EndpointSource
from sagetrack.core.event_dispatcher import PostEvent
from sagetrack.core.event_trace import EventTrace, TraceEventKind
from sagetrack.core.in_flight import InFlightRequests
from sagetrack.core.interfaces import Recorder, UpstreamPool
from sagetrack.core.invariants import InvariantViolations
from sagetrack.core.metrics import Metrics, ReasonCounter
from sagetrack.core.send_rules import DenialReason
from sagetrack.policy.settings import Settings


@dataclass(slots=True, eq=False)
class GatewayContext:
    """The collaborators that the parts of one gateway have in common.

    Attributes:
        settings: The settings of the load balancer.
        upstream: The servers' side of the protocol.
        in_flight: The requests in flight.
        post: Queues an event for the load balancer: see `EventDispatcher.post`.
        metrics: The exported metrics.
        trace: The flight recorder.
        violations: Counts of violated invariants.
        denials: Attempts that were chosen and not sent, by `DenialReason`.
        outcomes: Attempts that have ended, by `Outcome`.
        rejections: Rejected requests, by `RejectReason`.
        endpoint_source: Service discovery, from the start of the gateway on.
        recorder: Records into the durable store, where the operator has one.
    """

    settings: Settings
    upstream: UpstreamPool
    in_flight: InFlightRequests
    post: PostEvent
    metrics: Metrics
    trace: EventTrace
    violations: InvariantViolations
    denials: ReasonCounter
    outcomes: ReasonCounter
    rejections: ReasonCounter
    endpoint_source: EndpointSource | None = None
    recorder: Recorder | None = None

    def record_denial(self, id_: str, denial: DenialReason) -> None:
        """Count and trace an attempt that was chosen and is not sent."""
        self.denials.add(denial.value)
        self.trace.record(TraceEventKind.ATTEMPT_DENIED, id_, denial.value)
