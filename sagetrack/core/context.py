"""The context shared by the components of one gateway."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.core.endpoints import EndpointSource
from sagetrack.core.event_dispatcher import PostEvent
from sagetrack.core.event_trace import EventTrace, TraceEventKind
from sagetrack.core.in_flight import InFlightRequests
from sagetrack.core.interfaces import Recorder, UpstreamPool
from sagetrack.core.invariants import InvariantViolations
from sagetrack.core.metrics import LabeledCounter, Metrics
from sagetrack.core.recent_requests import RecentRequests
from sagetrack.core.send_rules import DenialReason
from sagetrack.policy.settings import Settings


@dataclass(slots=True, eq=False)
class GatewayContext:
    """The dependencies shared by the components of one gateway.

    Attributes:
        settings: The settings of the load balancer.
        upstream: The upstream pool of the protocol.
        in_flight: The requests in flight.
        post: Queues an event for the load balancer; see `EventDispatcher.post`.
        metrics: The exported metrics.
        trace: Keeps the most recent unusual events in memory for operators.
        violations: Counts invariant violations.
        denials: Counts attempts that were chosen but not sent, by `DenialReason`.
        outcomes: Counts attempts that have ended, by `Outcome`.
        rejections: Counts rejected requests, by `RejectReason`.
        recent_requests: The ids of requests that may have run.
        endpoint_source: Service discovery; set when the gateway starts.
        recorder: Recorder of attempts and events in the durable store; None if no store is configured.
    """

    settings: Settings
    upstream: UpstreamPool
    in_flight: InFlightRequests
    post: PostEvent
    metrics: Metrics
    trace: EventTrace
    violations: InvariantViolations
    denials: LabeledCounter
    outcomes: LabeledCounter
    rejections: LabeledCounter
    recent_requests: RecentRequests
    endpoint_source: EndpointSource | None = None
    recorder: Recorder | None = None

    def record_denial(self, id_: str, denial: DenialReason) -> None:
        """Count and trace an attempt that was chosen but may not be sent."""
        self.denials.add(denial.value)
        self.trace.record(TraceEventKind.ATTEMPT_DENIED, id_, denial.value)
